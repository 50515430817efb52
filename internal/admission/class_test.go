package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/outcome"
)

// queueOf returns the queue of an organisation's requests that name no priority.
func (q *priorityQueue) queueOf(organisation string) *organisationQueue {
	queue := q.queueOfClass(class{newWork: true})
	return queue.queueOf(organisation, queue)
}

// kind is a kind of requests at a service with table reads.
type kind struct {
	name                     string
	priority                 int
	call                     bool
	work, target, deadline   time.Duration
	share                    float64 // of the slot time that is asked for
	arrived, inTime, expired int
	used                     time.Duration // slot time
}

// simSlotsPerServer is the number of slots of a backend server of that service.
const simSlotsPerServer = 12

func tableReadKinds() []*kind {
	return []*kind{
		{name: "table reads", priority: 0, work: 75 * time.Millisecond, target: 400 * time.Millisecond, deadline: time.Second, share: 0.5},
		{name: "calls", priority: 1, call: true, work: 47 * time.Millisecond, target: 200 * time.Millisecond, deadline: 600 * time.Millisecond, share: 0.25},
		{name: "downloads", priority: 2, work: 150 * time.Millisecond, target: 1500 * time.Millisecond, deadline: 2 * time.Second, share: 0.25},
	}
}

// kindArrivals generates Poisson arrivals of each kind, which three organisations share,
// or of which each has one if they are separate. The load is a multiple of the capacity.
func kindArrivals(kinds []*kind, load float64, separate bool) ([]*job, map[*job]*kind) {
	rng := rand.New(rand.NewPCG(7, 1))
	var jobs []*job
	kindOf := make(map[*job]*kind)
	for i, k := range kinds {
		perSecond := load * k.share * simSlotsPerServer / k.work.Seconds()
		for at := epoch; at.Before(epoch.Add(simDuration)); {
			at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
			organisation := rng.IntN(len(kinds))
			if separate {
				organisation = i
			}
			j := &job{arrivedAt: at, serviceTime: k.work/2 + time.Duration(rng.Int64N(int64(k.work))), Arrived: Arrived{
				Organisation: string(rune('a' + organisation)), Repeatable: true, Route: k.name, Priority: k.priority, Call: k.call,
				Target: at.Add(k.target), Deadline: at.Add(k.deadline),
			}}
			jobs, kindOf[j] = append(jobs, j), k
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return a.arrivedAt.Compare(b.arrivedAt) })
	for i, j := range jobs {
		j.ID = uint64(i + 1)
	}
	return jobs, kindOf
}

// tickInterval is that of the host.
const tickInterval = 100 * time.Millisecond

// ticker adds the ticks of the host and observes refusals.
type ticker struct {
	inner   policy
	last    time.Time
	refused func(Refuse)
}

func (p *ticker) Step(now time.Time, e Event) []Effect {
	var effects []Effect
	if now.Sub(p.last) >= tickInterval {
		p.last = now
		effects = p.inner.Step(now, Tick{})
	}
	effects = append(effects, p.inner.Step(now, e)...)
	for _, effect := range effects {
		if refused, ok := effect.(Refuse); ok {
			p.refused(refused)
		}
	}
	return effects
}

// replayKinds simulates the kinds at a multiple of the capacity and counts what became
// of each.
func replayKinds(load float64, separate bool) []*kind {
	kinds := tableReadKinds()
	jobs, kindOf := kindArrivals(kinds, load, separate)
	a := New(Config{Slots: simSlotsPerServer, QueueLength: simQueueLength, MinRetryAfter: 100 * time.Millisecond})
	a.Step(epoch, Assigned{Slots: simSlotsPerServer})
	simulate(&ticker{inner: a, refused: func(r Refuse) {
		if r.Refusal.Reason == outcome.DeadlineExpired {
			kindOf[jobs[r.ID-1]].expired++
		}
	}}, jobs)
	for _, j := range jobs {
		k := kindOf[j]
		k.arrived++
		if !j.endedAt.IsZero() {
			k.used += min(j.serviceTime, j.endedAt.Sub(j.arrivedAt))
		}
		if j.inTime && j.latency <= k.target {
			k.inTime++
		}
	}
	return kinds
}

func (k *kind) inTimePercent() float64 { return 100 * float64(k.inTime) / float64(k.arrived) }

