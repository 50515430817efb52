package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// retryRatio is the share of a retry that each success earns.
	retryRatio = 0.1
	// organisationRetries bounds the retries saved up by an organisation.
	organisationRetries = 10
	// proxyRetries bounds the retries saved up by all organisations.
	proxyRetries = 100
	// organisationRefill and proxyRefill are retries per second without
	// successes, so that organisations with few requests can retry.
	organisationRefill = 0.05
	proxyRefill        = 0.5
)

// budget is a token bucket of retries.
type budget struct {
	tokens   float64
	limit    float64
	refill   float64
	filledAt time.Time
}

func newBudget(limit, refill float64) budget {
	return budget{tokens: limit / 2, limit: limit, refill: refill}
}

func (b *budget) earn() {
	b.tokens = min(b.limit, b.tokens+retryRatio)
}

// has refills the budget and reports whether it holds a retry.
func (b *budget) has(now time.Time) bool {
	if !b.filledAt.IsZero() && now.After(b.filledAt) {
		b.tokens = min(b.limit, b.tokens+b.refill*now.Sub(b.filledAt).Seconds())
	}
	if b.filledAt.IsZero() || now.After(b.filledAt) {
		b.filledAt = now
	}
	return b.tokens >= 1
}

// next tells how a request goes on after an attempt.
type next int

const (
	// final ends the request.
	final next = iota
	// free sends it on at no charge: no backend server has seen it.
	free
	// charged sends it on if the retry budgets allow.
	charged
)

// nextStep decides how a request goes on after an attempt without an answer.
// A request has at most one charged retry on its whole path.
func nextStep(c *call, e AttemptEnded) next {
	if isFinal(e.Reason) {
		return final
	}
	if e.Outcome != outcome.NotRun {
		if !c.match.Route.Repeatable || c.retry {
			return final
		}
		return charged
	}
	if e.Reason == outcome.Overload && c.placed() {
		// A queue is full beside its backend server, which the request never
		// reached; elsewhere it was asked already.
		return final
	}
	if !isOverload(e.Reason) && e.Reason != outcome.ClaimFailed && e.Reason != outcome.OtherInstance {
		return free
	}
	if c.retry {
		return final
	}
	return charged
}

// isFinal reports whether no other instance would decide otherwise.
func isFinal(reason outcome.Reason) bool {
	switch reason {
	case outcome.Quarantined, outcome.Crashed, outcome.Duplicate, outcome.Fenced, outcome.Malformed,
		outcome.DeadlineExpired, outcome.Cancelled, outcome.NoOrganisation, outcome.NoRoute:
		return true
	}
	return false
}

// isOverload reports whether an instance refused for want of capacity.
func isOverload(reason outcome.Reason) bool {
	switch reason {
	case outcome.Overload, outcome.Shed, outcome.RateLimit, outcome.Concurrency:
		return true
	}
	return false
}

// pay takes a charged retry from both budgets.
func (r *Router) pay(now time.Time, c *call) bool {
	own, all := c.org.budget.has(now), r.budget.has(now)
	service := r.serviceBudget(now, c.group.Service)
	if !own || !all || service != nil && !service.allows(r.cfg.Retries, len(r.known)) {
		r.stats.RetryBudgetExhausted++
		c.org.RetryBudgetExhausted++
		return false
	}
	c.org.budget.tokens--
	r.budget.tokens--
	if service != nil {
		service.retries[service.slot()]++
	}
	r.stats.Retries++
	c.org.Retries++
	return true
}

// earn credits both budgets with a success.
func (r *Router) earn(c *call) {
	c.org.budget.earn()
	r.budget.earn()
}
