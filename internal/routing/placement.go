package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/cost"
)

// Placement is a policy by which one of several instances is chosen for a request.
type Placement int

// Placement policies.
const (
	// PlaceByScore chooses the lower instance.score.
	PlaceByScore Placement = iota
	// PlaceByExpectedFinish chooses the lower expected finish, as long as instances of
	// the service report their waits.
	PlaceByExpectedFinish
	// PlaceByStatedSlowness is PlaceByExpectedFinish as long as backend servers of the
	// service state how slow they are, else PlaceByScore.
	PlaceByStatedSlowness
)

const (
	// costReportTTL is the age from which the reports of a service no longer decide.
	// Reports come with each response, so that older ones mean that they have stopped.
	costReportTTL = 2 * time.Second
	// waitHalfLife is the age at which a reported wait is as far from the report as from
	// the mean of the service: queues of some ten requests empty in that time.
	waitHalfLife = 250 * time.Millisecond
	// slownessHalfLife is the age at which half of a reported slowness is left: machines
	// are slow for some 600 ms at a time.
	slownessHalfLife = 400 * time.Millisecond
	// biasHalfLife is the age at which half of the error of earlier estimates is left.
	biasHalfLife = observationHalfLife
	// waitWeight is the weight of a reported wait in the mean of the service.
	waitWeight = 0.05
	// biasWeight is the weight of a new error of an estimate in the bias of its instance:
	// reports that understate the wait must not attract requests for long.
	biasWeight = 0.1
	// instanceHalfLife and instanceDeviation describe the slowness of instances apart
	// from the present one that they report: speeds from 0.5 to 1.5 that last.
	instanceHalfLife  = time.Minute
	instanceDeviation = 0.4
)

// costState is what this proxy knows of the waits at an instance.
type costState struct {
	report CostReport
	// reportedAt is the time of the report, zero if there is none.
	reportedAt time.Time
	// sentSince is the work that this proxy has sent since, at usual speed.
	sentSince time.Duration
	// bias is the moving average of the wait beyond the estimate, last updated at
	// biasAt.
	bias   time.Duration
	biasAt time.Time
}

// poolCosts is what this proxy knows of the requests of one service.
type poolCosts struct {
	model    *cost.Model
	meanWait time.Duration
	// reportedAt and statedAt are the times of the latest report, and of the latest one
	// with a slowness that a backend server states.
	reportedAt, statedAt time.Time
}

func newPoolCosts() poolCosts {
	return poolCosts{model: cost.New(cost.Config{HalfLife: instanceHalfLife, Deviation: instanceDeviation})}
}

// placesByFinish reports whether requests of the service are placed by expected finish.
func (r *Router) placesByFinish(now time.Time, p *pool) bool {
	latest := p.costs.reportedAt
	switch r.cfg.Placement {
	case PlaceByScore:
		return false
	case PlaceByStatedSlowness:
		latest = p.costs.statedAt
	}
	return !latest.IsZero() && now.Sub(latest) < costReportTTL
}

// Estimate is what this proxy expects of a request at an instance.
type Estimate struct {
	// Wait is the expected wait for a slot, Work the time that the request then takes.
	Wait time.Duration `json:"wait_ns"`
	Work time.Duration `json:"work_ns"`
	// ReportAge is the age of the instance's latest report, -1 if there is none.
	ReportAge time.Duration `json:"report_age_ns"`
}

// Finish returns the expected time until the response.
func (e Estimate) Finish() time.Duration { return e.Wait + e.Work }

// LogFields returns the estimate as fields of a log line.
func (e Estimate) LogFields() []any {
	return []any{"wait_ms", e.Wait.Milliseconds(), "work_ms", e.Work.Milliseconds(), "report_age_ms", max(e.ReportAge.Milliseconds(), -1)}
}

// estimate returns what to expect of a request of a route at the instance.
func (i *instance) estimate(now time.Time, route string) Estimate {
	slowness := i.presentSlowness(now)
	base := float64(i.pool.costs.model.Work(route)) * i.pool.costs.model.Slowness(now, i.ID)
	return Estimate{
		Wait:      i.expectedWait(now, slowness),
		Work:      time.Duration(base * slowness),
		ReportAge: i.reportAge(now),
	}
}

func (i *instance) reportAge(now time.Time) time.Duration {
	if i.costs.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(i.costs.reportedAt)
}

// presentSlowness returns the reported slowness, which fades to 1 with its age.
func (i *instance) presentSlowness(now time.Time) float64 {
	if i.costs.reportedAt.IsZero() {
		return 1
	}
	return 1 + (i.costs.report.Slowness-1)*decay(now.Sub(i.costs.reportedAt), slownessHalfLife)
}

// expectedWait returns the reported wait, which fades to the mean of the service with
// its age, and the work sent since, raised by the error of earlier estimates.
func (i *instance) expectedWait(now time.Time, slowness float64) time.Duration {
	wait := i.pool.costs.meanWait
	if !i.costs.reportedAt.IsZero() {
		w := decay(now.Sub(i.costs.reportedAt), waitHalfLife)
		wait += time.Duration(w * float64(i.costs.report.Wait-wait))
	}
	wait += time.Duration(float64(i.costs.sentSince) * slowness / float64(max(i.Slots, 1)))
	return wait + i.waitBias(now)
}

