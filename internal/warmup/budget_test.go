package warmup

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The figures of the platform: 14 x 1.5 + 8 = 29 requests in any second, and the whole
// rate of 21 a second in the long run.
func TestBudgetUsesTheWholeTolerance(t *testing.T) {
	is := is.New(t)
	b := Tolerance{Over: 1.5, Slack: 8}.Budget(14)
	is.Equal(b.Limit, 29)
	is.Equal(b.PerSecond, 21.0)
	for _, c := range []struct {
		tolerance Tolerance
		perSecond float64
	}{{Tolerance{}, 1}, {Tolerance{}, 15}, {Tolerance{Over: 1.1}, 10}, {Tolerance{Slack: 100}, 14}, {Tolerance{Over: 0.5}, 1}} {
		b := c.tolerance.Budget(c.perSecond)
		is.True(b.Burst >= 1 && b.Burst <= maxBurst)
		is.True(int(math.Floor(b.Burst+b.PerSecond*Window.Seconds())) <= b.Limit) // also of the bucket alone
		is.True(b.PerSecond <= c.tolerance.Rate(c.perSecond))
	}
}

// A single lost connection is no sign of a start, nor are a few of many.
func TestConnectionsLostTogetherAreASignOfAStart(t *testing.T) {
	is := is.New(t)
	var l Losses
	is.True(!l.Record(start, 0))
	is.True(!l.Record(start.Add(time.Second), 3))
	is.True(!l.Record(start.Add(time.Second), 8))
	is.True(l.Record(start.Add(time.Second+lossSpan), 3))
}
