package admission

import (
	"math"
	"time"

	"heatherlift.example/heatherlift/internal/warmup"
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
)

// namedLimit is the rate limit that the backend server names in its responses.
type namedLimit struct {
	limited   bool
	perSecond float64
	// learntAt is when the latest response that named the limit arrived.
	learntAt time.Time
	// responded means that the backend server has responded to a request, with or
	// without a limit.
	responded bool
}

// rateLimiter enforces the lower of the rate limit that the backend server names in its
// responses and that of its warm-up, with a token bucket. All requests of all proxies
// pass it, because it runs in the proxy beside the backend server. Neither limit ends
// the other.
type rateLimiter struct {
	named namedLimit
	// warmUp is the budget of the warm-up while the backend server is cold, otherwise
	// zero.
	warmUp warmup.Budget
	// starts holds the latest starts, unless the version in force names no warm-up. They
	// are recorded from the first event on, before that is known.
	starts         warmup.Starts
	begun          bool
	discardsStarts bool
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

// begin begins the record of starts with the first event. An earlier process of this proxy
// has ended before.
func (l *rateLimiter) begin(now time.Time) {
	if !l.begun {
		l.begun = true
		l.starts = warmup.NewStarts(now)
	}
}

// recordStarts records starts from now on, if not before, or discards them.
func (l *rateLimiter) recordStarts(now time.Time, enabled bool) {
	if l.discardsStarts == !enabled {
		return
	}
	l.discardsStarts = !enabled
	l.starts = warmup.NewStarts(now)
}

// cold reports whether the budget of a warm-up applies.
func (l *rateLimiter) cold() bool { return l.warmUp.Limit > 0 }

// limited reports whether any limit applies.
func (l *rateLimiter) limited() bool { return l.named.limited || l.cold() }

// setNamed applies the rate limit that the backend server names.
func (l *rateLimiter) setNamed(now time.Time, perSecond float64) {
	l.change(now, func() {
		l.named.limited, l.named.perSecond, l.named.learntAt = true, perSecond, now
	})
}

// endNamed ends the rate limit that the backend server names. Responded is that of the
// limit.
func (l *rateLimiter) endNamed(now time.Time, responded bool) {
	l.change(now, func() { l.named = namedLimit{responded: responded} })
}

// setWarmUp applies the budget of a warm-up, or ends it if it is zero.
func (l *rateLimiter) setWarmUp(now time.Time, b warmup.Budget) {
	if b != l.warmUp {
		l.change(now, func() { l.warmUp = b })
	}
}

// change changes the limits with apply. The bucket of a new limit is empty. The time of
// contention and the promises end with the last limit.
func (l *rateLimiter) change(now time.Time, apply func()) {
	if l.limited() {
		l.refill(now)
	} else {
		l.tokens, l.refilledAt = 0, now
	}
	apply()
	if !l.limited() {
		l.contendedAt, l.promised, l.promisedAt = time.Time{}, 0, time.Time{}
		return
	}
	l.tokens = min(l.tokens, l.burst())
}

// rate returns the enforced rate in requests per second.
func (l *rateLimiter) rate() float64 {
	switch {
	case !l.cold():
		return l.namedRate()
	case !l.named.limited:
		return l.warmUp.PerSecond
	}
	return min(l.namedRate(), l.warmUp.PerSecond)
}

func (l *rateLimiter) namedRate() float64 { return min(max(l.named.perSecond, minRate), maxRate) }

// burst returns the capacity of the bucket.
func (l *rateLimiter) burst() float64 {
	burst := min(minBurst+l.rate()*burstDuration.Seconds(), maxBurst)
	switch {
	case !l.cold():
		return burst
	case !l.named.limited:
		return l.warmUp.Burst
	}
	return min(burst, l.warmUp.Burst)
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
	if !l.limited() {
		return 0
	}
	missing := float64(n) - l.tokens - max(0, now.Sub(l.refilledAt).Seconds())*l.rate()
	wait := max(0, time.Duration(math.Ceil(missing/l.rate()*float64(time.Second))))
	if l.cold() {
		wait = max(wait, l.starts.Wait(now, n, l.warmUp.Limit))
	}
	return wait
}

// take takes a token for a request that starts, or reports false if there is none.
func (l *rateLimiter) take(now time.Time) bool {
	if l.limited() {
		if l.wait(now, 1) > 0 {
			return false
		}
		l.refill(now)
		l.tokens--
	}
	if !l.discardsStarts {
		l.starts.Record(now)
	}
	return true
}

// sendBy returns the time by which a request that starts now must be sent, so that the
// starts of a Window bound the requests that a cold backend server gets in a second. It is
// zero if the backend server is warm.
func (l *rateLimiter) sendBy(now time.Time) time.Time {
	if !l.cold() {
		return time.Time{}
	}
	return now.Add(warmup.SendDelay)
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

// contended reports whether the rate limit is too low for all requests.
func (l *rateLimiter) contended(now time.Time) bool {
	window := max(minContentionTime, time.Duration(contentionTokens/l.rate()*float64(time.Second)))
	return l.limited() && !l.contendedAt.IsZero() && now.Sub(l.contendedAt) < window
}
