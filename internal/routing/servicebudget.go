package routing

import "time"

// RetryBudget limits the requests of the whole fleet that may arrive at a
// service within a window in addition to the first arrival of each request. The
// zero value sets no limit.
type RetryBudget struct {
	// Ratio is the allowed share of retries among requests.
	Ratio float64
	// Slack is the number of retries allowed in addition to the share.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// ownRetryShare is the part of the budget that proxies spend on their own
	// retries. The rest is left for the downstream calls of retried requests:
	// they count as retries at the called service and not towards its requests,
	// but this proxy cannot recognise them as such.
	ownRetryShare = 1.0 / 3
	// windowSteps is the number of steps in which a window slides.
	windowSteps = 10
)

// serviceBudget is this proxy's part of the retry budget of one service. The
// parts of all proxies add up to the fleet's budget without coordination: each
// proxy counts the requests that it sends itself and has an equal part of the
// slack.
type serviceBudget struct {
	// requests and retries are ring buffers with one entry for each step.
	requests, retries [windowSteps + 1]float64
	step              int64
}

// advance moves the window to the given time and clears the counts that have
// left it.
func (b *serviceBudget) advance(now time.Time, window time.Duration) {
	step := now.UnixNano() / int64(window/windowSteps)
	if b.step == 0 || step-b.step > windowSteps {
		clear(b.requests[:])
		clear(b.retries[:])
		b.step = step
	}
	for b.step < step {
		b.step++
		b.requests[b.index()] = 0
		b.retries[b.index()] = 0
	}
}

func (b *serviceBudget) index() int64 { return b.step % (windowSteps + 1) }

// allows reports whether another retry is within this proxy's part of the budget. The
// argument slack is its part of the slack.
func (b *serviceBudget) allows(r RetryBudget, slack float64) bool {
	var requests, retries float64
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return retries+1 <= ownRetryShare*(r.Ratio*requests+slack)
}

// retrySlack returns this proxy's part of the slack. A process younger than the window
// has none: the one before it may have spent it, and the list of instances that sets the
// parts may still be short.
func (r *Router) retrySlack(now time.Time) float64 {
	if now.Sub(r.startedAt) < r.cfg.Retries.Window {
		return 0
	}
	return r.cfg.Retries.Slack / float64(max(1, r.fleet.current(now)))
}

// serviceBudget returns the budget of a service, nil if retries are not
// limited.
func (r *Router) serviceBudget(now time.Time, service string) *serviceBudget {
	if r.cfg.Retries.Window == 0 {
		return nil
	}
	b, ok := r.serviceBudgets[service]
	if !ok {
		b = &serviceBudget{}
		r.serviceBudgets[service] = b
	}
	b.advance(now, r.cfg.Retries.Window)
	return b
}

// countRequest adds a request to the budget of its service.
func (r *Router) countRequest(now time.Time, service string) {
	if b := r.serviceBudget(now, service); b != nil {
		b.requests[b.index()]++
	}
}

// fleetSizeRetention is how long a longer list of instances determines the number
// of proxies. Entries lapse while the proxies beside them still serve callers.
const fleetSizeRetention = 30 * time.Second

// fleetSize estimates the number of proxies from the list of instances.
type fleetSize struct {
	size, listed int
	// shrunkAt is when the list became shorter than size, zero if it is not.
	shrunkAt time.Time
}

func (f *fleetSize) update(now time.Time, listed int) {
	f.current(now)
	f.listed = listed
	switch {
	case listed >= f.size:
		f.size, f.shrunkAt = listed, time.Time{}
	case f.shrunkAt.IsZero():
		f.shrunkAt = now
	}
}

func (f *fleetSize) current(now time.Time) int {
	if !f.shrunkAt.IsZero() && now.Sub(f.shrunkAt) >= fleetSizeRetention {
		f.size, f.shrunkAt = f.listed, time.Time{}
	}
	return f.size
}
