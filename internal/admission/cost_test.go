package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// errors of the estimates of waits, in seconds.
type waitErrors struct{ count, today, learned, whole float64 }

// waitErrorsOf simulates a backend server with three routes at a load and compares the
// estimates at the arrival of each request with the wait that follows. The third
// estimate divides all remaining work by the slots.
func waitErrorsOf(load float64, seed uint64) (e waitErrors) {
	const slots = 12
	rng := rand.New(rand.NewPCG(seed, 2))
	a := New(Config{Slots: slots, QueueLength: 1000})
	a.Step(epoch, Assigned{Slots: slots, Restarted: true})
	routes := []struct {
		name string
		work time.Duration
	}{{"call", 47 * time.Millisecond}, {"read", 75 * time.Millisecond}, {"table", 150 * time.Millisecond}}
	rate := load * slots / 0.0907
	type estimate struct {
		at                    time.Time
		today, learned, whole time.Duration
	}
	estimates := make(map[uint64]estimate)
	ends := make(map[uint64]time.Time)
	took := make(map[uint64]time.Duration)
	started := func(now time.Time, effects []Effect) {
		for _, effect := range effects {
			run, ok := effect.(Run)
			if !ok {
				continue
			}
			ends[run.ID] = now.Add(took[run.ID])
			if est := estimates[run.ID]; now.Sub(epoch) > 2*time.Second {
				wait := now.Sub(est.at)
				e.count++
				e.today += math.Abs((est.today - wait).Seconds())
				e.learned += math.Abs((est.learned - wait).Seconds())
				e.whole += math.Abs((est.whole - wait).Seconds())
			}
		}
	}
	endUntil := func(until time.Time) {
		for len(ends) > 0 {
			first := uint64(0)
			for id, at := range ends {
				if first == 0 || at.Before(ends[first]) || at.Equal(ends[first]) && id < first {
					first = id
				}
			}
			at := ends[first]
			if at.After(until) {
				return
			}
			delete(ends, first)
			a.Step(at, Reported{ID: first, Answered: true})
			started(at, a.Step(at, Ended{ID: first, Outcome: outcome.Answered}))
		}
	}
	now := epoch
	for id := uint64(1); now.Sub(epoch) < 30*time.Second; id++ {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		endUntil(now)
		route := routes[rng.IntN(len(routes))]
		took[id] = time.Duration((0.5 + rng.ExpFloat64()/2) * float64(route.work))
		if rng.IntN(100) == 0 {
			took[id] *= 5
		}
		arrived := Arrived{ID: id, Repeatable: true, Route: route.name, Deadline: now.Add(time.Minute), Target: now.Add(30 * time.Second)}
		r := &request{Arrived: arrived, arrivedAt: now}
		est := estimate{at: now, today: a.estimateSlotWait(now, r, a.waitingBefore(r)), learned: a.expectedWait(now, r, slots)}
		if len(a.running)+a.queue.len() >= slots {
			for _, other := range a.running {
				est.whole += a.cost.model.Remaining(other.Route, now.Sub(other.startedAt)) / slots
			}
			_, work := a.workAhead(r)
			est.whole += work / slots
		}
		estimates[id] = est
		started(now, a.Step(now, arrived))
	}
	return e
}

// The wait that is reported must be at least as good an estimate as the one by which
// admission decides. Run it with -v for the table of docs/design/cost.md.
func TestExpectedWaitIsNoWorseThanCountOfRequests(t *testing.T) {
	for _, load := range []float64{0.7, 0.85, 0.95, 1.05} {
		var sum waitErrors
		for seed := range uint64(4) {
			e := waitErrorsOf(load, seed)
			sum.count += e.count
			sum.today += e.today
			sum.learned += e.learned
			sum.whole += e.whole
		}
		ms := func(total float64) float64 { return 1000 * total / sum.count }
		t.Logf("load %.2f: mean error by count %.2f ms, by remaining work %.2f ms, by all work over slots %.2f ms", load, ms(sum.today), ms(sum.learned), ms(sum.whole))
		if sum.learned > 1.02*sum.today {
			t.Errorf("load %.2f: error of %.2f ms by remaining work, %.2f ms by count", load, ms(sum.learned), ms(sum.today))
		}
	}
}

// A machine that states that it is slow has a longer wait for as long as the statement
// is fresh; without one the slowness is learned from the responses.
func TestSlownessIsStatedOrElseLearned(t *testing.T) {
	is := is.New(t)
	a := New(Config{Slots: 1, QueueLength: 10})
	now, id := epoch, uint64(0)
	run := func(d time.Duration, load ServerLoad, loaded bool) CostReport {
		id++
		arrived := Arrived{ID: id, Repeatable: true, Route: "r", Deadline: now.Add(time.Minute), Target: now.Add(time.Second)}
		a.Step(now, arrived)
		now = now.Add(d)
		a.Step(now, Reported{ID: id, Answered: true, Load: load, Loaded: loaded})
		report, ok := a.CostReport(now, arrived)
		is.True(ok)
		a.Step(now, Ended{ID: id, Outcome: outcome.Answered})
		return report
	}
	_, ok := a.CostReport(now, Arrived{Route: "r"})
	is.True(!ok) // nothing is known yet
	for range 100 {
		run(50*time.Millisecond, ServerLoad{}, false)
	}
	is.Equal(run(50*time.Millisecond, ServerLoad{Slots: 1}, true).Stated, false) // without the fourth figure
	report := run(125*time.Millisecond, ServerLoad{Slots: 1, Percent: 250}, true)
	is.True(report.Stated)
	is.Equal(report.Slowness, 2.5)
	is.Equal(report.Wait, time.Duration(0))
	a.Step(now, Arrived{ID: 1000, Repeatable: true, Route: "r", Deadline: now.Add(time.Minute), Target: now.Add(time.Second)})
	report, _ = a.CostReport(now, Arrived{ID: 1001, Route: "r", Target: now.Add(time.Second)})
	is.True(report.Wait > 110*time.Millisecond && report.Wait < 170*time.Millisecond)
	a.Step(now, Ended{ID: 1000, Outcome: outcome.Answered})
	now = now.Add(time.Second)
	is.True(!run(50*time.Millisecond, ServerLoad{}, false).Stated) // the statement is too old
	for range 6 {
		report = run(125*time.Millisecond, ServerLoad{}, false)
	}
	is.True(report.Slowness > 1.3)
}
