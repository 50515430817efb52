package member

import (
	"slices"
	"time"
)

// Slots of the neighbour set. Most neighbours share the availability zone; at
// least two are outside it and one in another region, if there are any, so
// that the parts of the fleet stay connected.
const (
	zoneSlots    = 5
	foreignSlots = 2
	regionSlots  = 1
	slotCount    = zoneSlots + foreignSlots + regionSlots
	// rotation is how long a rotating slot keeps its place on the ring.
	rotation = 10 * time.Minute
)

// currentNeighbours returns the peers with which this proxy gossips. They
// follow from the view and the time; one slot changes at a time, so that few
// connections are opened anew.
func (m *Members) currentNeighbours(now time.Time) []*entry {
	if m.reachChanged || !now.Before(m.neighboursUntil) {
		m.reachChanged = false
		m.neighboursUntil = now.Add(rotation / slotCount)
		m.neighbours = m.chooseNeighbours(now)
	}
	return m.neighbours
}

func (m *Members) chooseNeighbours(now time.Time) []*entry {
	var own, foreign, distant []*entry
	for _, e := range m.table.sorted {
		switch {
		case e == m.me || !e.live():
		case e.Region != m.me.Region:
			distant = append(distant, e)
		case e.AvailabilityZone != m.me.AvailabilityZone:
			foreign = append(foreign, e)
		default:
			own = append(own, e)
		}
	}
	c := chooser{m: m, now: now}
	if len(foreign) == 0 {
		foreign = distant
	}
	c.fill(own, zoneSlots)
	c.fill(foreign, foreignSlots)
	c.fill(distant, regionSlots)
	c.fill(slices.Concat(foreign, distant, own), slotCount-len(c.chosen))
	return c.chosen
}

// chooser fills slots with instances.
type chooser struct {
	m      *Members
	now    time.Time
	slot   int
	chosen []*entry
}

// fill chooses n of the candidates. The first is the successor on the ring, so
// that every instance is the neighbour of another; the rest rotate.
func (c *chooser) fill(candidates []*entry, n int) {
	for i := range n {
		order := c.ring
		if i > 0 || c.slot >= zoneSlots {
			order = c.rotating()
		}
		c.slot++
		if e := c.first(candidates, order); e != nil {
			c.chosen = append(c.chosen, e)
		}
	}
}

// ring orders candidates by their distance on the ring.
func (c *chooser) ring(e *entry) uint64 {
	return e.point - c.m.me.point
}

// rotating returns the order of candidates for a rotating slot: rendezvous
// hashing, which gives each instance its share of neighbours.
func (c *chooser) rotating() func(e *entry) uint64 {
	phase := rotation / slotCount * time.Duration(c.slot)
	turn := c.now.Add(phase).UnixNano() / int64(rotation)
	seed := mix(c.m.me.point, mix(uint64(c.slot), uint64(turn)))
	return func(e *entry) uint64 { return mix(seed, e.point) }
}

// first returns the first candidate in the order that is not chosen yet,
// preferring availability zones without a neighbour.
func (c *chooser) first(candidates []*entry, order func(e *entry) uint64) *entry {
	var best *entry
	var bestKey rank
	for _, e := range candidates {
		if slices.Contains(c.chosen, e) {
			continue
		}
		key := rank{sameZone: c.hasZone(e), place: order(e)}
		if best == nil || key.less(bestKey) {
			best, bestKey = e, key
		}
	}
	return best
}

func (c *chooser) hasZone(e *entry) bool {
	return slices.ContainsFunc(c.chosen, func(o *entry) bool {
		return o.AvailabilityZone == e.AvailabilityZone
	})
}

// rank orders candidates.
type rank struct {
	sameZone bool
	place    uint64
}

func (k rank) less(o rank) bool {
	if k.sameZone != o.sameZone {
		return !k.sameZone
	}
	return k.place < o.place
}
