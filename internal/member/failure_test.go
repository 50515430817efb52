package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/source"
)

// formed returns a network whose tables agree.
func formed(t testing.TB, seed uint64, size, zones int) *network {
	t.Helper()
	n := newNetwork(seed, size, zones)
	n.list()
	n.settle(t, 30*time.Second)
	return n
}

// states counts how the running instances see the one with the given id.
func (n *network) states(id string) map[State]int {
	counts := make(map[State]int)
	for _, t := range n.nodes {
		if e, ok := t.m.table.byID[id]; ok && !t.down && t.id() != id {
			counts[e.state()]++
		}
	}
	return counts
}

// seenAs reports whether all running instances see each of the nodes so.
func (n *network) seenAs(s State, nodes ...*testNode) bool {
	for _, t := range nodes {
		if counts := n.states(t.id()); len(counts) != 1 || counts[s] == 0 {
			return false
		}
	}
	return true
}

func (t *testNode) kill() { t.down = true }

// restart begins a new life whose clock is off by skew.
func (t *testNode) restart(skew time.Duration) {
	t.kill()
	t.life++
	t.cfg.Self.Incarnation = uint64(t.net.now.Add(skew).UnixNano())
	t.start()
}

func zoneOf(t *testNode) string { return t.cfg.Self.AvailabilityZone }

func TestCrashedInstanceIsDeadAndComesBack(t *testing.T) {
	is := is.New(t)
	n := formed(t, 3, 24, 3)
	victim := n.nodes[7]
	victim.kill()
	_, ok := n.runUntil(20*time.Second, func() bool { return n.seenAs(Dead, victim) })
	is.True(ok)
	victim.restart(0)
	n.list()
	_, ok = n.runUntil(5*time.Second, func() bool { return n.seenAs(Alive, victim) })
	is.True(ok)
	n.settle(t, 20*time.Second)
}

func TestRestartWithEarlierClockEndsAboveItsOldIncarnation(t *testing.T) {
	is := is.New(t)
	n := formed(t, 4, 24, 3)
	victim := n.nodes[3]
	old := victim.cfg.Self.Incarnation
	victim.restart(-time.Hour)
	n.list()
	n.settle(t, 20*time.Second)
	is.True(victim.m.Self().Incarnation > old)
	victim.step(version(5))
	n.settle(t, 10*time.Second)
}

func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	is := is.New(t)
	n := formed(t, 5, 48, 7)
	n.nodes[11].step(Leave{})
	took, ok := n.runUntil(3*time.Second, func() bool { return n.seenAs(Leaving, n.nodes[11]) })
	is.True(ok)
	t.Log("known everywhere after", took)
}

func TestOneLostLinkBringsNoSuspicion(t *testing.T) {
	is := is.New(t)
	n := formed(t, 6, 24, 3)
	n.cut = func(a, b *testNode) bool {
		return a == n.nodes[0] && b == n.nodes[3] || a == n.nodes[3] && b == n.nodes[0]
	}
	n.check = func(_ *testNode, effects []Effect) {
		for _, e := range effects {
			if tr, ok := e.(Transition); ok && tr.To >= Suspect {
				t.Fatalf("%+v", tr)
			}
		}
	}
	n.run(2 * time.Minute)
	is.True(n.agreed())
}

func TestPausedProcessDeclaresNobodyDead(t *testing.T) {
	is := is.New(t)
	n := formed(t, 7, 24, 3)
	sleeper := n.nodes[2]
	sleeper.paused = n.now.Add(time.Minute)
	n.run(30 * time.Second)
	is.True(n.seenAs(Dead, sleeper))
	n.check = func(at *testNode, effects []Effect) {
		for _, e := range effects {
			if tr, ok := e.(Transition); ok && at == sleeper && tr.To >= Suspect {
				t.Fatalf("after waking: %+v", tr)
			}
		}
	}
	n.run(30 * time.Second)
	_, ok := n.runUntil(10*time.Second, func() bool { return n.seenAs(Alive, sleeper) })
	is.True(ok)
	n.settle(t, 10*time.Second)
}

func TestLostRegionIsPartitionedAndHeals(t *testing.T) {
	is := is.New(t)
	n := formed(t, 8, 24, 4)
	var east, west []*testNode
	for _, node := range n.nodes {
		if node.cfg.Self.Region == "east" {
			east = append(east, node)
		} else {
			west = append(west, node)
		}
	}
	n.cut = func(a, b *testNode) bool { return a.cfg.Self.Region != b.cfg.Self.Region }
	n.run(time.Minute)
	for _, node := range n.nodes {
		p := node.m.Partition()
		is.True(p != nil)
		is.Equal(p.Unreachable, 12)
		is.True(p.CutOff)
	}
	east[0].step(version(9)) // each side goes on by itself
	west[0].step(Leave{})
	n.tick = testInterval / 2
	n.run(time.Hour)
	n.tick = testTick
	for _, node := range n.nodes {
		for _, e := range node.m.table.sorted {
			is.True(e.State != Dead)
		}
	}
	n.cut = nil
	_, ok := n.runUntil(10*time.Second, func() bool {
		return n.seenAs(Leaving, west[0]) && n.seenAs(Alive, east[0])
	})
	is.True(ok)
	n.settle(t, 20*time.Second)
	for _, node := range n.nodes {
		is.True(node.m.Partition() == nil)
	}
}

func TestLostZoneIsKeptUntilThePlatformDropsIt(t *testing.T) {
	for seed := range uint64(4) {
		lostZone(t, formed(t, seed, 42, 7))
	}
}

