package admission

import "time"

const (
	// requestRetention is the time for which a request is kept in the table. It
	// exceeds the longest deadline plus the time to read a request's header.
	requestRetention = 2 * time.Minute
	// fenceLatencyMargin allows for the transit time of a fence between two
	// proxies.
	fenceLatencyMargin = 2 * time.Second
	// maxEvictionAttempts bounds the attempts of one expire call to evict
	// requests beyond the limit.
	maxEvictionAttempts = 8
)

// FenceState is the state of a request as reported to a proxy that does not know
// its outcome.
type FenceState string

// States of a request.
const (
	// FenceUnknown means that the request may have been run.
	FenceUnknown FenceState = "unknown"
	// FenceFenced means that the request was not run and will be refused if it
	// arrives.
	FenceFenced FenceState = "fenced"
	// FenceNotRun means that the request has arrived but was not run. In the
	// request table this includes requests that still wait.
	FenceNotRun FenceState = "not-run"
	// FenceRunning means that the backend server is running the request.
	FenceRunning FenceState = "running"
	// FenceEnded means that the backend server ran the request or may have run
	// it.
	FenceEnded FenceState = "ended"
)

// Fence asks for the state of a request whose outcome the sender does not know. A
// request that is proven not to have been run is also prevented from running later.
type Fence struct {
	Request string `json:"request"`
	// Incarnation is the incarnation of the proxy to which the request was
	// sent.
	Incarnation uint64 `json:"inc"`
	// Age is the time since the request was sent.
	Age time.Duration `json:"age_ns"`
}

// FenceReply is the response to a Fence.
type FenceReply struct {
	State FenceState `json:"state"`
}

// NotRun reports whether the state proves that the request was not run and
// will not be.
func (s FenceState) NotRun() bool {
	return s == FenceFenced || s == FenceNotRun
}

// requestEntry is the state of a recent request.
type requestEntry struct {
	state     FenceState
	updatedAt time.Time
	// waitingID is the ID of the request while it waits, 0 otherwise.
	waitingID uint64
}

func (r *requestEntry) inProgress() bool {
	return r.state == FenceRunning || r.waitingID != 0
}

// evictionItem is an element of the eviction order.
type evictionItem struct {
	request string
	// updatedAt is when the request was last updated before the item was
	// appended.
	updatedAt time.Time
}

// requestTable stores the state of recent requests that must not be run twice.
// Fenced requests are not evicted before requestRetention has passed.
type requestTable struct {
	limit int
	// fencedCount is the number of fenced requests.
	fencedCount   int
	entries       map[string]*requestEntry
	evictionOrder []evictionItem
	// newestEvicted is the latest updatedAt of the evicted requests: any
	// request that arrived up to then may have been evicted.
	newestEvicted time.Time
}

func newRequestTable(limit int) *requestTable {
	return &requestTable{limit: limit, entries: make(map[string]*requestEntry)}
}

// set stores the state of a request; id is its ID while it waits, 0 otherwise.
func (t *requestTable) set(now time.Time, request string, state FenceState, id uint64) {
	e, ok := t.entries[request]
	if !ok {
		e = &requestEntry{}
		t.entries[request] = e
	}
	if !ok {
		t.evictionOrder = append(t.evictionOrder, evictionItem{request: request, updatedAt: now})
	}
	t.addFenced(e.state, -1)
	t.addFenced(state, 1)
	e.state, e.updatedAt, e.waitingID = state, now, id
}

// addFenced adds n to the count of fenced requests if the state is FenceFenced.
func (t *requestTable) addFenced(state FenceState, n int) {
	if state == FenceFenced {
		t.fencedCount += n
	}
}

// expire evicts requests whose retention has passed. If the table exceeds its
// limit, it tries to evict up to maxEvictionAttempts further ones, oldest first.
func (t *requestTable) expire(now time.Time) {
	for len(t.evictionOrder) > 0 && now.Sub(t.evictionOrder[0].updatedAt) > requestRetention {
		t.evictOldest(now)
	}
	for range maxEvictionAttempts {
		if len(t.entries) <= t.limit {
			return
		}
		t.evictOldest(now)
	}
}

// evictOldest evicts the oldest request. A request that was updated since, is in
// progress, or is fenced and within its retention moves to the end of the order
// instead.
func (t *requestTable) evictOldest(now time.Time) {
	oldest := t.evictionOrder[0]
	t.evictionOrder = t.evictionOrder[1:]
	e := t.entries[oldest.request]
	expired := now.Sub(e.updatedAt) > requestRetention
	if e.inProgress() && expired {
		// Without a new time, expire would visit the request again forever.
		e.updatedAt = now
	}
	if e.updatedAt.After(oldest.updatedAt) || e.inProgress() || (e.state == FenceFenced && !expired) {
		t.evictionOrder = append(t.evictionOrder, evictionItem{request: oldest.request, updatedAt: e.updatedAt})
		return
	}
	delete(t.entries, oldest.request)
	t.addFenced(e.state, -1)
	if oldest.updatedAt.After(t.newestEvicted) {
		t.newestEvicted = oldest.updatedAt
	}
}

// fencesFull reports whether no further request can be fenced: half of the table
// is reserved for requests that arrive.
func (t *requestTable) fencesFull() bool {
	return t.fencedCount >= t.limit/2
}

// mayHaveEvicted reports whether a request sent the given time ago may have arrived
// here and been evicted since.
func (t *requestTable) mayHaveEvicted(now time.Time, age time.Duration) bool {
	if age < 0 || age+fenceLatencyMargin > requestRetention {
		return true
	}
	return !t.newestEvicted.IsZero() && !t.newestEvicted.Before(now.Add(-age-fenceLatencyMargin))
}
