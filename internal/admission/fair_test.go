package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/outcome"
)

const simDuration = 60 * time.Second

// minGoodput is the minimum goodput under overload: at least nine tenths of the
// capacity must go to requests that are answered in time.
const minGoodput = 0.9 * simCapacity

func TestGoodputUnderOverload(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2, 4} {
		is := is.New(t)
		s := traffic{organisation: "a", perSecond: load * simCapacity}
		fair, naive := poissonArrivals(1, simDuration, s), poissonArrivals(1, simDuration, s)
		simulate(New(Config{Slots: simSlots, QueueLength: simQueueLength}), fair)
		simulate(newNaiveFIFO(simSlots, simQueueLength), naive)
		fairGoodput, naiveGoodput := goodput(fair, simDuration), goodput(naive, simDuration)
		t.Logf("load %.1f: goodput %.1f/s, naive FIFO %.1f/s", load, fairGoodput, naiveGoodput)
		if load > 1 {
			is.True(fairGoodput >= minGoodput) // overload must not waste slots
		}
		is.True(fairGoodput >= 0.95*naiveGoodput) // at most 5 % below the naive queue
	}
}

func TestFloodDoesNotStarveOtherOrganisations(t *testing.T) {
	for _, flood := range []float64{0, 1, 4, 16} {
		is := is.New(t)
		sources := []traffic{{"a", 0.2 * simCapacity}, {"b", 0.2 * simCapacity}}
		if flood > 0 {
			sources = append(sources, traffic{"flooder", flood * simCapacity})
		}
		fair, naive := poissonArrivals(2, simDuration, sources...), poissonArrivals(2, simDuration, sources...)
		simulate(New(Config{Slots: simSlots, QueueLength: simQueueLength}), fair)
		simulate(newNaiveFIFO(simSlots, simQueueLength), naive)
		for _, org := range []string{"a", "b", "flooder"} {
			inTime, p99 := inTimeAndP99(fair, org)
			naiveInTime, naiveP99 := inTimeAndP99(naive, org)
			t.Logf("flood %4.1f %-8s in time %.4f p99 %v, naive FIFO %.4f p99 %v", flood, org, inTime, p99, naiveInTime, naiveP99)
			if org != "flooder" {
				is.True(inTime >= 0.99) // an organisation within its share is served
			}
		}
	}
}

// TestFairShare checks that two organisations with a backlog get equal slot time.
// The difference is at most 2*(slots+1) times the longer service time.
func TestFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		serviceTimes := []time.Duration{
			time.Duration(rapid.IntRange(1, 50).Draw(t, "workA")) * time.Millisecond,
			time.Duration(rapid.IntRange(1, 50).Draw(t, "workB")) * time.Millisecond,
		}
		a := New(Config{Slots: slots, QueueLength: 10_000})
		var jobs []*job
		for i := range 2000 {
			jobs = append(jobs, &job{arrivedAt: epoch, serviceTime: serviceTimes[i%2], Arrived: Arrived{
				ID: uint64(i + 1), Organisation: strconv.Itoa(i % 2), Repeatable: true, Deadline: epoch.Add(time.Hour),
			}})
		}
		used := make(map[string]time.Duration)
		observed := &endObserver{inner: a, ended: func(id uint64) {
			j := jobs[id-1]
			used[j.Organisation] += j.serviceTime
			if len(a.queue.queueOf("0").waiting.items) == 0 || len(a.queue.queueOf("1").waiting.items) == 0 {
				return
			}
			bound := 2 * time.Duration(slots+1) * max(serviceTimes[0], serviceTimes[1])
			if d := (used["0"] - used["1"]).Abs(); d > bound {
				t.Fatalf("slot times %v and %v differ by more than %v", used["0"], used["1"], bound)
			}
		}}
		simulate(observed, jobs)
	})
}

func TestIdleOrganisationGainsNoCredit(t *testing.T) {
	is := is.New(t)
	a := New(Config{Slots: 1, QueueLength: 10_000})
	var jobs []*job
	add := func(org string, at time.Time) {
		jobs = append(jobs, &job{arrivedAt: at, serviceTime: time.Millisecond, Arrived: Arrived{
			ID: uint64(len(jobs) + 1), Organisation: org, Repeatable: true, Deadline: epoch.Add(time.Hour),
		}})
	}
	for range 2000 {
		add("early", epoch)
	}
	for range 100 {
		add("late", epoch.Add(time.Second))
	}
	lastLatency := time.Duration(0)
	simulate(&endObserver{inner: a, ended: func(id uint64) {
		if j := jobs[id-1]; j.Organisation == "late" {
			lastLatency = j.endedAt.Sub(j.arrivedAt)
		}
	}}, jobs)
	is.True(lastLatency >= 195*time.Millisecond) // every second run of 1 ms is one of its 100 requests
	is.True(lastLatency <= 205*time.Millisecond)
}

// TestShortDeadlineRequestsRunUnderOverload guards against refusing every request
// whose deadline is shorter than the mean service time: short and long requests
// together exceed the capacity.
func TestShortDeadlineRequestsRunUnderOverload(t *testing.T) {
	is := is.New(t)
	jobs := poissonArrivals(3, simDuration, traffic{"short", simCapacity}, traffic{"long", simCapacity})
	for _, j := range jobs {
		if j.Organisation == "short" {
			j.serviceTime, j.Deadline = 10*time.Millisecond, j.arrivedAt.Add(80*time.Millisecond)
		}
	}
	simulate(New(Config{Slots: simSlots, QueueLength: simQueueLength}), jobs)
	inTime, _ := inTimeAndP99(jobs, "short")
	t.Logf("short requests in time %.3f", inTime)
	is.True(inTime >= 0.9) // they need a tenth of the capacity
}

// endObserver calls ended after each Ended event.
type endObserver struct {
	inner policy
	ended func(id uint64)
}

func (o *endObserver) Step(now time.Time, e Event) []Effect {
	effects := o.inner.Step(now, e)
	if ended, ok := e.(Ended); ok {
		o.ended(ended.ID)
	}
	return effects
}

func TestFullQueueDropsFromTheLongestQueue(t *testing.T) {
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
	is.Equal(a.queue.queueOf("small").waiting.Len(), 1)
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
				running = appendRuns(running, a.Step(now, e))
				if id%2 == 0 && len(running) > 0 {
					first := running[0]
					running = appendRuns(running[1:], a.Step(now, Ended{ID: first, Outcome: outcome.Answered}))
				}
			}
		})
	}
}

// appendRuns appends the IDs of started requests.
func appendRuns(running []uint64, effects []Effect) []uint64 {
	for _, e := range effects {
		if run, ok := e.(Run); ok {
			running = append(running, run.ID)
		}
	}
	return running
}