func (i *instance) waitBias(now time.Time) time.Duration {
	return time.Duration(float64(i.costs.bias) * decay(now.Sub(i.costs.biasAt), biasHalfLife))
}

// finishScore ranks the instance by the expected finish of a request; lower is better. It
// is raised as the score is: by the requests in flight, since an instance that has just
// become slow reports nothing, by its load, and by failures, refusals and a slow start.
func (i *instance) finishScore(now time.Time, e Estimate) float64 {
	w := decay(now.Sub(i.observedAt), observationHalfLife)
	s := float64(i.inFlight+1) * float64(e.Finish())
	s *= 1 + i.reportedLoad(now)
	s *= 1 + failurePenalty*i.failureRate*w
	s *= 1 + refusalPenalty*i.refusalRate*w
	return s / i.slowStartShare(now)
}

// recordCosts records the report of an instance on a request that it ended, and how far
// the estimate at its start was off.
func (r *Router) recordCosts(now time.Time, c *call, e AttemptEnded) {
	i := c.current
	report := e.Costs
	if r.cfg.Placement == PlaceByScore {
		return
	}
	if !report.Known {
		i.forgetSent(c)
		return
	}
	r.stats.CostReports++
	p := i.pool
	p.costs.reportedAt = now
	if report.Stated {
		p.costs.statedAt = now
	}
	if report.ServiceTime > 0 {
		p.costs.model.Observe(now, c.match.Route.Name, i.ID, time.Duration(float64(report.ServiceTime)/report.Slowness))
		r.recordEstimateError(now, c, e)
	}
	p.costs.meanWait += time.Duration(waitWeight * float64(report.Wait-p.costs.meanWait))
	i.costs.report, i.costs.reportedAt, i.costs.sentSince = report, now, 0
}

// recordSent records a request that is sent to the instance.
func (r *Router) recordSent(now time.Time, c *call, i *instance) {
	if r.cfg.Placement == PlaceByScore {
		return
	}
	if r.placesByFinish(now, i.pool) {
		r.stats.PlacedByFinish++
	}
	model := i.pool.costs.model
	c.estimate, c.biasUsed = i.estimate(now, c.match.Route.Name), i.waitBias(now)
	c.sentWork = time.Duration(float64(model.Work(c.match.Route.Name)) * model.Slowness(now, i.ID))
	i.costs.sentSince += c.sentWork
}

// forgetSent removes an attempt that ended without a report from the work sent since the
// latest one.
func (i *instance) forgetSent(c *call) {
	if !c.sentAt.Before(i.costs.reportedAt) {
		i.costs.sentSince = max(0, i.costs.sentSince-c.sentWork)
	}
}

// recordEstimateError compares the wait of an answered request, with the time in the
// network, to the estimate.
func (r *Router) recordEstimateError(now time.Time, c *call, e AttemptEnded) {
	i := c.current
	waited := max(0, e.Latency-e.Costs.ServiceTime)
	bias := i.waitBias(now)
	err := waited - (c.estimate.Wait - c.biasUsed)
	i.costs.bias = max(0, ewmaDuration(bias, err, biasWeight, biasWeight))
	i.costs.biasAt = now
}

// finishCandidates is the number of instances that are drawn at random, of which the one
// with the lowest finish score is taken. All proxies would choose the same one if they
// compared all; two gain less (see docs/design/cost.md).
const finishCandidates = 3

// pickByFinish draws instances at random and returns the one with the lowest finish
// score. Instances that would miss the target, or else the deadline, are taken only if
// all would.
func (r *Router) pickByFinish(now time.Time, c *call, list []*instance) *instance {
	var drawn [classes]struct {
		n     int
		best  *instance
		score float64
	}
	for n := 0; n < len(list) && drawn[inTime].n < finishCandidates; n++ {
		k := n + r.rng.IntN(len(list)-n)
		list[n], list[k] = list[k], list[n]
		e := list[n].estimate(now, c.match.Route.Name)
		d := &drawn[c.classify(now.Add(e.Finish()))]
		if d.n++; d.n > finishCandidates {
			continue
		}
		if score := list[n].finishScore(now, e); d.best == nil || score < d.score {
			d.best, d.score = list[n], score
		}
	}
	for _, d := range drawn {
		if d.best != nil {
			return d.best
		}
	}
	return nil
}

// Classes of instances by the expected finish of a request.
const (
	inTime = iota
	late
	expired
	classes
)

// classify returns the class of an instance that finishes the request at a time.
func (c *call) classify(finish time.Time) int {
	switch target := c.targetTime(); {
	case finish.After(c.deadline):
		return expired
	case !target.IsZero() && finish.After(target):
		return late
	}
	return inTime
}

func (i *instance) finishesBy(now time.Time, c *call, limit time.Time) bool {
	return !now.Add(i.estimate(now, c.match.Route.Name).Finish()).After(limit)
}

// onlyRemoteInTime reports whether the request is expected to miss its target at the
// local instance and to meet it at the remote one.
func (r *Router) onlyRemoteInTime(now time.Time, c *call, local, remote *instance) bool {
	target := c.targetTime()
	return r.placesByFinish(now, local.pool) && !local.finishesBy(now, c, target) && remote.finishesBy(now, c, target)
}
