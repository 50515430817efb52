package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/outcome"
)

const simLength = 60 * time.Second

// Under overload at least nine tenths of the capacity is spent on requests
// that are answered in time.
const minGoodput = 0.9 * simCapacity

func TestGoodputUnderOverload(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2, 4} {
		is := is.New(t)
		s := source{organisation: "a", perSecond: load * simCapacity}
		fair, naive := arrivals(1, simLength, s), arrivals(1, simLength, s)
		simulate(New(Config{Slots: simSlots, QueueLength: simQueue}), fair)
		simulate(newNaiveFIFO(simSlots, simQueue), naive)
		got, base := goodput(fair, simLength), goodput(naive, simLength)
		t.Logf("load %.1f: goodput %.1f/s, naive FIFO %.1f/s", load, got, base)
		if load > 1 {
			is.True(got >= minGoodput) // overload must not waste slots
		}
		is.True(got >= 0.95*base) // never much below the naive queue
	}
}

func TestFlooderLeavesOthersTheirShare(t *testing.T) {
	for _, flood := range []float64{0, 1, 4, 16} {
		is := is.New(t)
		sources := []source{{"a", 0.2 * simCapacity}, {"b", 0.2 * simCapacity}}
		if flood > 0 {
			sources = append(sources, source{"flooder", flood * simCapacity})
		}
		fair, naive := arrivals(2, simLength, sources...), arrivals(2, simLength, sources...)
		simulate(New(Config{Slots: simSlots, QueueLength: simQueue}), fair)
		simulate(newNaiveFIFO(simSlots, simQueue), naive)
		for _, org := range []string{"a", "b", "flooder"} {
			part, p99 := share99(fair, org)
			basePart, baseP99 := share99(naive, org)
			t.Logf("flood %4.1f %-8s in time %.4f p99 %v, naive FIFO %.4f p99 %v", flood, org, part, p99, basePart, baseP99)
			if org != "flooder" {
				is.True(part >= 0.99) // an organisation within its share is served
			}
		}
	}
}

// TestFairShare bounds how far two organisations with a backlog drift apart:
// slot time differs by at most two full sets of slots of the longest run.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		works := []time.Duration{
			time.Duration(rapid.IntRange(1, 50).Draw(t, "workA")) * time.Millisecond,
			time.Duration(rapid.IntRange(1, 50).Draw(t, "workB")) * time.Millisecond,
		}
		a := New(Config{Slots: slots, QueueLength: 10_000})
		var jobs []*job
		for i := range 2000 {
			jobs = append(jobs, &job{at: epoch, work: works[i%2], Arrived: Arrived{
				ID: uint64(i + 1), Organisation: strconv.Itoa(i % 2), Repeatable: true, Deadline: epoch.Add(time.Hour),
			}})
		}
		used := make(map[string]time.Duration)
		probe := &observer{inner: a, ended: func(id uint64) {
			j := jobs[id-1]
			used[j.Organisation] += j.work
			if len(a.queue.share("0").waiting.items) == 0 || len(a.queue.share("1").waiting.items) == 0 {
				return
			}
			bound := 2 * time.Duration(slots+1) * max(works[0], works[1])
			if d := (used["0"] - used["1"]).Abs(); d > bound {
				t.Fatalf("shares %v and %v differ by more than %v", used["0"], used["1"], bound)
			}
		}}
		simulate(probe, jobs)
	})
}

func TestIdleOrganisationSavesUpNothing(t *testing.T) {
	is := is.New(t)
	a := New(Config{Slots: 1, QueueLength: 10_000})
	var jobs []*job
	add := func(org string, at time.Time) {
		jobs = append(jobs, &job{at: at, work: time.Millisecond, Arrived: Arrived{
			ID: uint64(len(jobs) + 1), Organisation: org, Repeatable: true, Deadline: epoch.Add(time.Hour),
		}})
	}
	for range 2000 {
		add("early", epoch)
	}
	for range 100 {
		add("late", epoch.Add(time.Second))
	}
	last := time.Duration(0)
	simulate(&observer{inner: a, ended: func(id uint64) {
		if j := jobs[id-1]; j.Organisation == "late" {
			last = j.end.Sub(j.at)
		}
	}}, jobs)
	is.True(last >= 195*time.Millisecond) // 100 of every 200 runs
	is.True(last <= 205*time.Millisecond)
}

// TestShortDeadlinesAreStillTried mixes requests whose deadline is shorter
// than the mean service time with long ones, above the capacity.
func TestShortDeadlinesAreStillTried(t *testing.T) {
	is := is.New(t)
	jobs := arrivals(3, simLength, source{"short", simCapacity}, source{"long", simCapacity})
	for _, j := range jobs {
		if j.Organisation == "short" {
			j.work, j.Deadline = 10*time.Millisecond, j.at.Add(80*time.Millisecond)
		}
	}
	simulate(New(Config{Slots: simSlots, QueueLength: simQueue}), jobs)
	part, _ := share99(jobs, "short")
	t.Logf("short requests in time %.3f", part)
	is.True(part >= 0.9) // they need a tenth of the capacity
}

// observer reports the ends of runs.
type observer struct {
	inner stepper
	ended func(id uint64)
}

func (o *observer) Step(now time.Time, e Event) []Effect {
	effects := o.inner.Step(now, e)
	if ended, ok := e.(Ended); ok {
		o.ended(ended.ID)
	}
	return effects
}

func TestLongestQueueGivesWay(t *testing.T) {
	is := is.New(t)
	a := New(Config{Slots: 4, QueueLength: 10, OrganisationQueueLength: 10})
	id := uint64(0)
	arrive := func(org string) []Effect {
		id++
		return a.Step(epoch, Arrived{ID: id, Organisation: org, Repeatable: true, Deadline: epoch.Add(time.Minute)})
	}
	for range 11 {
		arrive("flooder")
	}
	effects := arrive("small")
	refused, ok := effects[0].(Refuse)
	is.True(ok)
	is.True(refused.ID != id) // the small organisation's request is kept
	is.Equal(refused.Refusal.Outcome, outcome.NotRun)
	is.Equal(a.queue.share("small").waiting.Len(), 1)
}

func BenchmarkStep(b *testing.B) {
	for _, orgs := range []int{1, 100, 1000} {
		b.Run(strconv.Itoa(orgs)+" organisations", func(b *testing.B) {
			a := New(Config{Slots: simSlots, QueueLength: 2000, OrganisationQueueLength: 2000})
			names := make([]string, orgs)
			for i := range names {
				names[i] = "organisation-" + strconv.Itoa(i)
			}
			now := epoch
			var running []uint64
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				now = now.Add(time.Microsecond)
				e := Arrived{ID: id, Organisation: names[id%uint64(orgs)], Repeatable: true, Deadline: now.Add(time.Minute)}
				running = note(running, a.Step(now, e))
				if id%2 == 0 && len(running) > 0 {
					first := running[0]
					running = note(running[1:], a.Step(now, Ended{ID: first, Outcome: outcome.Answered}))
				}
			}
		})
	}
}

func note(running []uint64, effects []Effect) []uint64 {
	for _, e := range effects {
		if run, ok := e.(Run); ok {
			running = append(running, run.ID)
		}
	}
	return running
}
