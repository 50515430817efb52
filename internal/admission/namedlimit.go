package admission

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// tokenWaitShare is the share of its slack that a request may wait for a token
// while the limit is contended. The rest is for errors of the estimate.
const tokenWaitShare = 0.75

// setRateLimit applies the rate limit that the response to r names. Responses may
// arrive out of order: a higher limit applies only if the request started after the
// lower one was learnt.
func (a *Admission) setRateLimit(now time.Time, r *request, perSecond float64) {
	known := a.rate.named
	a.rate.named.responded = true
	if known.limited && perSecond > known.perSecond && r.startedAt.Before(known.learntAt) {
		return
	}
	a.rate.setNamed(now, perSecond)
	if !known.limited || known.perSecond != perSecond {
		a.emit(RateLimitChanged{Limited: true, PerSecond: perSecond})
	}
}

// adoptRateLimit applies a limit that the sender of a request has learnt from an earlier
// response, as long as this proxy has seen none: it may have been restarted since.
func (a *Admission) adoptRateLimit(now time.Time, e Arrived) {
	named := a.rate.named
	if !e.RateLimited || named.responded || named.limited && named.perSecond <= e.RateLimit {
		return
	}
	a.rate.setNamed(now, e.RateLimit)
	a.emit(RateLimitChanged{Limited: true, PerSecond: e.RateLimit})
}

// recordUnlimited ends the rate limit if the response to r does not name one. As in
// setRateLimit, the request must have started after the limit was learnt.
func (a *Admission) recordUnlimited(now time.Time, r *request, e Ended) {
	if e.Outcome != outcome.Answered && e.Reason != outcome.BackendServerShed {
		return
	}
	a.rate.named.responded = true
	if r.namedLimit || !a.rate.named.limited || r.startedAt.Before(a.rate.named.learntAt) {
		return
	}
	a.rate.endNamed(now, true)
	a.emit(RateLimitChanged{})
}

// waitsForTokens reports whether only the rate limit keeps requests waiting, as slots are
// free.
func (a *Admission) waitsForTokens(now time.Time) bool {
	return a.rate.limited() && len(a.running) < a.concurrencyLimit(now)
}

// wakeForToken emits WakeAt if a request waits only for a token.
func (a *Admission) wakeForToken(now time.Time) {
	wait := a.rate.wait(now, 1)
	if a.queue.len() == 0 || wait == 0 || !a.waitsForTokens(now) {
		return
	}
	at := now.Add(wait)
	if a.wakeAt.After(now) && !at.Before(a.wakeAt) {
		return
	}
	a.wakeAt = at
	a.emit(WakeAt{At: at})
}

// waitingForToken returns the number of waiting requests that a new one must let start
// first: all that are not less urgent, also those that are due later, since they were
// accepted for the tokens that come next.
func (a *Admission) waitingForToken(r *request) int {
	if r.Target.IsZero() {
		return a.requestsAhead(r)
	}
	return a.queue.ahead(r.class(), func(queue *classQueue) int {
		if own, ok := queue.organisations[r.Organisation]; ok {
			return own.waiting.Len()
		}
		return 0
	})
}

// tokenWait returns the time until the rate limit lets a new request start.
func (a *Admission) tokenWait(now time.Time, r *request) time.Duration {
	if !a.rate.limited() {
		return 0
	}
	return a.rate.wait(now, a.waitingForToken(r)+1)
}

// waitsTooLongForToken reports whether a new request with a target would wait longer for a
// token than the share of its slack: the time until its target less the expected service
// time.
func (a *Admission) waitsTooLongForToken(now time.Time, r *request, share float64) bool {
	if !a.rate.limited() || r.Target.IsZero() {
		return false
	}
	slack := r.Target.Sub(now) - a.serviceTime.expected(r.Route)
	return float64(a.tokenWait(now, r)) > share*float64(max(0, slack))
}

// dropBeyondRate refuses waiting requests that the rate limit does not let start in time.
func (a *Admission) dropBeyondRate(now time.Time) {
	if !a.rate.limited() || a.queue.len() == 0 {
		return
	}
	waiting := sortedByID(a.waiting)
	slices.SortFunc(waiting, func(x, y *request) int {
		if runsBefore(x, y) {
			return -1
		}
		return 1
	})
	ahead := 0
	for _, r := range waiting {
		if a.exceedsRate(now, r, ahead) {
			a.drop(now, r, outcome.BackendServerLimited)
			continue
		}
		ahead++
	}
}

// exceedsRate reports whether the rate limit does not let a request behind others start
// in time to be answered before its deadline.
func (a *Admission) exceedsRate(now time.Time, r *request, ahead int) bool {
	wait := a.rate.wait(now, ahead+1)
	if wait == 0 {
		return false
	}
	expected := min(a.serviceTime.expected(r.Route), r.Deadline.Sub(r.arrivedAt)/2)
	return now.Add(wait + expected).After(r.Deadline)
}

// overloadReason returns the reason for refusing a request that would wait too long: the
// rate limit if it binds.
func (a *Admission) overloadReason(now time.Time) outcome.Reason {
	if a.rate.wait(now, a.queue.len()+1) > 0 {
		return outcome.BackendServerLimited
	}
	return outcome.Overload
}
