package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// retryTokensPerSuccess is the fraction of a retry that each success earns.
	retryTokensPerSuccess = 0.1
	// organisationRetryCapacity limits the retries that an organisation can
	// save up.
	organisationRetryCapacity = 10
	// proxyRetryCapacity limits the retries that all organisations of this
	// proxy can save up together.
	proxyRetryCapacity = 100
	// organisationRetryRefill and proxyRetryRefill are credited without
	// successes, in retries per second, so that organisations with few requests
	// can retry.
	organisationRetryRefill = 0.05
	proxyRetryRefill        = 0.5
)

// retryBucket is a token bucket of retries.
type retryBucket struct {
	tokens   float64
	capacity float64
	refill   float64
	filledAt time.Time
}

// newRetryBucket returns a bucket that is half full.
func newRetryBucket(capacity, refill float64) retryBucket {
	return retryBucket{tokens: capacity / 2, capacity: capacity, refill: refill}
}

func (b *retryBucket) credit() {
	b.tokens = min(b.capacity, b.tokens+retryTokensPerSuccess)
}

// available refills the bucket and reports whether it holds a whole retry.
func (b *retryBucket) available(now time.Time) bool {
	if !b.filledAt.IsZero() && now.After(b.filledAt) {
		b.tokens = min(b.capacity, b.tokens+b.refill*now.Sub(b.filledAt).Seconds())
	}
	if b.filledAt.IsZero() || now.After(b.filledAt) {
		b.filledAt = now
	}
	return b.tokens >= 1
}

// action is the next step of a request.
type action int

const (
	// endRequest ends the request.
	endRequest action = iota
	// sendUncharged sends it without charging the retry budgets: this is its
	// first attempt, or no backend server has seen it.
	sendUncharged
	// sendCharged sends it again if the retry budgets allow, and charges them.
	sendCharged
)

// nextAction decides how a request proceeds after an attempt without a
// response. A request has at most one charged retry along its whole call chain.
func nextAction(c *call, e AttemptEnded) action {
	if isFinal(e.Reason) {
		return endRequest
	}
	if e.Outcome != outcome.NotRun {
		if !c.match.Route.Repeatable || c.retry {
			return endRequest
		}
		return sendCharged
	}
	if e.Reason == outcome.Overload && c.hasTarget() {
		// The instance cannot queue the request, or cannot run it in time, and
		// its backend server has not seen it. This refusal usually comes from
		// the fallback instance, after the offers to the others.
		return endRequest
	}
	if !isOverload(e.Reason) && e.Reason != outcome.ClaimFailed && e.Reason != outcome.OtherInstance {
		return sendUncharged
	}
	if c.retry {
		return endRequest
	}
	return sendCharged
}

// isFinal reports whether a request with this result must not be sent again:
// no other instance would run it, or it has crashed a backend server.
func isFinal(reason outcome.Reason) bool {
	switch reason {
	case outcome.Quarantined, outcome.BackendServerCrashed, outcome.DuplicateKey, outcome.Fenced, outcome.MalformedRequest,
		outcome.DeadlineExpired, outcome.Cancelled, outcome.NoOrganisation, outcome.NoRoute:
		return true
	}
	return false
}

// isOverload reports whether an instance refused a request for lack of capacity
// or because of a limit.
func isOverload(reason outcome.Reason) bool {
	switch reason {
	case outcome.Overload, outcome.BackendServerShed, outcome.RateLimit, outcome.ConcurrencyLimit:
		return true
	}
	return false
}

// chargeRetry takes a retry from the budgets of the organisation, the proxy and
// the service. If one of them is exhausted, it takes none and returns false.
func (r *Router) chargeRetry(now time.Time, c *call) bool {
	organisationAvailable, proxyAvailable := c.org.retryBudget.available(now), r.retryBudget.available(now)
	service := r.serviceBudget(now, c.group.Service)
	if !organisationAvailable || !proxyAvailable || service != nil && !service.allows(r.cfg.Retries, r.retrySlack(now)) {
		r.stats.RetryBudgetExhausted++
		c.org.RetryBudgetExhausted++
		return false
	}
	c.org.retryBudget.tokens--
	r.retryBudget.tokens--
	if service != nil {
		service.retries[service.index()]++
	}
	r.stats.Retries++
	c.org.Retries++
	return true
}

// creditSuccess credits a success to the budgets of the organisation and the
// proxy.
func (r *Router) creditSuccess(c *call) {
	c.org.retryBudget.credit()
	r.retryBudget.credit()
}
