package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

var epoch = time.Unix(1_000_000, 0)

// policy is an admission policy under simulation.
type policy interface {
	Step(now time.Time, e Event) []Effect
}

// naiveFIFO is the baseline: it runs requests in order of arrival, regardless of
// their deadlines, with a bounded queue.
type naiveFIFO struct {
	slots, length int
	running       map[uint64]bool
	queue         []Arrived
}

func newNaiveFIFO(slots, length int) *naiveFIFO {
	return &naiveFIFO{slots: slots, length: length, running: make(map[uint64]bool)}
}

func (n *naiveFIFO) Step(_ time.Time, e Event) []Effect {
	var effects []Effect
	switch e := e.(type) {
	case Arrived:
		if len(n.queue) >= n.length {
			refusal := outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.Overload}
			return []Effect{Refuse{ID: e.ID, Refusal: refusal}}
		}
		n.queue = append(n.queue, e)
	case Ended:
		delete(n.running, e.ID)
	}
	for len(n.queue) > 0 && len(n.running) < n.slots {
		n.running[n.queue[0].ID] = true
		effects = append(effects, Run{ID: n.queue[0].ID})
		n.queue = n.queue[1:]
	}
	return effects
}

// job is a simulated request.
type job struct {
	Arrived
	arrivedAt, endedAt time.Time
	serviceTime        time.Duration
	inTime             bool
	latency            time.Duration
}

// completions orders running jobs by their end.
type completions []*job

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].endedAt.Before(c[j].endedAt) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(*job)) }
func (c *completions) Pop() any {
	last := len(*c) - 1
	j := (*c)[last]
	*c = (*c)[:last]
	return j
}

// simulate feeds jobs, ordered by arrival, to a policy. The backend server ends a
// request that reaches its deadline.
func simulate(p policy, jobs []*job) {
	byID := make(map[uint64]*job, len(jobs))
	var running completions
	apply := func(now time.Time, effects []Effect) {
		for _, e := range effects {
			if run, ok := e.(Run); ok {
				j := byID[run.ID]
				j.endedAt = now.Add(j.serviceTime)
				if j.endedAt.After(j.Deadline) {
					j.endedAt = j.Deadline
				}
				if j.endedAt.Before(now) {
					j.endedAt = now
				}
				heap.Push(&running, j)
			}
		}
	}
	complete := func() {
		j := heap.Pop(&running).(*job)
		ended := Ended{ID: j.ID, Outcome: outcome.Unknown, Reason: outcome.DeadlineExpired}
		if j.endedAt.Before(j.Deadline) {
			ended = Ended{ID: j.ID, Outcome: outcome.Answered}
			j.inTime = true
			j.latency = j.endedAt.Sub(j.arrivedAt)
		}
		apply(j.endedAt, p.Step(j.endedAt, ended))
	}
	for _, j := range jobs {
		byID[j.ID] = j
		for len(running) > 0 && !running[0].endedAt.After(j.arrivedAt) {
			complete()
		}
		apply(j.arrivedAt, p.Step(j.arrivedAt, j.Arrived))
	}
	for len(running) > 0 {
		complete()
	}
}

// traffic describes the request rate of one organisation.
type traffic struct {
	organisation string
	perSecond    float64
}

const (
	simSlots       = 10
	simQueueLength = 100
	simDeadline    = 400 * time.Millisecond
	// simMeanServiceTime is the mean of the service times, which are uniformly
	// distributed between 50 and 150 ms.
	simMeanServiceTime = 100 * time.Millisecond
	// simCapacity is the number of requests per second that the slots can run.
	simCapacity = float64(simSlots) * float64(time.Second) / float64(simMeanServiceTime)
)

// poissonArrivals generates jobs of each organisation with Poisson arrivals.
func poissonArrivals(seed uint64, duration time.Duration, sources ...traffic) []*job {
	rng := rand.New(rand.NewPCG(seed, 1))
	var jobs []*job
	for _, s := range sources {
		at := epoch
		for at.Before(epoch.Add(duration)) {
			at = at.Add(time.Duration(rng.ExpFloat64() / s.perSecond * float64(time.Second)))
			serviceTime := simMeanServiceTime/2 + time.Duration(rng.Int64N(int64(simMeanServiceTime)))
			jobs = append(jobs, &job{arrivedAt: at, serviceTime: serviceTime, Arrived: Arrived{
				Organisation: s.organisation,
				Repeatable:   true,
				Deadline:     at.Add(simDeadline),
			}})
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return a.arrivedAt.Compare(b.arrivedAt) })
	for i, j := range jobs {
		j.ID = uint64(i + 1)
		j.Request = strconv.Itoa(i)
	}
	return jobs
}

// inTimeAndP99 returns the fraction of an organisation's jobs that were answered in
// time, and the 99th percentile of their latency.
func inTimeAndP99(jobs []*job, organisation string) (inTime float64, p99 time.Duration) {
	var latencies []time.Duration
	total := 0
	for _, j := range jobs {
		if j.Organisation != organisation {
			continue
		}
		total++
		if j.inTime {
			latencies = append(latencies, j.latency)
		}
	}
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return float64(len(latencies)) / float64(total), latencies[len(latencies)*99/100]
}

// goodput returns the number of jobs per second that were answered in time.
func goodput(jobs []*job, duration time.Duration) float64 {
	n := 0
	for _, j := range jobs {
		if j.inTime {
			n++
		}
	}
	return float64(n) / duration.Seconds()
}
