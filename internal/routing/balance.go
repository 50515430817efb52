package routing

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

// slowZone is the ratio of latencies from which another availability zone is
// preferred to this one.
const slowZone = 4

// State tells why an instance is or is not usable.
type State string

// States, from the most to the least preferred.
const (
	Usable State = "usable"
	// Ejected instances are used only if no usable one is left.
	Ejected State = "ejected"
	// Suspect instances are used only for repeatable requests, and last.
	Suspect State = "suspect"
	// Down instances could not be reached a moment ago.
	Down State = "down"
	// Held instances asked to be left alone for a time.
	Held State = "held-by-retry-after"
	// Leaving instances get nothing new.
	Leaving State = "leaving"
	// OutsideGroup instances are in a zone that the group excludes.
	OutsideGroup State = "outside-group"
)

// candidates sorts the instances of one choice; its memory is reused.
type candidates struct {
	near, far, ejected, suspect []*instance
	// busy holds those that told of a long wait, to this request or lately.
	busy []*instance
	// held is the earliest time at which a held instance is free.
	held time.Time
}

func (c *candidates) reset() {
	c.near = c.near[:0]
	c.far = c.far[:0]
	c.ejected = c.ejected[:0]
	c.suspect = c.suspect[:0]
	c.busy = c.busy[:0]
	c.held = time.Time{}
}

// usable returns the number of instances that are not avoided.
func (c *candidates) usable() int { return len(c.near) + len(c.far) }

// state returns the state of an instance for requests of a group.
func (i *instance) state(now time.Time, g *config.Group) State {
	switch {
	case len(g.AvailabilityZones) > 0 && !slices.Contains(g.AvailabilityZones, i.AvailabilityZone):
		return OutsideGroup
	case i.Leaving:
		return Leaving
	case now.Before(i.downUntil):
		return Down
	case now.Before(i.heldUntil):
		return Held
	case i.Suspect:
		return Suspect
	case now.Before(i.ejectedUntil):
		return Ejected
	default:
		return Usable
	}
}

// collect sorts the instances that were not tried yet.
func (r *Router) collect(now time.Time, c *call) {
	r.scratch.reset()
	p, ok := r.pools[c.group.Service]
	if !ok {
		return
	}
	for _, i := range p.instances {
		s := i.state(now, c.group)
		switch {
		case s == Usable && now.Before(i.busyUntil):
			r.scratch.busy = append(r.scratch.busy, i)
		case !c.hasTried(i):
			r.scratch.add(i, s, r.cfg.AvailabilityZone)
		}
	}
}

func (c *candidates) add(i *instance, s State, zone string) {
	switch s {
	case Usable:
		if i.AvailabilityZone == zone {
			c.near = append(c.near, i)
		} else {
			c.far = append(c.far, i)
		}
	case Ejected:
		c.ejected = append(c.ejected, i)
	case Suspect:
		c.suspect = append(c.suspect, i)
	case Held:
		if c.held.IsZero() || i.heldUntil.Before(c.held) {
			c.held = i.heldUntil
		}
	}
}

// choose picks the instance for the next attempt, nil if there is none. After
// it, r.scratch.held tells when a held instance is free.
func (r *Router) choose(now time.Time, c *call) *instance {
	r.collect(now, c)
	near := r.better(now, r.scratch.near)
	far := r.better(now, r.scratch.far)
	switch {
	case near != nil && far != nil:
		if c.avoid == r.cfg.AvailabilityZone || spills(now, near, far) {
			r.stats.Spills++
			return far
		}
		return near
	case near != nil:
		return near
	case far != nil:
		return far
	case len(r.scratch.ejected) > 0:
		return r.better(now, r.scratch.ejected)
	case c.match.Route.Repeatable:
		return r.better(now, r.scratch.suspect)
	}
	return nil
}

// spills reports whether a request leaves its availability zone.
func spills(now time.Time, near, far *instance) bool {
	if near.saturated(now) {
		return !far.saturated(now) || far.score(now) < near.score(now)
	}
	return near.expectedLatency(now) > slowZone*far.expectedLatency(now)
}

// better returns the instance with the lower score of two random ones.
func (r *Router) better(now time.Time, list []*instance) *instance {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	n := r.rng.IntN(len(list))
	m := r.rng.IntN(len(list) - 1)
	if m >= n {
		m++
	}
	if list[m].score(now) < list[n].score(now) {
		return list[m]
	}
	return list[n]
}