// slotTimePercent returns the part of all slot time that the kind got.
func (k *kind) slotTimePercent() float64 {
	return 100 * k.used.Seconds() / simDuration.Seconds() / simSlotsPerServer
}

// Guards against a queue in which the most valuable kind is served less often than one
// that is less urgent, or in which the last class is not served at all.
func TestClassesAreServedByUrgency(t *testing.T) {
	for _, separate := range []bool{false, true} {
		for _, load := range []float64{1, 1.5, 2} {
			is := is.New(t)
			kinds := replayKinds(load, separate)
			report := ""
			for _, k := range kinds {
				report += fmt.Sprintf(" %s %.1f in time, %.1f of the slot time, %d expired;", k.name, k.inTimePercent(), k.slotTimePercent(), k.expired)
			}
			t.Logf("separate organisations %v, load %.1f:%s", separate, load, report)
			for i, k := range kinds {
				is.Equal(k.expired, 0) // refused at once, not held until the deadline
				for _, lessUrgent := range kinds[i+1:] {
					is.True(k.inTimePercent() >= lessUrgent.inTimePercent()-5)
				}
			}
			is.True(kinds[2].slotTimePercent() >= 0.9*100/guaranteedShareDivisor) // arrivals are random
		}
	}
}

// Guards against starvation: while it waits, the last class gets a tenth of the slot
// time, less at most lagRuns runs and a tenth of a run for each slot.
func TestLastClassGetsATenth(t *testing.T) {
	const lagRuns = 3
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		a := New(Config{Slots: slots, QueueLength: 10_000, OrganisationQueueLength: 10_000})
		var jobs []*job
		work := make([]time.Duration, 3)
		for i := range work {
			work[i] = time.Duration(rapid.IntRange(1, 150).Draw(t, "work")) * time.Millisecond
		}
		for i := range 3000 {
			jobs = append(jobs, &job{arrivedAt: epoch, serviceTime: work[i%3], Arrived: Arrived{
				ID: uint64(i + 1), Repeatable: true, Priority: i % 3, Deadline: epoch.Add(time.Hour),
			}})
		}
		used := make([]time.Duration, 3)
		total := time.Duration(0)
		longest := slices.Max(work)
		simulate(&endObserver{inner: a, ended: func(id uint64) {
			j := jobs[id-1]
			used[j.Priority] += j.serviceTime
			total += j.serviceTime
			last := a.queue.classes[len(a.queue.classes)-1]
			if last.length == 0 || a.queue.classes[0].length == 0 {
				return
			}
			lag := lagRuns*longest + time.Duration(slots)*longest/guaranteedShareDivisor
			if used[2]+lag < total/guaranteedShareDivisor {
				t.Fatalf("the last class got %v of %v", used[2], total)
			}
		}}, jobs)
	})
}

// Guards against a full queue of less urgent requests that keeps urgent ones out, and
// against new work that delays calls, whose callers occupy slots meanwhile.
func TestUrgentRequestsAndCallsDisplaceOthers(t *testing.T) {
	is := is.New(t)
	a := newTargetHarness()
	a.cfg.QueueLength, a.cfg.OrganisationQueueLength = 2*testSlots, 2*testSlots
	running := a.fill(testSlots)
	late, _ := a.arriveWithTarget(1, 0, testServiceTime+10*time.Millisecond)
	a.fill(testSlots - 2)
	a.now = a.now.Add(20 * time.Millisecond)
	a.queue.markLate(a.waiting[late])
	a.fill(testSlots + 1)
	_, urgentRefusal := a.arrive(0, 0)
	is.Equal(urgentRefusal, nil)
	is.Equal(a.waiting[late], nil) // dropped first, though less urgent ones are not late
	_, refusal := a.arrive(2, 0)
	is.True(refusal != nil) // the least urgent one
	a.lastID++
	call := a.lastID
	is.Equal(a.step(Arrived{ID: call, Repeatable: true, Priority: 2, Call: true, Organisation: "other", Target: a.now.Add(timeToTarget), Deadline: a.now.Add(time.Second)}), nil)
	a.started = nil
	a.end(running)
	a.end(running + 1)
	is.Equal(a.started, []uint64{call - 2, call})
}
