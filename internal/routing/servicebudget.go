package routing

import "time"

// RetryBudget bounds the arrivals beyond the first of each request that a
// service may get from the whole fleet within a window. The zero value sets no
// bound.
type RetryBudget struct {
	// Ratio is the allowed share of retries among requests.
	Ratio float64
	// Slack is the number of retries allowed besides.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

const (
	// budgetShare is the part of the budget that proxies spend on their own
	// retries. The rest is left for the calls that repeated runs make, which
	// count as retries at the service called and are not known as such here.
	budgetShare = 0.5
	// budgetSteps is the number of steps in which a window slides.
	budgetSteps = 10
)

// serviceBudget is this proxy's part of the budget of one service. The parts
// of all proxies together keep the fleet's budget without any exchange: each
// counts the requests that it sends itself and has an equal part of the slack.
type serviceBudget struct {
	requests, retries [budgetSteps + 1]float64
	step              int64
}

// advance forgets what has left the window.
func (b *serviceBudget) advance(now time.Time, window time.Duration) {
	step := now.UnixNano() / int64(window/budgetSteps)
	if b.step == 0 || step-b.step > budgetSteps {
		clear(b.requests[:])
		clear(b.retries[:])
		b.step = step
	}
	for b.step < step {
		b.step++
		b.requests[b.slot()] = 0
		b.retries[b.slot()] = 0
	}
}

func (b *serviceBudget) slot() int64 { return b.step % (budgetSteps + 1) }

// allows reports whether another retry is within this proxy's part, one of so
// many proxies.
func (b *serviceBudget) allows(r RetryBudget, proxies int) bool {
	var requests, retries float64
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	return retries+1 <= budgetShare*(r.Ratio*requests+r.Slack/float64(max(1, proxies)))
}

// serviceBudget returns the budget of a service, nil if retries are unbounded.
func (r *Router) serviceBudget(now time.Time, service string) *serviceBudget {
	if r.cfg.Retries.Window == 0 {
		return nil
	}
	b, ok := r.budgets[service]
	if !ok {
		b = &serviceBudget{}
		r.budgets[service] = b
	}
	b.advance(now, r.cfg.Retries.Window)
	return b
}

// countRequest counts a request for the budget of its service.
func (r *Router) countRequest(now time.Time, service string) {
	if b := r.serviceBudget(now, service); b != nil {
		b.requests[b.slot()]++
	}
}
