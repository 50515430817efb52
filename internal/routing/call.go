package routing

import (
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// maxRetryAfterHold caps the time for which the Retry-After of an instance
	// is honoured.
	maxRetryAfterHold = 30 * time.Second
	// minRetryTimeShare is the share of the expected latency that must be left
	// before the deadline for a retry.
	minRetryTimeShare = 0.5
	// minLimitedRetryAfter is the shortest Retry-After of a request that rate limits
	// leave no room for.
	minLimitedRetryAfter = 50 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After of a request for a service that is evacuated
	// altogether. It is short, since nobody knows when the evacuation ends.
	evacuatedRetryAfter = time.Second
)

// call is a request in progress.
type call struct {
	id      uint64
	org     *organisationState
	match   *RouteMatch
	group   *config.Group
	version uint64
	arrived time.Time
	// priorElapsed is the estimated time that the caller spent on earlier
	// attempts.
	priorElapsed time.Duration
	deadline     time.Time
	// callerDeadline is the time until which the caller may try again, that of this
	// request if the caller names none.
	callerDeadline time.Time
	// sends counts all sends, attempts those that may have reached a backend
	// server (all of them if the route has no target), and remoteOffers the
	// offers to instances in other availability zones.
	attempts, sends, remoteOffers int
	// limitedSends counts the sends to instances in the state Limited.
	limitedSends int
	// limitedRefusals counts the refusals because of a rate limit.
	limitedRefusals int
	// retry reports that the request is a retry, by this proxy or further up
	// the call chain.
	retry bool
	// mayHaveRun reports that an attempt may have run. It is never reset, so
	// that no later refusal claims that the request was not run.
	mayHaveRun bool
	// failedZone is the availability zone of the last failed attempt.
	failedZone string
	// current is the instance of the attempt in progress, which started at sentAt. Its work
	// can begin at workFrom, when the whole request has been sent.
	current          *instance
	sentAt, workFrom time.Time
	// estimate is what was expected of that attempt, with biasUsed as the part of the
	// wait that corrects earlier errors, and sentWork its work at usual speed. They are
	// zero if requests are placed by score only.
	estimate           Estimate
	biasUsed, sentWork time.Duration
	// namedLimit means that the response names a rate limit.
	namedLimit bool
	// linkRefused means that an instance refused the request because its machine's link
	// has no time for the response.
	linkRefused bool
	// fingerprint and knownCrashes are those of the request's Arrived.
	fingerprint  uint64
	knownCrashes uint32
	tried        []*instance
	// triedBuf is the initial storage of tried.
	triedBuf [3]*instance
}

// targetTime returns the time until which a response has its full value, zero
// if the route has no target.
func (c *call) targetTime() time.Time {
	if c.match.Route.Target == 0 {
		return time.Time{}
	}
	return c.arrived.Add(time.Duration(c.match.Route.Target) - c.priorElapsed)
}

func (c *call) hasTried(i *instance) bool {
	for _, t := range c.tried {
		if t.ID == i.ID {
			return true
		}
	}
	return false
}

// attempt sends the request to an instance, or ends it with a refusal: with last,
// or with a more specific one if the deadline has expired or if a request that
// was not sent yet has to wait for an instance held by Retry-After.
func (r *Router) attempt(now time.Time, c *call, act action, last outcome.Refusal) {
	if !now.Before(c.deadline) {
		r.endRefused(now, c, notRunRefusal(outcome.DeadlineExpired, http.StatusGatewayTimeout, time.Second))
		return
	}
	if !r.StopLeavesTime(now, c.match.Route.Name, c.deadline) {
		r.stats.RefusedByStop++
		r.endRefused(now, c, refusalOfStop())
		return
	}
	if c.attempts >= r.maxAttempts(c) || c.sends >= maxSends+min(c.limitedRefusals, maxLimitedRefusals) {
		r.endRefused(now, c, last)
		return
	}
	var chosen *instance
	var maxWaitShare float64
	if c.hasTarget() {
		chosen, maxWaitShare = r.chooseByOffers(now, c)
	} else {
		chosen = r.chooseByScore(now, c)
	}
	if chosen == nil {
		r.endRefused(now, c, r.refusalWithoutInstance(now, c, last))
		return
	}
	if act == sendCharged && !r.admitRetry(now, c, chosen) {
		r.endRefused(now, c, last)
		return
	}
	r.send(now, c, chosen, maxWaitShare)
}

// maxAttempts returns the limit on sends that may have reached a backend
// server.
func (r *Router) maxAttempts(c *call) int {
	if n := c.match.Route.MaxAttempts; n > 0 {
		return n
	}
	return r.cfg.MaxAttempts
}

