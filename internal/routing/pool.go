package routing

import (
	"slices"
	"time"
)

const (
	// ejectedShare is the largest share of a service that may be ejected.
	ejectedShare = 1.0 / 3
	// ejectFailures is the share of failures from which an instance is ejected.
	ejectFailures = 0.5
	// ejectSamples is the number of outcomes needed for a verdict.
	ejectSamples = 5

	ejectionBase = time.Second
	ejectionMax  = 30 * time.Second
)

// pool holds the instances of one service, sorted by ID.
type pool struct {
	instances []*instance
	latency   time.Duration
}

// ejected returns the number of instances ejected at the time.
func (p *pool) ejected(now time.Time) int {
	n := 0
	for _, i := range p.instances {
		if now.Before(i.ejectedUntil) {
			n++
		}
	}
	return n
}

// mayEject returns the number of instances that may be ejected together.
func (p *pool) mayEject() int {
	return int(float64(len(p.instances)) * ejectedShare)
}

// enforceFloor ends ejections, the oldest first, until the floor holds.
func (p *pool) enforceFloor(now time.Time) {
	for p.ejected(now) > p.mayEject() {
		var first *instance
		for _, i := range p.instances {
			if now.Before(i.ejectedUntil) && (first == nil || i.ejectedUntil.Before(first.ejectedUntil)) {
				first = i
			}
		}
		first.ejectedUntil = time.Time{}
	}
}

// considerEjection ejects an instance that fails, unless the floor forbids it.
// The time until its return is drawn with full jitter.
func (r *Router) considerEjection(now time.Time, i *instance) {
	if i.samples < ejectSamples || i.failures <= ejectFailures || now.Before(i.ejectedUntil) {
		return
	}
	if i.pool.ejected(now) >= i.pool.mayEject() {
		r.stats.EjectionsDenied++
		return
	}
	limit := min(ejectionMax, ejectionBase<<min(i.ejections, 5))
	i.ejections++
	i.ejectedUntil = now.Add(r.jitter(limit))
	i.readySince = i.ejectedUntil
	i.failures = 0
	i.samples = 0
	r.stats.Ejections++
}

// jitter returns a time in (0, limit].
func (r *Router) jitter(limit time.Duration) time.Duration {
	return time.Duration(r.rng.Int64N(int64(limit))) + 1
}

// setInstances takes a new view. What is known of an instance survives unless
// its proxy was restarted.
func (r *Router) setInstances(now time.Time, list []Instance) {
	first := len(r.pools) == 0
	for _, p := range r.pools {
		p.instances = p.instances[:0]
	}
	present := make(map[string]*instance, len(list))
	for _, record := range list {
		i := r.known[record.ID]
		if i == nil || i.Incarnation != record.Incarnation || i.Service != record.Service {
			i = &instance{Instance: record, pool: r.pool(record.Service), loadAt: now}
			if !first {
				i.readySince = now
			}
		}
		i.update(now, record)
		i.pool.instances = append(i.pool.instances, i)
		present[record.ID] = i
	}
	r.known = present
	for _, p := range r.pools {
		slices.SortFunc(p.instances, func(a, b *instance) int { return compareID(a.ID, b.ID) })
		p.enforceFloor(now)
	}
}

func compareID(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// update takes over the record, and its load only if it is news.
func (i *instance) update(now time.Time, record Instance) {
	load := i.Load
	i.Instance = record
	i.Load = load
	i.report(now, record.Load)
}

func (r *Router) pool(service string) *pool {
	p, ok := r.pools[service]
	if !ok {
		p = &pool{}
		r.pools[service] = p
	}
	return p
}
