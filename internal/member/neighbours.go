package member

import (
	"slices"
	"time"
)

// Slots of the neighbour set. Most neighbours are in the same availability zone;
// at least two are in other zones and one in another region, if there are any,
// so that the gossip graph stays connected across zones and regions.
const (
	sameZoneSlots    = 5
	otherZoneSlots   = 2
	otherRegionSlots = 1
	slotCount        = sameZoneSlots + otherZoneSlots + otherRegionSlots
	// rotationPeriod is how long a rotating slot keeps its order of candidates.
	rotationPeriod = 10 * time.Minute
)

// currentNeighbours returns the peers with which this proxy gossips. They are a
// function of the view and the time. The slots rotate at different times, so
// that few new connections are opened at once.
func (m *Members) currentNeighbours(now time.Time) []*entry {
	if m.neighboursStale || !now.Before(m.neighboursUntil) {
		m.neighboursStale = false
		m.neighboursUntil = now.Add(rotationPeriod / slotCount)
		m.neighbours = m.selectNeighbours(now)
	}
	return m.neighbours
}

func (m *Members) selectNeighbours(now time.Time) []*entry {
	var sameZone, otherZone, otherRegion []*entry
	for _, e := range m.table.sorted {
		switch {
		case e == m.self || !e.live():
		case e.Region != m.self.Region:
			otherRegion = append(otherRegion, e)
		case e.AvailabilityZone != m.self.AvailabilityZone:
			otherZone = append(otherZone, e)
		default:
			sameZone = append(sameZone, e)
		}
	}
	c := neighbourSelector{m: m, now: now}
	if len(otherZone) == 0 {
		otherZone = otherRegion
	}
	c.fill(sameZone, sameZoneSlots)
	c.fill(otherZone, otherZoneSlots)
	c.fill(otherRegion, otherRegionSlots)
	c.fill(slices.Concat(otherZone, otherRegion, sameZone), slotCount-len(c.selected))
	return c.selected
}

// neighbourSelector fills the slots of the neighbour set.
type neighbourSelector struct {
	m        *Members
	now      time.Time
	slot     int
	selected []*entry
}

// fill selects up to n of the candidates. The first slot of the set takes the
// successor on the hash ring, so that every instance is a neighbour of another
// in its availability zone; the other slots rotate.
func (c *neighbourSelector) fill(candidates []*entry, n int) {
	for i := range n {
		order := c.ringDistance
		if i > 0 || c.slot >= sameZoneSlots {
			order = c.rendezvousOrder()
		}
		c.slot++
		if e := c.first(candidates, order); e != nil {
			c.selected = append(c.selected, e)
		}
	}
}

// ringDistance returns the distance from this instance to a candidate on the
// hash ring.
func (c *neighbourSelector) ringDistance(e *entry) uint64 {
	return e.point - c.m.self.point
}

// rendezvousOrder returns the order of candidates for a rotating slot. It uses
// rendezvous hashing, so that all instances are selected about equally often.
func (c *neighbourSelector) rendezvousOrder() func(e *entry) uint64 {
	offset := rotationPeriod / slotCount * time.Duration(c.slot)
	period := c.now.Add(offset).UnixNano() / int64(rotationPeriod)
	seed := hashPair(c.m.self.point, hashPair(uint64(c.slot), uint64(period)))
	return func(e *entry) uint64 { return hashPair(seed, e.point) }
}

// first returns the first candidate in the order that is not selected yet. It
// prefers availability zones without a selected neighbour.
func (c *neighbourSelector) first(candidates []*entry, order func(e *entry) uint64) *entry {
	var best *entry
	var bestKey rank
	for _, e := range candidates {
		if slices.Contains(c.selected, e) {
			continue
		}
		key := rank{zoneTaken: c.hasZone(e), position: order(e)}
		if best == nil || key.less(bestKey) {
			best, bestKey = e, key
		}
	}
	return best
}

func (c *neighbourSelector) hasZone(e *entry) bool {
	return slices.ContainsFunc(c.selected, func(o *entry) bool {
		return o.AvailabilityZone == e.AvailabilityZone
	})
}

// rank is the sort key of a candidate.
type rank struct {
	zoneTaken bool
	position  uint64
}

func (k rank) less(o rank) bool {
	if k.zoneTaken != o.zoneTaken {
		return !k.zoneTaken
	}
	return k.position < o.position
}
