package cost

import (
	"math"
	"time"
)

// minTail is the probability below which the tail of the normal distribution is
// replaced by its asymptotic form, as the quotient of two such values is imprecise.
const minTail = 1e-9

// Remaining returns the expected remaining work of a request of a route of which the
// given work is done. A request that has run for longer than usual has more left, not
// less: few of those that take so long are about to end.
func (m *Model) Remaining(routeName string, done time.Duration) time.Duration {
	mean, spread, ok := m.distribution(routeName)
	if !ok {
		return 0
	}
	return seconds(lognormalRemaining(mean, spread, max(0, done.Seconds())))
}

// lognormalRemaining returns the mean of X - done under the condition X > done, for a
// lognormal X.
func lognormalRemaining(mean, variance, done float64) float64 {
	whole := math.Exp(mean + variance/2)
	if done <= 0 {
		return whole
	}
	deviation := math.Sqrt(variance)
	z := (math.Log(done) - mean) / deviation
	tail := normalTail(z)
	if tail < minTail {
		return done * variance / (math.Log(done) - mean)
	}
	return max(0, whole*normalTail(z-deviation)/tail-done)
}

// normalTail returns the probability that a standard normal variable exceeds z.
func normalTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }
