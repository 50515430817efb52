package admission

import (
	"math"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// minRate is the lowest rate that is enforced, in requests per second: only a
	// response can end a limit of zero.
	minRate = 0.25
	// maxRate is the highest rate that is enforced. It lies above what a backend server
	// can serve.
	maxRate = 1e6
	// Unused tokens accumulate up to minBurst and those of burstDuration, but no more
	// than maxBurst. They make up for gaps between requests and for late timers.
	minBurst      = 2
	burstDuration = 100 * time.Millisecond
	maxBurst      = 4
	// After a refusal, the limit counts as contended for minContentionTime, at low
	// rates for the time of contentionTokens.
	minContentionTime = time.Second
	contentionTokens  = 2
	// tokenWaitShare is the share of its slack that a request may wait for a token
	// while the limit is contended. The rest is for errors of the estimate.
	tokenWaitShare = 0.75
)

// rateLimiter enforces the rate limit that the backend server names in its responses,
// with a token bucket. All requests of all proxies pass it, because it runs in the
// proxy beside the backend server.
type rateLimiter struct {
	limited   bool
	perSecond float64
	// learntAt is when the latest response that named the limit arrived.
	learntAt time.Time
	// responded means that the backend server has responded to a request, with or
	// without a limit.
	responded bool
	// tokens is the number of requests that may start at refilledAt.
	tokens     float64
	refilledAt time.Time
	// contendedAt is when a request that had no other instance to try was last
	// refused because of the limit.
	contendedAt time.Time
	// promised is the number of refused requests that were told to come back for a
	// token that had not come at promisedAt.
	promised   float64
	promisedAt time.Time
}

// set applies a limit. The bucket of a new limit is empty.
func (l *rateLimiter) set(now time.Time, perSecond float64) {
	if l.limited {
		l.refill(now)
	} else {
		l.tokens, l.refilledAt = 0, now
	}
	l.limited, l.perSecond, l.learntAt = true, perSecond, now
	l.tokens = min(l.tokens, l.burst())
}

// rate returns the enforced rate in requests per second.
func (l *rateLimiter) rate() float64 { return min(max(l.perSecond, minRate), maxRate) }

// burst returns the capacity of the bucket.
func (l *rateLimiter) burst() float64 {
	return min(minBurst+l.rate()*burstDuration.Seconds(), maxBurst)
}

func (l *rateLimiter) refill(now time.Time) {
	if !now.After(l.refilledAt) {
		return
	}
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*l.rate(), l.burst())
	l.refilledAt = now
}

// wait returns the time until the n-th next request may start, counted from 1.
func (l *rateLimiter) wait(now time.Time, n int) time.Duration {
	if !l.limited {
		return 0
	}
	missing := float64(n) - l.tokens - max(0, now.Sub(l.refilledAt).Seconds())*l.rate()
	return max(0, time.Duration(math.Ceil(missing/l.rate()*float64(time.Second))))
}

// take takes a token for a request that starts, or reports false if there is none.
func (l *rateLimiter) take(now time.Time) bool {
	if !l.limited {
		return true
	}
	if l.wait(now, 1) > 0 {
		return false
	}
	l.refill(now)
	l.tokens--
	return true
}

// promise returns the time until a token is free for a refused request, behind those that
// wait and those that were refused before. Callers that are refused together thus come
// back one after the other.
func (l *rateLimiter) promise(now time.Time, waiting int) time.Duration {
	l.contendedAt = now
	l.promised = max(0, l.promised-now.Sub(l.promisedAt).Seconds()*l.rate())
	l.promisedAt = now
	wait := l.wait(now, waiting+int(l.promised)+1)
	if wait < maxRetryAfter {
		l.promised++
	}
	return wait
}

// setRateLimit applies the rate limit that the response to r names. Responses may
// arrive out of order: a higher limit applies only if the request started after the
// lower one was learnt.
func (a *Admission) setRateLimit(now time.Time, r *request, perSecond float64) {
	known := a.rate
	a.rate.responded = true
	if known.limited && perSecond > known.perSecond && r.startedAt.Before(known.learntAt) {
		return
	}
	a.rate.set(now, perSecond)
	if !known.limited || known.perSecond != perSecond {
		a.emit(RateLimitChanged{Limited: true, PerSecond: perSecond})
	}
}

// adoptRateLimit applies a limit that the sender of a request has learnt from an earlier
// response, as long as this proxy has seen none: it may have been restarted since.
func (a *Admission) adoptRateLimit(now time.Time, e Arrived) {
	if !e.RateLimited || a.rate.responded || a.rate.limited && a.rate.perSecond <= e.RateLimit {
		return
	}
	a.rate.set(now, e.RateLimit)
	a.emit(RateLimitChanged{Limited: true, PerSecond: e.RateLimit})
}

// recordUnlimited ends the rate limit if the response to r does not name one. As in
// setRateLimit, the request must have started after the limit was learnt.
func (a *Admission) recordUnlimited(r *request, e Ended) {
	if e.Outcome != outcome.Answered && e.Reason != outcome.BackendServerShed {
		return
	}
	a.rate.responded = true
	if r.namedLimit || !a.rate.limited || r.startedAt.Before(a.rate.learntAt) {
		return
	}
	a.rate = rateLimiter{responded: true}
	a.emit(RateLimitChanged{})
}

// waitsForTokens reports whether only the rate limit keeps requests waiting, as slots are
// free.
func (a *Admission) waitsForTokens(now time.Time) bool {
	return a.rate.limited && len(a.running) < a.concurrencyLimit(now)
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
		return a.requestsAhead(r.Organisation)
	}
	queue, ok := a.queue.organisations[r.Organisation]
	if !ok {
		return 0
	}
	n := 0
	for _, waiting := range queue.waiting.items {
		if waiting.Priority <= r.Priority {
			n++
		}
	}
	return n
}

// tokenWait returns the time until the rate limit lets a new request start.
func (a *Admission) tokenWait(now time.Time, r *request) time.Duration {
	if !a.rate.limited {
		return 0
	}
	return a.rate.wait(now, a.waitingForToken(r)+1)
}

// dropBeyondRate refuses waiting requests that the rate limit does not let start in time.
func (a *Admission) dropBeyondRate(now time.Time) {
	if !a.rate.limited || a.queue.len() == 0 {
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

// contended reports whether the rate limit is too low for all requests.
func (l *rateLimiter) contended(now time.Time) bool {
	window := max(minContentionTime, time.Duration(contentionTokens/l.rate()*float64(time.Second)))
	return l.limited && !l.contendedAt.IsZero() && now.Sub(l.contendedAt) < window
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
