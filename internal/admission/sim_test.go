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

// stepper is a policy under simulation.
type stepper interface {
	Step(now time.Time, e Event) []Effect
}

// naiveFIFO runs requests in the order of their arrival, whatever their
// deadline, behind a queue of bounded length.
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
	at, end time.Time
	work    time.Duration
	good    bool
	latency time.Duration
}

// completions orders running jobs by their end.
type completions []*job

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].end.Before(c[j].end) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(*job)) }
func (c *completions) Pop() any {
	last := len(*c) - 1
	j := (*c)[last]
	*c = (*c)[:last]
	return j
}

// simulate feeds jobs, ordered by time, to a policy. The backend server cuts a
// run at its deadline.
func simulate(p stepper, jobs []*job) {
	byID := make(map[uint64]*job, len(jobs))
	var running completions
	apply := func(now time.Time, effects []Effect) {
		for _, e := range effects {
			if run, ok := e.(Run); ok {
				j := byID[run.ID]
				j.end = now.Add(j.work)
				if j.end.After(j.Deadline) {
					j.end = j.Deadline
				}
				if j.end.Before(now) {
					j.end = now
				}
				heap.Push(&running, j)
			}
		}
	}
	complete := func() {
		j := heap.Pop(&running).(*job)
		ended := Ended{ID: j.ID, Outcome: outcome.Unknown, Reason: outcome.DeadlineExpired}
		if j.end.Before(j.Deadline) {
			ended = Ended{ID: j.ID, Outcome: outcome.Answered}
			j.good = true
			j.latency = j.end.Sub(j.at)
		}
		apply(j.end, p.Step(j.end, ended))
	}
	for _, j := range jobs {
		byID[j.ID] = j
		for len(running) > 0 && !running[0].end.After(j.at) {
			complete()
		}
		apply(j.at, p.Step(j.at, j.Arrived))
	}
	for len(running) > 0 {
		complete()
	}
}

// source describes the requests of one organisation.
type source struct {
	organisation string
	perSecond    float64
}

const (
	simSlots    = 10
	simQueue    = 100
	simDeadline = 400 * time.Millisecond
	// simWork is the mean of the uniform service time 50 to 150 ms.
	simWork = 100 * time.Millisecond
	// simCapacity is the number of requests that the slots run a second.
	simCapacity = float64(simSlots) * float64(time.Second) / float64(simWork)
)

// arrivals draws Poisson arrivals of the sources.
func arrivals(seed uint64, length time.Duration, sources ...source) []*job {
	rng := rand.New(rand.NewPCG(seed, 1))
	var jobs []*job
	for _, s := range sources {
		at := epoch
		for at.Before(epoch.Add(length)) {
			at = at.Add(time.Duration(rng.ExpFloat64() / s.perSecond * float64(time.Second)))
			work := simWork/2 + time.Duration(rng.Int64N(int64(simWork)))
			jobs = append(jobs, &job{at: at, work: work, Arrived: Arrived{
				Organisation: s.organisation,
				Repeatable:   true,
				Deadline:     at.Add(simDeadline),
			}})
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return a.at.Compare(b.at) })
	for i, j := range jobs {
		j.ID = uint64(i + 1)
		j.Request = strconv.Itoa(i)
	}
	return jobs
}

// share99 returns the part of an organisation's jobs that were answered in
// time and the 99th percentile of their latency.
func share99(jobs []*job, organisation string) (part float64, p99 time.Duration) {
	var latencies []time.Duration
	total := 0
	for _, j := range jobs {
		if j.Organisation != organisation {
			continue
		}
		total++
		if j.good {
			latencies = append(latencies, j.latency)
		}
	}
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return float64(len(latencies)) / float64(total), latencies[len(latencies)*99/100]
}

func goodput(jobs []*job, length time.Duration) float64 {
	n := 0
	for _, j := range jobs {
		if j.good {
			n++
		}
	}
	return float64(n) / length.Seconds()
}
