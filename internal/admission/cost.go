package admission

import (
	"time"

	"heatherlift.example/heatherlift/internal/cost"
)

const (
	// statedSlownessTTL is the time for which a stated slowness is used. Machines are
	// slow for some 600 ms at a time; an older statement may be of another spell.
	statedSlownessTTL = 300 * time.Millisecond
	// learnedHalfLife and learnedDeviation describe how the slowness of a backend
	// server that states none varies about its usual one: for spells shorter than a
	// second, with deviations of about a quarter.
	learnedHalfLife  = 500 * time.Millisecond
	learnedDeviation = 0.25
	// minRemaining bounds the expected remaining work of one request, so that one
	// that is about to end does not count as several free slots.
	minRemaining = time.Millisecond
	// usualPercent is the stated slowness of a machine as usual.
	usualPercent = 100
)

// ServerLoad is the load that a backend server states in a response.
type ServerLoad struct {
	// Running and Waiting count its requests, Slots is the number that it runs
	// concurrently.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// Percent is how long work takes there at this moment, 100 as usual, 0 if it is not
	// stated.
	Percent float64 `json:"percent,omitempty"`
}

// CostReport is what the proxy beside a backend server tells other proxies of it.
type CostReport struct {
	// Wait is the expected wait of a new request like the one reported on.
	Wait time.Duration
	// Slowness is the factor by which work takes longer there than usual. Stated means
	// that the backend server states it.
	Slowness float64
	Stated   bool
}

// costTracker estimates the work of routes at the local backend server and how slow it is
// at present.
type costTracker struct {
	model    *cost.Model
	percent  float64
	statedAt time.Time
}

func newCostTracker() costTracker {
	return costTracker{model: cost.New(cost.Config{HalfLife: learnedHalfLife, Deviation: learnedDeviation})}
}

// stated returns the slowness that the backend server states, and whether it did so
// recently.
func (t *costTracker) stated(now time.Time) (float64, bool) {
	if t.percent <= 0 || now.Sub(t.statedAt) > statedSlownessTTL {
		return 1, false
	}
	return t.percent / usualPercent, true
}

// slowness returns the present slowness: the stated one, or else the learned one.
func (t *costTracker) slowness(now time.Time) (slowness float64, stated bool) {
	if s, ok := t.stated(now); ok {
		return s, true
	}
	return t.model.Slowness(now, ""), false
}

// recordCost records the response of a running request and the load stated in it.
func (a *Admission) recordCost(now time.Time, r *request, e Reported) {
	if e.Loaded {
		a.counters.LoadReports++
		a.cost.percent, a.cost.statedAt = e.Load.Percent, now
	}
	if e.Answered && !r.responded {
		r.responded = true
		a.cost.model.Observe(now, r.Route, "", a.cost.normal(now, now.Sub(r.startedAt)))
	}
}

// normal returns the time that work would have taken at the usual speed.
func (t *costTracker) normal(now time.Time, d time.Duration) time.Duration {
	slowness, _ := t.stated(now)
	return time.Duration(float64(d) / slowness)
}

// recordUnfinished records a request that was ended at its deadline while it ran.
func (a *Admission) recordUnfinished(now time.Time, r *request, ran time.Duration) {
	if a.cost.model.Known() && !r.responded {
		a.cost.model.ObserveAtLeast(now, r.Route, "", a.cost.normal(now, ran))
	}
}

// CostReport returns the report on a request, and false if there is nothing to report:
// nothing was observed yet, or no requests are accepted.
func (a *Admission) CostReport(now time.Time, e Arrived) (CostReport, bool) {
	limit := a.concurrencyLimit(now)
	if !a.cost.model.Known() || limit == 0 {
		return CostReport{}, false
	}
	slowness, stated := a.cost.slowness(now)
	wait := a.expectedWait(now, a.likeNew(now, e), limit)
	return CostReport{Wait: max(wait, a.rate.wait(now, a.queue.len()+1)), Slowness: slowness, Stated: stated}, true
}

// likeNew returns a request that arrives now and is like one that arrived earlier.
func (a *Admission) likeNew(now time.Time, e Arrived) *request {
	if r, ok := a.running[e.ID]; ok {
		age := now.Sub(r.arrivedAt)
		e.Deadline = e.Deadline.Add(age)
		if !e.Target.IsZero() {
			e.Target = e.Target.Add(age)
		}
	}
	return &request{Arrived: e, arrivedAt: now}
}

// expectedWait returns how long a new request is expected to wait for one of the slots,
// from the remaining work of the requests that run and the work of those ahead of it. A
// request that has its response, or is the new one itself, holds no slot any more.
func (a *Admission) expectedWait(now time.Time, r *request, slots int) time.Duration {
	slowness, _ := a.cost.slowness(now)
	running, rate := 0, 0.0
	for _, other := range sortedByID(a.running) { // in order, as the sum of rates is rounded
		if other.ID == r.ID || other.responded {
			continue
		}
		running++
		done := time.Duration(float64(now.Sub(other.startedAt)) / slowness)
		rate += 1 / max(a.cost.model.Remaining(other.Route, done), minRemaining).Seconds()
	}
	ahead, work := a.workAhead(r)
	if running+ahead < slots {
		return 0
	}
	if free := min(slots-running, ahead); free > 0 { // they start at once
		mean := max(work/time.Duration(ahead), minRemaining)
		rate += float64(free) / mean.Seconds()
		work -= mean * time.Duration(free)
	}
	// The first of several requests that run ends after the inverse of the sum of
	// their rates; each of those ahead then occupies one of the slots.
	first := time.Duration(float64(time.Second) / rate)
	return time.Duration(slowness * float64(first+max(0, work)/time.Duration(slots)))
}

// workAhead returns the number of the waiting requests that run before r, and their
// expected work: that of as many requests as wait in its class and more urgent ones on
// average.
func (a *Admission) workAhead(r *request) (n int, work time.Duration) {
	if n = a.waitingBefore(r); n == 0 {
		return 0, 0
	}
	if r.Target.IsZero() {
		return n, a.cost.model.Work("") * time.Duration(n)
	}
	waiting, total := 0, time.Duration(0)
	for _, other := range a.waiting {
		if !r.class().moreUrgentThan(other.class()) {
			waiting++
			total += a.cost.model.Work(other.Route)
		}
	}
	if waiting == 0 { // only the guaranteed shares of less urgent classes are ahead
		return n, a.cost.model.Work("") * time.Duration(n)
	}
	return n, total / time.Duration(waiting) * time.Duration(n)
}
