package routing

import (
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// maxHold bounds how long an instance may ask to be left alone.
	maxHold = 30 * time.Second
	// plausibleShare is the share of the expected latency that must remain
	// for a retry.
	plausibleShare = 0.5
)

// call is a request in progress.
type call struct {
	id      uint64
	org     *organisationState
	match   *Match
	group   *config.Group
	version uint64
	arrived time.Time
	// spent is the time that the caller has spent on attempts before.
	spent    time.Duration
	deadline time.Time
	// attempts counts the sends but those that a proxy turned away, sends all
	// of them, farTries those to other zones.
	attempts, sends, farTries int
	// retry reports that the request is a retry, here or at a level above.
	retry bool
	// inDoubt reports that an attempt may have run. It never turns false, so
	// that no later refusal claims that the request was not run.
	inDoubt bool
	// avoid is the availability zone in which the last attempt failed.
	avoid  string
	at     *instance
	sentAt time.Time
	tried  []*instance
	first  [3]*instance
}

// target is when an answer loses its full value, zero if it does not.
func (c *call) target() time.Time {
	if c.match.Route.Target == 0 {
		return time.Time{}
	}
	return c.arrived.Add(time.Duration(c.match.Route.Target) - c.spent)
}

func (c *call) hasTried(i *instance) bool {
	for _, t := range c.tried {
		if t.ID == i.ID {
			return true
		}
	}
	return false
}

// attempt sends the request to an instance, or ends it with last.
func (r *Router) attempt(now time.Time, c *call, how next, last outcome.Refusal) {
	if !now.Before(c.deadline) {
		r.end(c, notRun(outcome.DeadlineExpired, http.StatusGatewayTimeout, time.Second))
		return
	}
	if c.attempts >= r.maxAttempts(c) || c.sends >= maxSends {
		r.end(c, last)
		return
	}
	var target *instance
	var patience float64
	if c.placed() {
		target, patience = r.place(now, c)
	} else {
		target = r.choose(now, c)
	}
	if target == nil {
		r.end(c, r.noTarget(now, c, last))
		return
	}
	if how == charged && !r.mayRetry(now, c, target) {
		r.end(c, last)
		return
	}
	r.send(now, c, target, patience)
}

// maxAttempts bounds the sends that a backend server may have seen.
func (r *Router) maxAttempts(c *call) int {
	if n := c.match.Route.MaxAttempts; n > 0 {
		return n
	}
	return r.cfg.MaxAttempts
}

// noTarget returns the refusal when no instance is left to choose.
func (r *Router) noTarget(now time.Time, c *call, last outcome.Refusal) outcome.Refusal {
	if c.sends > 0 || r.scratch.held.IsZero() {
		return last
	}
	return notRun(outcome.Overload, http.StatusServiceUnavailable, r.scratch.held.Sub(now))
}

// mayRetry checks the time left and the budgets of a charged retry. First
// attempts are not checked against the latency, since a wrong estimate would
// then never be corrected.
func (r *Router) mayRetry(now time.Time, c *call, target *instance) bool {
	needed := time.Duration(plausibleShare * float64(target.expectedLatency(now)))
	if c.deadline.Sub(now) < needed {
		r.stats.ImplausibleRetries++
		return false
	}
	if !r.pay(now, c) {
		return false
	}
	c.retry = true
	return true
}

func (r *Router) send(now time.Time, c *call, target *instance, patience float64) {
	if c.sends > 0 && !c.retry {
		r.stats.Redirects++
	}
	r.stats.Attempts++
	c.attempts++
	c.sends++
	c.at = target
	c.sentAt = now
	if c.tried == nil {
		c.tried = c.first[:0]
	}
	c.tried = append(c.tried, target)
	why := Choice{Candidates: r.scratch.usable(), InFlight: target.inFlight, Load: target.Load, LoadAge: now.Sub(target.loadAt)}
	target.inFlight++
	r.emit(Send{
		ID:         c.id,
		Instance:   target.ID,
		Address:    target.Address,
		Route:      c.match.Route.Name,
		Version:    c.version,
		Repeatable: c.match.Route.Repeatable,
		Deadline:   c.deadline,
		Target:     c.target(),
		Priority:   c.match.Route.Priority,
		Patience:   patience,
		Attempt:    c.sends,
		Retry:      c.retry,
		Why:        why,
	})
}

