package dist

import (
	"math/rand/v2"
	"time"
)

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
	window := b.limit
	if b.failures < 30 {
		window = min(b.limit, b.base<<b.failures)
	}
	b.failures++
	b.next = now.Add(time.Duration(rng.Int64N(int64(window) + 1)))
}

// reset allows the next try at once.
func (b *backoff) reset() {
	b.failures = 0
	b.next = time.Time{}
}
