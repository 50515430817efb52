package dist

import (
	"math/rand/v2"
	"time"
)

// maxDoublings keeps the backoff window from overflowing.
const maxDoublings = 20

// backoff is an exponential backoff with full jitter.
type backoff struct {
	base, limit time.Duration
	failures    int
	notBefore   time.Time
}

// due reports whether the next attempt may start.
func (b *backoff) due(now time.Time) bool {
	return !now.Before(b.notBefore)
}

// fail records a failure and schedules the next attempt at a random time within
// a window that doubles with each failure.
func (b *backoff) fail(now time.Time, rng *rand.Rand) {
	window := min(b.limit, b.base<<min(b.failures, maxDoublings))
	b.failures++
	b.notBefore = now.Add(jitter(rng, window))
}

// schedule sets the next attempt to start after delay plus a random jitter of up
// to delay.
func (b *backoff) schedule(now time.Time, delay time.Duration, rng *rand.Rand) {
	b.notBefore = now.Add(delay + jitter(rng, delay))
}

// reset clears the failures and allows an attempt at once.
func (b *backoff) reset() {
	b.failures = 0
	b.notBefore = time.Time{}
}

// jitter returns a random duration between 0 and window.
func jitter(rng *rand.Rand, window time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(window) + 1))
}
