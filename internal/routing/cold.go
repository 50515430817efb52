package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

const (
	// minColdShare and maxColdShare bound the share of the requests of a warm instance
	// that a cold one gets. Some are needed to use its budget. Work takes twice as long
	// there, so that it never gets more than half.
	minColdShare = 0.05
	maxColdShare = 0.5
)

// enforceServices records the rates that cold instances can serve.
func (r *Router) enforceServices(services map[string]config.ServiceLimits) {
	for name, p := range r.pools {
		p.coldPerSecond = r.cfg.ColdTolerance.Rate(services[name].WarmUpPerSecond)
	}
	r.services = services
}

// cold reports whether the entry of an instance states that its backend server is cold,
// and its service names a warm-up.
func (i *instance) cold(now time.Time) bool {
	return i.pool.coldPerSecond > 0 && now.Before(i.ColdUntil)
}

// coldShare returns the share of its full load that an instance may get: 1 if it is warm,
// otherwise the rate that it can serve relative to that of a warm one with all its slots.
func (i *instance) coldShare(now time.Time) float64 {
	if !i.cold(now) {
		return 1
	}
	mean := i.pool.meanLatency
	if mean == 0 {
		mean = defaultLatency
	}
	share := i.pool.coldPerSecond * mean.Seconds() / float64(max(i.Slots, 1))
	return min(max(share, minColdShare), maxColdShare)
}

// pick selects an instance of the list, nil if it is empty. A cold one is selected by
// chance, with its share of what each of the others gets: by its score it would get none
// of the requests of a proxy that sends it few. If all are cold, all are used.
func (r *Router) pick(now time.Time, c *call, list []*instance) *instance {
	warm := warmFirst(now, list)
	if warm == 0 || warm == len(list) {
		return r.pickByPolicy(now, c, list)
	}
	drawn := list[r.rng.IntN(len(list))]
	if drawn.cold(now) && r.rng.Float64() < drawn.coldShare(now) {
		return drawn
	}
	return r.pickByPolicy(now, c, list[:warm])
}

// warmFirst moves the warm instances to the front of the list and returns their number. It
// keeps the order of a list without cold ones.
func warmFirst(now time.Time, list []*instance) int {
	warm := 0
	for k, i := range list {
		if !i.cold(now) {
			list[warm], list[k] = list[k], list[warm]
			warm++
		}
	}
	return warm
}

// leavesColdZone reports whether a request goes to a warm instance in another availability
// zone because all instances in the local one are cold: those get their share.
func (r *Router) leavesColdZone(now time.Time, local, remote *instance) bool {
	if !r.candidates.allCold(now) || remote.cold(now) {
		return false
	}
	return r.rng.Float64() >= local.coldShare(now)
}

// allCold reports whether all local candidates are cold.
func (c *candidates) allCold(now time.Time) bool {
	for _, i := range c.local {
		if !i.cold(now) {
			return false
		}
	}
	return len(c.local) > 0
}