func lostZone(t *testing.T, n *network) {
	is := is.New(t)
	var lost []*testNode
	var ids []string
	for _, node := range n.nodes {
		if zoneOf(node) == "zone-2" {
			lost = append(lost, node)
			ids = append(ids, node.id())
			node.kill()
		}
	}
	n.run(time.Minute)
	is.True(n.seenAs(Partitioned, lost...))
	n.list(ids...)
	_, ok := n.runUntil(20*time.Second, func() bool { return n.seenAs(Dead, lost...) })
	is.True(ok)
	is.True(n.nodes[0].m.Partition() == nil)
}

func TestIsolatedInstanceSpreadsNoDeath(t *testing.T) {
	is := is.New(t)
	n := formed(t, 10, 36, 4)
	alone := n.nodes[0]
	n.cut = func(a, b *testNode) bool { return a == alone || b == alone }
	n.run(5 * time.Minute)
	is.True(n.seenAs(Dead, alone))
	is.True(alone.m.Partition().CutOff)
	n.check = func(at *testNode, effects []Effect) {
		for _, e := range effects {
			if tr, ok := e.(Transition); ok && tr.To >= Suspect {
				t.Fatalf("at %s: %+v", at.id(), tr)
			}
		}
	}
	n.cut = nil
	_, ok := n.runUntil(70*time.Second, n.agreed)
	is.True(ok)
}

// TestSuspicionFromBeforeAPauseIsProbedAnew pauses an instance that suspects
// another, which answers again when the first wakes.
func TestSuspicionFromBeforeAPauseIsProbedAnew(t *testing.T) {
	is := is.New(t)
	n := formed(t, 11, 3, 3)
	sleeper, missed := n.nodes[0], n.nodes[1]
	n.cut = func(a, b *testNode) bool { return a == missed || b == missed }
	_, ok := n.runUntil(10*time.Second, func() bool {
		return sleeper.m.table.byID[missed.id()].state() == Suspect
	})
	is.True(ok)
	sleeper.paused = n.now.Add(20 * time.Second)
	n.cut = nil
	n.check = func(at *testNode, effects []Effect) {
		for _, e := range effects {
			if tr, ok := e.(Transition); ok && at == sleeper && tr.To == Dead {
				t.Fatalf("after waking: %+v", tr)
			}
		}
	}
	n.run(20 * time.Second)
	_, ok = n.runUntil(10*time.Second, n.agreed)
	is.True(ok)
}

// TestAloneInALargeFleetBuriesNobody cuts off one instance; it misses others
// one by one, too slowly to take them for a large share of the fleet.
func TestAloneInALargeFleetBuriesNobody(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 770, 7)
	alone := n.nodes[0]
	for _, node := range n.nodes[1:] {
		alone.m.table.put(node.cfg.Self)
	}
	n.cut = func(a, b *testNode) bool { return a == alone || b == alone }
	for _, node := range n.nodes[1:] {
		node.kill()
	}
	n.check = func(_ *testNode, effects []Effect) {
		for _, e := range effects {
			if tr, ok := e.(Transition); ok && tr.To == Dead {
				t.Fatalf("%+v", tr)
			}
		}
	}
	n.run(2 * time.Minute)
	is.True(alone.m.Partition().CutOff)
}

// TestLossAcrossZonesIsPartitioned loses a tenth of the fleet, no more than one
// instance in an availability zone.
func TestLossAcrossZonesIsPartitioned(t *testing.T) {
	is := is.New(t)
	n := formed(t, 14, 42, 7)
	lost := n.nodes[:6]
	for _, node := range lost {
		node.kill()
	}
	_, ok := n.runUntil(time.Minute, func() bool { return n.seenAs(Partitioned, lost...) })
	is.True(ok)
}

// TestLateJoinerAgreesDespiteTheDead has an instance join after another died
// and left the platform's list: it never learns of the dead one.
func TestLateJoinerAgreesDespiteTheDead(t *testing.T) {
	is := is.New(t)
	n := formed(t, 15, 12, 3)
	gone := n.nodes[5]
	gone.kill()
	_, ok := n.runUntil(20*time.Second, func() bool { return n.seenAs(Dead, gone) })
	is.True(ok)
	joiner := n.add(12, 3)
	n.list(gone.id())
	n.settle(t, 20*time.Second)
	is.Equal(joiner.m.table.byID[gone.id()], nil)
	n.run(testForgetAfter + 10*time.Second)
	for _, node := range n.nodes {
		is.True(node.down || node.m.table.byID[gone.id()] == nil) // forgotten
	}
	n.settle(t, time.Second)
}

func TestListMarksLeavingAndRemovesNobodyWhoAnswers(t *testing.T) {
	is := is.New(t)
	n := formed(t, 17, 12, 3)
	marked, absent := n.nodes[3], n.nodes[4]
	var instances []source.Instance
	for _, node := range n.nodes {
		i := source.Instance{ID: node.id(), Address: node.cfg.Self.PeerAddress}
		if node == marked {
			i.State = source.InstanceLeaving
		}
		if node != absent {
			instances = append(instances, i)
		}
	}
	n.nodes[0].step(Listed{Instances: instances})
	is.Equal(n.nodes[0].m.table.byID[marked.id()].state(), Leaving) // before it says so itself
	for _, node := range n.nodes {
		node.step(Listed{Instances: instances})
	}
	n.run(time.Minute)
	is.True(n.seenAs(Leaving, marked))
	is.True(n.seenAs(Alive, absent))
}