func (r *Router) attemptEnded(now time.Time, e AttemptEnded) {
	c, ok := r.calls[e.ID]
	if !ok || c.at == nil {
		return
	}
	r.learn(now, c, e)
	c.release()
	if e.Outcome == outcome.Answered {
		r.observeBytes(c.match.Route.Name, e.Bytes)
		r.earn(c)
		r.finish(c)
		return
	}
	if e.Outcome != outcome.NotRun {
		c.inDoubt = true
	}
	how := nextStep(c, e)
	last := refusalOf(e)
	if how == final {
		r.end(c, last)
		return
	}
	r.attempt(now, c, how, last)
}

// learn takes what an attempt tells about its instance.
func (r *Router) learn(now time.Time, c *call, e AttemptEnded) {
	i := c.at
	refused := e.Outcome == outcome.NotRun && isOverload(e.Reason)
	i.report(now, e.Load)
	i.hold(now, e)
	if c.placed() {
		r.placedOutcome(now, i, e)
		if e.Outcome == outcome.NotRun && e.Reason != outcome.Shed && e.Reason != outcome.OtherInstance {
			c.attempts-- // no backend server has seen it
		}
	}
	switch {
	case e.Outcome == outcome.Answered && !failed(e):
		i.observeLatency(now, e.Latency)
	case e.Outcome == outcome.Unknown:
		i.observeSlow(now, now.Sub(c.sentAt))
	}
	if failed(e) {
		c.avoid = i.AvailabilityZone
	}
	i.observe(now, failed(e), refused)
	r.considerEjection(now, i)
}

// hold leaves the instance alone for the time that its backend server asked
// for. A refusal for a full queue holds nothing: the instance shares its queue
// among organisations, and one that floods it must not stop the others.
func (i *instance) hold(now time.Time, e AttemptEnded) {
	if e.RetryAfter <= 0 || e.Outcome != outcome.NotRun || e.Reason != outcome.Shed {
		return
	}
	if until := now.Add(min(e.RetryAfter, maxHold)); until.After(i.heldUntil) {
		i.heldUntil = until
	}
}

// observeSlow counts the time of an attempt without an answer if it is longer
// than expected.
func (i *instance) observeSlow(now time.Time, d time.Duration) {
	if d > i.expectedLatency(now) {
		i.observeLatency(now, d)
	}
}

func (r *Router) abandoned(now time.Time, e Abandoned) {
	c, ok := r.calls[e.ID]
	if !ok {
		return
	}
	if c.at != nil {
		c.at.observeSlow(now, now.Sub(c.sentAt))
	}
	c.release()
	r.finish(c)
}

// release returns the place that the attempt took at its instance.
func (c *call) release() {
	if c.at != nil {
		c.at.inFlight--
		c.at = nil
	}
}

func (r *Router) finish(c *call) {
	delete(r.calls, c.id)
	c.org.InFlight--
}

// end gives the caller its final answer. A request of which any attempt may
// have run is never reported as not run.
func (r *Router) end(c *call, refusal outcome.Refusal) {
	r.finish(c)
	if c.inDoubt {
		refusal.Outcome = outcome.Unknown
	}
	refusal.RetryAfter = r.later(refusal.RetryAfter)
	r.refuse(c.id, refusal)
}

func notRun(reason outcome.Reason, status int, retryAfter time.Duration) outcome.Refusal {
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Status: status, RetryAfter: retryAfter}
}

// refusalOf returns the final answer that follows from an attempt.
func refusalOf(e AttemptEnded) outcome.Refusal {
	o := e.Outcome
	if o != outcome.NotRun {
		o = outcome.Unknown
	}
	out := outcome.Refusal{Outcome: o, Reason: e.Reason, Status: e.Status, RetryAfter: e.RetryAfter}
	if out.Status < http.StatusBadRequest {
		out.Status = statusOf(o, e.Reason)
	}
	if o == outcome.NotRun && out.RetryAfter <= 0 && !isFinal(e.Reason) {
		out.RetryAfter = time.Second
	}
	return out
}

// statusOf returns the HTTP status for a reason.
func statusOf(o outcome.Outcome, reason outcome.Reason) int {
	switch {
	case reason == outcome.DeadlineExpired:
		return http.StatusGatewayTimeout
	case reason == outcome.Duplicate:
		return http.StatusConflict
	case reason == outcome.Malformed:
		return http.StatusBadRequest
	case reason == outcome.RateLimit, reason == outcome.Concurrency:
		return http.StatusTooManyRequests
	case o == outcome.Unknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
