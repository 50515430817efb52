package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newFullViewNetwork returns a network in which every instance knows all others.
func newFullViewNetwork(size, zones int) *network {
	n := newNetwork(1, size, zones)
	for _, t := range n.nodes {
		for _, o := range n.nodes {
			if o != t {
				t.m.table.put(o.cfg.Self)
			}
		}
	}
	return n
}

func neighbourIDs(m *Members, now time.Time) map[string]bool {
	m.neighboursStale = true
	ids := make(map[string]bool)
	for _, e := range m.currentNeighbours(now) {
		ids[e.ID] = true
	}
	return ids
}

func TestNeighboursSpanZonesAndRegions(t *testing.T) {
	is := is.New(t)
	n := newFullViewNetwork(84, 7)
	inbound := make(map[string]int)
	for _, node := range n.nodes {
		self := node.m.Self()
		foreign := make(map[string]bool)
		regions := make(map[string]bool)
		ids := neighbourIDs(node.m, n.now)
		is.True(len(ids) <= slotCount)
		for id := range ids {
			inbound[id]++
			r := n.byID[id].m.Self()
			regions[r.Region] = true
			if r.AvailabilityZone != self.AvailabilityZone {
				foreign[r.AvailabilityZone] = true
			}
		}
		is.True(len(foreign) >= 2)
		is.Equal(len(regions), 2)
	}
	for _, node := range n.nodes {
		is.True(inbound[node.id()] > 0)
	}
}

func TestNeighboursRotateSlowly(t *testing.T) {
	is := is.New(t)
	n := newFullViewNetwork(84, 7)
	m := n.nodes[5].m
	before := neighbourIDs(m, n.now)
	is.Equal(before, neighbourIDs(m, n.now)) // a function of view and time
	seen := make(map[string]bool)
	for i := range 8 * slotCount {
		after := neighbourIDs(m, n.now.Add(time.Duration(i+1)*rotationPeriod/slotCount))
		fresh := 0
		for id := range after {
			seen[id] = true
			if !before[id] {
				fresh++
			}
		}
		is.True(fresh <= 2) // one slot rotates and may displace another
		before = after
	}
	is.True(len(seen) > 2*slotCount)
}

func TestMessageWithoutUpdatesIsSmall(t *testing.T) {
	const limit = 128 // bytes; the target is about 100
	n := newConvergedNetwork(t, 13, 24, 3)
	n.run(20 * time.Second)
	n.check = func(node *testNode, effects []Effect) {
		for _, e := range effects {
			if s, ok := e.(Send); ok && frameSize("gossip", s.Message) > limit {
				t.Fatal(fmt.Sprint(node.id(), " sent ", s.Message))
			}
			if r, ok := e.(Reply); ok && frameSize("", r.Message) > limit {
				t.Fatal(fmt.Sprint(node.id(), " answered ", r.Message))
			}
		}
	}
	n.run(30 * time.Second)
}
