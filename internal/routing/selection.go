package routing

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

// slowZoneRatio is the ratio of local to remote latency above which requests
// leave the local availability zone.
const slowZoneRatio = 4

// State tells whether an instance is usable, and if not, why.
type State string

// States. Only instances in the first four get requests, usable ones first.
const (
	Usable State = "usable"
	// Ejected instances failed too often. They are used only if no usable one
	// is left.
	Ejected State = "ejected"
	// Suspect instances may have failed. They are used only as a last resort,
	// for repeatable requests of routes without a target.
	Suspect State = "suspect"
	// Silent instances did not answer a connection attempt. They are tried again after
	// that only if no other one is left, as this proxy may be the one that was cut off.
	Silent State = "silent"
	// Down instances were recently found to be unreachable, stopping or
	// replaced by another instance.
	Down State = "down"
	// Held instances asked for a pause with Retry-After.
	Held State = "held-by-retry-after"
	// Limited instances have recently refused a request because of the rate limit
	// that their backend server names. They are used if no other one is usable.
	Limited State = "limited"
	// Leaving instances are listed as leaving or have announced their end. They get no
	// new requests.
	Leaving State = "leaving"
	// Evacuated instances are in an availability zone to which nothing is sent.
	Evacuated State = "evacuated"
	// OutsideGroup instances are in an availability zone that the group
	// excludes.
	OutsideGroup State = "outside-group"
)

// candidates holds the instances of one selection by kind. Its memory is
// reused.
type candidates struct {
	local, remote, ejected, suspect, silent []*instance
	// busy holds usable instances that recently refused this or another request
	// because of a long wait or a full queue.
	busy []*instance
	// limited holds the instances in the state Limited.
	limited []*instance
	// earliestLimitEnd is the earliest time at which an instance in the state
	// Limited may have room, also of those that the call has tried.
	earliestLimitEnd time.Time
	// earliestHoldEnd is the earliest time at which a held instance becomes
	// usable.
	earliestHoldEnd time.Time
	// evacuated and staying count the instances in the state Evacuated, and those that
	// are neither in it nor Leaving or OutsideGroup.
	evacuated, staying int
}

func (c *candidates) reset() {
	c.local = c.local[:0]
	c.remote = c.remote[:0]
	c.ejected = c.ejected[:0]
	c.suspect = c.suspect[:0]
	c.silent = c.silent[:0]
	c.busy = c.busy[:0]
	c.limited = c.limited[:0]
	c.earliestLimitEnd = time.Time{}
	c.earliestHoldEnd = time.Time{}
	c.evacuated, c.staying = 0, 0
}

// usable returns the number of usable instances that are neither tried nor busy.
func (c *candidates) usable() int { return len(c.local) + len(c.remote) }

// state returns the state of an instance for requests of a group.
func (i *instance) state(now time.Time, g *config.Group) State {
	switch {
	case len(g.AvailabilityZones) > 0 && !slices.Contains(g.AvailabilityZones, i.AvailabilityZone):
		return OutsideGroup
	case i.Evacuated:
		return Evacuated
	case i.Leaving, i.departing:
		return Leaving
	case now.Before(i.downUntil):
		return Down
	case now.Before(i.heldUntil):
		return Held
	case i.Suspect:
		return Suspect
	case now.Before(i.silentUntil):
		return Silent
	case now.Before(i.ejectedUntil):
		return Ejected
	case now.Before(i.limitedUntil):
		return Limited
	default:
		return Usable
	}
}

// collectCandidates sorts the instances that the call has not tried into
// r.candidates. Busy and limited instances are included even if tried, since one of
// them may have to queue the request.
func (r *Router) collectCandidates(now time.Time, c *call) {
	r.candidates.reset()
	p, ok := r.pools[c.group.Service]
	if !ok {
		return
	}
	for _, i := range p.instances {
		s := i.state(now, c.group)
		r.candidates.count(s)
		switch {
		case s == Limited:
			r.candidates.addLimited(now, i)
		case s == Usable && r.isBusy(now, c, i):
			r.candidates.busy = append(r.candidates.busy, i)
		case !c.hasTried(i):
			r.candidates.add(i, s, r.cfg.AvailabilityZone)
		}
	}
}

