package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// load generates observations of three routes at ten instances.
type load struct {
	rng      *rand.Rand
	model    *Model
	now      time.Time
	work     map[string]time.Duration
	slowness []float64
}

func newLoad(seed uint64) *load {
	l := &load{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start,
		model:    New(Config{HalfLife: time.Minute, Deviation: 0.4}),
		work:     map[string]time.Duration{"call": 47 * time.Millisecond, "read": 75 * time.Millisecond, "table": 150 * time.Millisecond},
		slowness: []float64{2, 1, 1, 0.7, 0.8, 1.2, 1, 1, 1.1, 0.6},
	}
	l.run(20 * time.Second)
	return l
}

// run observes 24 requests a second of each route. One in 100 takes five times as long.
func (l *load) run(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(time.Second / 24) {
		for _, name := range []string{"call", "read", "table"} {
			n := l.rng.IntN(len(l.slowness))
			took := (0.5 + l.rng.ExpFloat64()/2) * float64(l.work[name]) * l.slowness[n]
			if l.rng.IntN(100) == 0 {
				took *= 5
			}
			l.model.Observe(l.now, name, fmt.Sprint(n), time.Duration(took))
		}
	}
}

// near fails the test unless a value is within the tolerance of the expected one.
func near(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got/want-1) > tolerance {
		t.Errorf("%s: got %.3g, want %.3g within %.0f %%", what, got, want, 100*tolerance)
	}
}

const (
	seeds = 20
	// maxBias is allowed of the mean over all seeds, maxError of each estimate: an
	// estimate that follows a change within 2 s is as imprecise as its latest samples.
	maxBias, maxError = 0.1, 0.7
)

// changes compares estimates after a change of the load with those before.
func changes(t *testing.T, change func(l *load), expected func(route string) float64, slow float64) {
	t.Helper()
	mean := make(map[string]float64)
	observe := func(what string, got, want float64) {
		near(t, what, got, want, maxError)
		mean[what] += math.Log(got/want) / seeds
	}
	for seed := range uint64(seeds) {
		l := newLoad(seed)
		work, ratio := make(map[string]float64), 0.0
		for name := range l.work {
			work[name] = float64(l.model.Work(name))
		}
		ratio = l.model.Slowness(l.now, "1") / l.model.Slowness(l.now, "2")
		change(l)
		for name := range work {
			observe(name, float64(l.model.Work(name)), work[name]*expected(name))
		}
		observe("slowness", l.model.Slowness(l.now, "1")/l.model.Slowness(l.now, "2"), ratio*slow)
	}
	for what, m := range mean {
		near(t, "mean of "+what, math.Exp(m), 1, maxBias)
	}
}

// A machine that becomes slow must not make routes look expensive, as all other
// machines would then look fast.
func TestWorkDoesNotFollowOneSlowInstance(t *testing.T) {
	changes(t, func(l *load) {
		l.slowness[1] *= 2.5
		l.run(30 * time.Second)
	}, func(string) float64 { return math.Pow(2.5, 0.1) }, 2.5) // the mean slowness of ten is 1 by definition
}

// A route whose cost changes must be known within 2 s at 24 requests a second, and must
// not make instances look slow nor other routes expensive.
func TestChangedCostIsKnownWithin2s(t *testing.T) {
	for _, factor := range []float64{3, 1.0 / 3} {
		changes(t, func(l *load) {
			l.work["read"] = time.Duration(factor * float64(l.work["read"]))
			l.run(2 * time.Second)
		}, func(route string) float64 {
			if route == "read" {
				return factor
			}
			return 1
		}, 1)
	}
}

// Names of routes come from the configuration: any number of them must not use up the
// memory of a proxy.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	m := New(Config{HalfLife: time.Second, Deviation: 0.4})
	is.Equal(m.Work("r"), time.Duration(0))
	for n := range 3 * maxInstances {
		m.Observe(start.Add(time.Duration(n)), fmt.Sprint("r", n), fmt.Sprint("i", n), 100*time.Millisecond)
	}
	is.Equal(len(m.routes), maxRoutes)
	is.Equal(len(m.instances), maxInstances)
	near(t, "new route", float64(m.Work("new")), float64(100*time.Millisecond), 0.2)
}

// The remaining work falls while a request may be about to end, and rises again for one
// that takes far longer than usual. It must be finite at any age.
func TestRemainingWorkByAge(t *testing.T) {
	is := is.New(t)
	m := New(Config{HalfLife: time.Second, Deviation: 0.4})
	for n := range 200 {
		d := 100 * time.Millisecond * time.Duration(50+n%100) / 100
		m.Observe(start.Add(time.Duration(n)*10*time.Millisecond), "r", "i", d)
	}
	is.True(m.Remaining("r", 80*time.Millisecond) < m.Work("r")/2)
	is.True(m.Remaining("r", time.Second) > m.Remaining("r", 200*time.Millisecond))
	for done := time.Microsecond; done < time.Hour; done *= 2 {
		left := m.Remaining("r", done)
		is.True(left >= 0 && left < 10*time.Hour)
	}
}
