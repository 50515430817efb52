package dist

import (
	"math/rand/v2"
	"time"
)

// maxDoublings keeps the window of a backoff from overflowing.
const maxDoublings = 20

// backoff is an exponential backoff with full jitter.
type backoff struct {
	base, limit time.Duration
	failures    int
	next        time.Time
}

// due reports whether another try may start.
func (b *backoff) due(now time.Time) bool {
	return !now.Before(b.next)
}

// fail schedules the next try at a random time within the grown window.
func (b *backoff) fail(now time.Time, rng *rand.Rand) {
	window := min(b.limit, b.base<<min(b.failures, maxDoublings))
	b.failures++
	b.next = now.Add(jitter(rng, window))
}

// wait schedules the next try between wait and twice wait from now.
func (b *backoff) wait(now time.Time, wait time.Duration, rng *rand.Rand) {
	b.next = now.Add(wait + jitter(rng, wait))
}

// reset allows the next try at once.
func (b *backoff) reset() {
	b.failures = 0
	b.next = time.Time{}
}

// jitter returns a random duration from 0 to window.
func jitter(rng *rand.Rand, window time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(window) + 1))
}