func (c *candidates) count(s State) {
	switch s {
	case Evacuated:
		c.evacuated++
	case Leaving, OutsideGroup:
	default:
		c.staying++
	}
}

// allEvacuated reports whether the service has instances, all of them in evacuated
// availability zones. Those that are leaving do not count.
func (c *candidates) allEvacuated() bool { return c.evacuated > 0 && c.staying == 0 }

func (c *candidates) addLimited(now time.Time, i *instance) {
	c.limited = append(c.limited, i)
	end := i.reportedWaitAt.Add(i.reportedWait)
	if !end.After(now) {
		return // not known any more
	}
	if c.earliestLimitEnd.IsZero() || end.Before(c.earliestLimitEnd) {
		c.earliestLimitEnd = end
	}
}

func (c *candidates) add(i *instance, s State, zone string) {
	switch s {
	case Usable:
		if i.AvailabilityZone == zone {
			c.local = append(c.local, i)
		} else {
			c.remote = append(c.remote, i)
		}
	case Ejected:
		c.ejected = append(c.ejected, i)
	case Suspect:
		c.suspect = append(c.suspect, i)
	case Silent:
		c.silent = append(c.silent, i)
	case Held:
		if c.earliestHoldEnd.IsZero() || i.heldUntil.Before(c.earliestHoldEnd) {
			c.earliestHoldEnd = i.heldUntil
		}
	}
}

// chooseByScore selects the instance for the next attempt, nil if there is
// none.
func (r *Router) chooseByScore(now time.Time, c *call) *instance {
	r.collectCandidates(now, c)
	local := r.pick(now, c, r.candidates.local)
	remote := r.pick(now, c, r.candidates.remote)
	switch {
	case local != nil && remote != nil:
		if c.failedZone == r.cfg.AvailabilityZone || shouldSpill(now, local, remote) || r.leavesColdZone(now, local, remote) {
			r.stats.ZoneSpills++
			return remote
		}
		return local
	case local != nil:
		return local
	case remote != nil:
		return remote
	}
	if limited, _ := r.chooseLimited(now, c); limited != nil {
		return limited
	}
	if chosen := r.pickLastResort(now, c); chosen != nil {
		return chosen
	}
	if c.match.Route.Repeatable {
		return r.pick(now, c, r.candidates.suspect)
	}
	return nil
}

// pickLastResort selects one of the ejected candidates or, without such, of the silent
// ones, nil if there is none.
func (r *Router) pickLastResort(now time.Time, c *call) *instance {
	if chosen := r.pick(now, c, r.candidates.ejected); chosen != nil {
		return chosen
	}
	return r.pick(now, c, r.candidates.silent)
}

// shouldSpill reports whether a request should leave its availability zone for
// the remote instance.
func shouldSpill(now time.Time, local, remote *instance) bool {
	if local.saturated(now) {
		return !remote.saturated(now) || remote.score(now) < local.score(now)
	}
	return local.expectedLatency(now) > slowZoneRatio*remote.expectedLatency(now)
}

// pickByPolicy selects an instance for the request by the placement policy, nil if the list
// is empty.
func (r *Router) pickByPolicy(now time.Time, c *call, list []*instance) *instance {
	if len(list) > 1 && r.placesByFinish(now, list[0].pool) {
		return r.pickByFinish(now, c, list)
	}
	return r.pickOfTwo(now, list)
}

// pickOfTwo selects two instances at random and returns the one with the lower
// score, nil if the list is empty.
func (r *Router) pickOfTwo(now time.Time, list []*instance) *instance {
	switch len(list) {
	case 0:
		return nil
	case 1:
		return list[0]
	}
	a := r.rng.IntN(len(list))
	b := r.rng.IntN(len(list) - 1)
	if b >= a {
		b++
	}
	if list[b].score(now) < list[a].score(now) {
		return list[b]
	}
	return list[a]
}