// refusalWithoutInstance returns the refusal of a request for which no instance
// is left: last, or, if the request was not sent yet, an overload that lasts
// until the first held instance becomes usable. If rate limits leave no room, the
// retry delay is that of the limited instance that was asked last, or the shortest one
// known.
func (r *Router) refusalWithoutInstance(now time.Time, c *call, last outcome.Refusal) outcome.Refusal {
	if r.candidates.allEvacuated() && (c.sends == 0 || last.Reason == outcome.InstanceLeaving) && !c.mayHaveRun {
		return notRunRefusal(outcome.Evacuated, http.StatusServiceUnavailable, evacuatedRetryAfter)
	}
	limited := last.Reason == outcome.BackendServerLimited && c.limitedSends == 0
	if end := r.candidates.earliestLimitEnd; !end.IsZero() && (c.sends == 0 || limited) {
		return notRunRefusal(outcome.BackendServerLimited, http.StatusServiceUnavailable, max(end.Sub(now), minLimitedRetryAfter))
	}
	if c.sends > 0 || r.candidates.earliestHoldEnd.IsZero() {
		return last
	}
	return notRunRefusal(outcome.Overload, http.StatusServiceUnavailable, r.candidates.earliestHoldEnd.Sub(now))
}

// admitRetry reports whether the time left and the budgets allow a charged
// retry. If they do, it charges the budgets and marks the request as a retry.
// First attempts are not checked against the expected latency, since an estimate
// that is too high would then never be corrected.
func (r *Router) admitRetry(now time.Time, c *call, chosen *instance) bool {
	needed := time.Duration(minRetryTimeShare * float64(chosen.expectedLatency(now)))
	if c.deadline.Sub(now) < needed {
		r.stats.ImplausibleRetries++
		return false
	}
	if !r.chargeRetry(now, c) {
		return false
	}
	c.retry = true
	return true
}

func (r *Router) send(now time.Time, c *call, chosen *instance, maxWaitShare float64) {
	if c.sends > 0 && !c.retry {
		r.stats.Redirects++
	}
	r.stats.Attempts++
	c.attempts++
	c.sends++
	c.current = chosen
	c.sentAt, c.workFrom = now, now
	if c.tried == nil {
		c.tried = c.triedBuf[:0]
	}
	c.tried = append(c.tried, chosen)
	why := Choice{Candidates: r.candidates.usable(), InFlight: chosen.inFlight, Load: chosen.Load, LoadAge: now.Sub(chosen.loadAt)}
	r.recordSent(now, c, chosen)
	why.Estimate = c.estimate
	chosen.inFlight++
	r.emit(Send{
		ID:           c.id,
		Instance:     chosen.ID,
		Address:      chosen.Address,
		Route:        c.match.Route.Name,
		Version:      c.version,
		Repeatable:   c.match.Route.Repeatable,
		Upload:       c.match.Route.Upload,
		Download:     c.match.Route.Download,
		Deadline:     c.deadline,
		Target:       c.targetTime(),
		Priority:     c.match.Route.Priority,
		MaxWaitShare: maxWaitShare,
		Attempt:      c.sends,
		Retry:        c.retry,
		KnownCrashes: c.knownCrashes,
		RateLimit:    chosen.rateLimit,
		RateLimited:  chosen.rateLimited,
		Choice:       why,

		WarmUpPerSecond: r.services[chosen.Service].WarmUpPerSecond,
	})
}

func (r *Router) attemptEnded(now time.Time, e AttemptEnded) {
	c, ok := r.calls[e.ID]
	if !ok || c.current == nil {
		return
	}
	r.recordAttempt(now, c, e)
	c.releaseInstance()
	if e.Outcome == outcome.Answered {
		r.observeResponseBytes(c.match.Route.Name, e.Bytes)
		r.creditSuccess(c)
		r.finish(c)
		return
	}
	if e.Outcome != outcome.NotRun {
		c.mayHaveRun = true
	}
	act := nextAction(c, e)
	last := refusalFor(e)
	if act == endRequest {
		r.endRefused(now, c, last)
		return
	}
	r.attempt(now, c, act, last)
}

