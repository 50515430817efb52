package admission

import "time"

const (
	// requestRetention is the time for which a request is remembered. It
	// exceeds the longest deadline and the time to read a request's header.
	requestRetention = 2 * time.Minute
	// fenceMargin covers the way of a question between two proxies.
	fenceMargin = 2 * time.Second
	// evictionTries bounds the work of one eviction.
	evictionTries = 8
)

// FenceState is what a proxy knows of a request that another proxy lost.
type FenceState string

// States of a request.
const (
	// FenceUnknown means that the request may have been run.
	FenceUnknown FenceState = "unknown"
	// FenceFenced means that it never arrived and will be refused if it does.
	FenceFenced FenceState = "fenced"
	// FenceNotRun means that it was refused before it was run.
	FenceNotRun FenceState = "not-run"
	// FenceRunning means that the backend server runs it.
	FenceRunning FenceState = "running"
	// FenceEnded means that the backend server ran it.
	FenceEnded FenceState = "ended"
)

// Fence asks what became of a request.
type Fence struct {
	Request string `json:"request"`
	// Incarnation is that of the proxy to which the request was sent.
	Incarnation uint64 `json:"inc"`
	// Age is the time since the request was sent.
	Age time.Duration `json:"age_ns"`
}

// FenceReply answers a Fence.
type FenceReply struct {
	State FenceState `json:"state"`
}

// NotRun reports whether the state proves that the request was not run and
// will not be.
func (s FenceState) NotRun() bool {
	return s == FenceFenced || s == FenceNotRun
}

// remembered is the state of a recent request.
type remembered struct {
	state FenceState
	at    time.Time
	// id is the request's number here while it waits.
	id uint64
}

func (r *remembered) inProgress() bool {
	return r.state == FenceRunning || r.id != 0
}

// arrival is an element of the order in which requests are forgotten.
type arrival struct {
	request string
	at      time.Time
}

// requestTable remembers requests that must not be run twice. It forgets no
// fenced request before its retention has passed.
type requestTable struct {
	limit int
	// fenced counts the fenced requests.
	fenced    int
	entries   map[string]*remembered
	order     []arrival
	forgotten time.Time
}

func newRequestTable(limit int) *requestTable {
	return &requestTable{limit: limit, entries: make(map[string]*remembered)}
}

// set notes the state of a request.
func (t *requestTable) set(now time.Time, request string, state FenceState, id uint64) {
	e, ok := t.entries[request]
	if !ok {
		e = &remembered{}
		t.entries[request] = e
	}
	if !ok {
		t.order = append(t.order, arrival{request: request, at: now})
	}
	t.count(e.state, -1)
	t.count(state, 1)
	e.state, e.at, e.id = state, now, id
}

func (t *requestTable) count(state FenceState, n int) {
	if state == FenceFenced {
		t.fenced += n
	}
}

// expire forgets requests whose retention has passed, and the oldest beyond
// the limit.
func (t *requestTable) expire(now time.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].at) > requestRetention {
		t.forgetFirst(now)
	}
	for range evictionTries {
		if len(t.entries) <= t.limit {
			return
		}
		t.forgetFirst(now)
	}
}

// forgetFirst drops the oldest element unless its request must be kept.
func (t *requestTable) forgetFirst(now time.Time) {
	first := t.order[0]
	t.order = t.order[1:]
	e := t.entries[first.request]
	old := now.Sub(e.at) > requestRetention
	if e.inProgress() && old {
		e.at = now
	}
	if e.at.After(first.at) || e.inProgress() || (e.state == FenceFenced && !old) {
		t.order = append(t.order, arrival{request: first.request, at: e.at})
		return
	}
	delete(t.entries, first.request)
	t.count(e.state, -1)
	if first.at.After(t.forgotten) {
		t.forgotten = first.at
	}
}

// full reports whether no further request can be fenced: half of the table is
// left for requests that arrive.
func (t *requestTable) full() bool {
	return t.fenced >= t.limit/2
}

// mayHaveForgotten reports whether a request sent at the given age may have
// been known here.
func (t *requestTable) mayHaveForgotten(now time.Time, age time.Duration) bool {
	if age < 0 || age+fenceMargin > requestRetention {
		return true
	}
	return !t.forgotten.IsZero() && !t.forgotten.Before(now.Add(-age-fenceMargin))
}
