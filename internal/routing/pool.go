package routing

import (
	"slices"
	"time"
)

const (
	// maxEjectedShare is the largest share of a service's instances that may be
	// ejected at the same time.
	maxEjectedShare = 1.0 / 3
	// ejectFailureRate is the failure rate above which an instance is ejected.
	ejectFailureRate = 0.5
	// ejectMinSamples is the number of outcomes needed before an ejection.
	ejectMinSamples = 5

	// The upper bound of the duration of an ejection doubles with each ejection
	// of the instance, from baseEjectionTime to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
)

// pool holds the instances of one service, sorted by ID, and the moving average
// of their latency.
type pool struct {
	instances   []*instance
	meanLatency time.Duration
	// coldPerSecond is the rate of requests that a cold instance can serve, 0 if the
	// service names no warm-up.
	coldPerSecond float64
	costs         poolCosts
	// declined is the moving average of the share of offers that instances decline.
	declined float64
}

// ejected returns the number of instances that are ejected at the given time. Evacuated
// ones do not count, since they get no requests anyway.
func (p *pool) ejected(now time.Time) int {
	n := 0
	for _, i := range p.instances {
		if !i.Evacuated && now.Before(i.ejectedUntil) {
			n++
		}
	}
	return n
}

// maxEjected returns the number of instances that may be ejected at the same
// time.
func (p *pool) maxEjected() int {
	n := 0
	for _, i := range p.instances {
		if !i.Evacuated {
			n++
		}
	}
	return int(float64(n) * maxEjectedShare)
}

// enforceEjectionLimit ends ejections, those that expire first, until no more
// than maxEjected are left.
func (p *pool) enforceEjectionLimit(now time.Time) {
	for p.ejected(now) > p.maxEjected() {
		var earliest *instance
		for _, i := range p.instances {
			if !i.Evacuated && now.Before(i.ejectedUntil) && (earliest == nil || i.ejectedUntil.Before(earliest.ejectedUntil)) {
				earliest = i
			}
		}
		earliest.ejectedUntil = time.Time{}
	}
}

// ejectIfFailing ejects an instance whose failure rate is too high, unless too
// many are ejected already. The time until its return is drawn with full
// jitter.
func (r *Router) ejectIfFailing(now time.Time, i *instance) {
	if i.samples < ejectMinSamples || i.failureRate <= ejectFailureRate || now.Before(i.ejectedUntil) {
		return
	}
	if i.pool.ejected(now) >= i.pool.maxEjected() {
		r.stats.EjectionsDenied++
		return
	}
	limit := min(maxEjectionTime, baseEjectionTime<<min(i.ejections, 5))
	i.ejections++
	i.ejectedUntil = now.Add(r.jitter(limit))
	i.readySince = i.ejectedUntil
	i.failureRate = 0
	i.samples = 0
	r.stats.Ejections++
}

// jitter returns a random duration in (0, limit].
func (r *Router) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit))) + 1
}

// setInstances replaces the list of instances. The state of an instance is kept
// unless its proxy was restarted or its service changed. New instances get a
// slow start, except those of the first list.
func (r *Router) setInstances(now time.Time, list []Instance) {
	initial := len(r.pools) == 0
	for _, p := range r.pools {
		p.instances = p.instances[:0]
	}
	current := make(map[string]*instance, len(list))
	for _, record := range list {
		i := r.instances[record.ID]
		if i == nil || i.Incarnation != record.Incarnation || i.Service != record.Service {
			r.pool(record.Service).costs.model.Forget(record.ID) // another process may be faster
			i = &instance{Instance: record, pool: r.pool(record.Service), loadAt: now}
			if !initial {
				i.readySince = now
			}
			i.departing = r.hasDeparted(record)
		}
		i.update(now, record)
		i.pool.instances = append(i.pool.instances, i)
		current[record.ID] = i
	}
	r.instances = current
	r.forgetDepartures(now)
	r.fleet.update(now, len(list))
	for _, p := range r.pools {
		slices.SortFunc(p.instances, func(a, b *instance) int { return compareID(a.ID, b.ID) })
		p.enforceEjectionLimit(now)
	}
}

func compareID(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// update replaces the instance's record, but its load only if the new record
// reports one.
func (i *instance) update(now time.Time, record Instance) {
	load := i.Load
	i.Instance = record
	i.Load = load
	i.recordLoad(now, record.Load)
}

func (r *Router) pool(service string) *pool {
	p, ok := r.pools[service]
	if !ok {
		p = &pool{costs: newPoolCosts(), coldPerSecond: r.cfg.ColdTolerance.Rate(r.services[service].WarmUpPerSecond)}
		r.pools[service] = p
	}
	return p
}