// recordAttempt updates the state of the request and of its instance with the
// result of an attempt.
func (r *Router) recordAttempt(now time.Time, c *call, e AttemptEnded) {
	i := c.current
	c.linkRefused = c.linkRefused || e.LinkBusy
	refused := e.Outcome == outcome.NotRun && isOverload(e.Reason) && !e.LinkBusy
	i.recordLoad(now, e.Load)
	r.recordCosts(now, c, e)
	i.applyRetryAfter(now, e)
	if e.Outcome == outcome.Answered {
		i.recordAccepted(c.namedLimit)
	}
	if e.Outcome == outcome.NotRun && e.Reason == outcome.BackendServerLimited {
		c.limitedRefusals++
		c.attempts-- // it did not reach a backend server
		r.recordLimited(now, i, e.RetryAfter)
	} else if c.hasTarget() {
		r.startBackoff(now, c, i, e)
		i.pool.recordOffer(e)
		if e.Outcome == outcome.NotRun && e.Reason != outcome.BackendServerShed && e.Reason != outcome.OtherInstance {
			c.attempts-- // it did not reach a backend server
		}
	}
	if e.Outcome != outcome.NotRun {
		r.observeDuration(now, c, e.Outcome == outcome.Answered)
	}
	switch {
	case e.Outcome == outcome.Answered && !isFailure(e):
		i.observeLatency(now, e.Latency)
	case e.Outcome == outcome.Unknown:
		i.observeUnanswered(now, now.Sub(c.sentAt))
	}
	if isFailure(e) {
		c.failedZone = i.AvailabilityZone
	}
	i.observeOutcome(now, isFailure(e), refused, e.Outcome == outcome.NotRun && e.Reason == outcome.BackendServerShed)
	r.ejectIfFailing(now, i)
}

// applyRetryAfter holds the instance for the time that its backend server asked
// for. A refusal because of a full queue does not hold it: the queue is shared
// by all organisations, and one that floods it must not block the others.
func (i *instance) applyRetryAfter(now time.Time, e AttemptEnded) {
	if e.RetryAfter <= 0 || e.Outcome != outcome.NotRun || e.Reason != outcome.BackendServerShed {
		return
	}
	if until := now.Add(min(e.RetryAfter, maxRetryAfterHold)); until.After(i.heldUntil) {
		i.heldUntil = until
	}
}

// observeUnanswered records the duration of an attempt without a response as a
// latency if it is longer than expected.
func (i *instance) observeUnanswered(now time.Time, d time.Duration) {
	if d > i.expectedLatency(now) {
		i.observeLatency(now, d)
	}
}

func (r *Router) abandoned(now time.Time, e Abandoned) {
	c, ok := r.calls[e.ID]
	if !ok {
		r.abandonStarting(e.ID)
		return
	}
	if c.current != nil {
		c.current.observeUnanswered(now, now.Sub(c.sentAt))
		c.current.forgetSent(c)
	}
	c.releaseInstance()
	r.finish(c)
}

// releaseInstance removes the current attempt from the in-flight count of its
// instance.
func (c *call) releaseInstance() {
	if c.current != nil {
		c.current.inFlight--
		c.current = nil
	}
}

func (r *Router) finish(c *call) {
	delete(r.calls, c.id)
	c.org.InFlight--
}

// endRefused ends a request with a refusal. If any attempt may have run, the
// request is never reported as not run.
func (r *Router) endRefused(now time.Time, c *call, refusal outcome.Refusal) {
	r.finish(c)
	if c.mayHaveRun {
		refusal.Outcome = outcome.Unknown
	}
	if d, ok := r.returnLate(now, c, refusal); ok {
		r.stats.LateReturns++
		refusal.RetryAfter = d
		r.refuse(c.id, refusal)
		return
	}
	// The times of the former are spread already, and requests refused because of an
	// evacuation are refused as they arrive.
	if refusal.Reason != outcome.BackendServerLimited && refusal.Reason != outcome.Evacuated {
		refusal.RetryAfter = r.withJitter(refusal.RetryAfter)
	}
	r.refuse(c.id, refusal)
}

func notRunRefusal(reason outcome.Reason, status int, retryAfter time.Duration) outcome.Refusal {
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Status: status, RetryAfter: retryAfter}
}

// refusalFor returns the refusal that follows from the result of an attempt.
func refusalFor(e AttemptEnded) outcome.Refusal {
	o := e.Outcome
	if o != outcome.NotRun {
		o = outcome.Unknown
	}
	out := outcome.Refusal{Outcome: o, Reason: e.Reason, Status: e.Status, RetryAfter: e.RetryAfter}
	if out.Status < http.StatusBadRequest {
		out.Status = statusFor(o, e.Reason)
	}
	if o == outcome.NotRun && out.RetryAfter <= 0 && !isFinal(e.Reason) {
		out.RetryAfter = time.Second
	}
	return out
}

// statusFor returns the HTTP status of a refusal.
func statusFor(o outcome.Outcome, reason outcome.Reason) int {
	switch {
	case reason == outcome.DeadlineExpired:
		return http.StatusGatewayTimeout
	case reason == outcome.DuplicateKey:
		return http.StatusConflict
	case reason == outcome.MalformedRequest:
		return http.StatusBadRequest
	case reason == outcome.RateLimit, reason == outcome.ConcurrencyLimit:
		return http.StatusTooManyRequests
	case o == outcome.Unknown:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
