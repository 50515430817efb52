package member

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/source"
)

// newConvergedNetwork returns a network for which converged is true.
func newConvergedNetwork(t testing.TB, seed uint64, size, zones int) *network {
	t.Helper()
	n := newNetwork(seed, size, zones)
	n.publishList()
	n.awaitConvergence(t, 30*time.Second)
	return n
}

// countStates counts the states in which the other running instances see the
// instance with the given ID.
func (n *network) countStates(id string) map[State]int {
	counts := make(map[State]int)
	for _, t := range n.nodes {
		if e, ok := t.m.table.byID[id]; ok && !t.down && t.id() != id {
			counts[e.state()]++
		}
	}
	return counts
}

// seenAs reports whether all running instances see each of the nodes in state s.
func (n *network) seenAs(s State, nodes ...*testNode) bool {
	for _, t := range nodes {
		if counts := n.countStates(t.id()); len(counts) != 1 || counts[s] == 0 {
			return false
		}
	}
	return true
}

func (t *testNode) kill() { t.down = true }

// restart starts the process again with a clock that is off by skew.
func (t *testNode) restart(skew time.Duration) {
	t.kill()
	t.generation++
	t.cfg.Self.Incarnation = uint64(t.net.now.Add(skew).UnixNano())
	t.start()
}

func zoneOf(t *testNode) string { return t.cfg.Self.AvailabilityZone }

func TestCrashedInstanceIsDeadAndRejoins(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 3, 24, 3)
	crashed := n.nodes[7]
	crashed.kill()
	_, ok := n.runUntil(20*time.Second, func() bool { return n.seenAs(Dead, crashed) })
	is.True(ok)
	crashed.restart(0)
	n.publishList()
	_, ok = n.runUntil(5*time.Second, func() bool { return n.seenAs(Alive, crashed) })
	is.True(ok)
	n.awaitConvergence(t, 20*time.Second)
}

func TestRestartWithEarlierClockRaisesIncarnation(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 4, 24, 3)
	restarted := n.nodes[3]
	old := restarted.cfg.Self.Incarnation
	restarted.restart(-time.Hour)
	n.publishList()
	n.awaitConvergence(t, 20*time.Second)
	is.True(restarted.m.Self().Incarnation > old)
	restarted.step(versionHeld(5))
	n.awaitConvergence(t, 10*time.Second)
}

func TestLeavingIsKnownWithinThreeSeconds(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 5, 48, 7)
	n.nodes[11].step(Leave{})
	took, ok := n.runUntil(3*time.Second, func() bool { return n.seenAs(Leaving, n.nodes[11]) })
	is.True(ok)
	t.Log("state known to all instances after", took)
}

func TestOneLostLinkCausesNoSuspicion(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 6, 24, 3)
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
	is.True(n.converged())
}

func TestPausedProcessDeclaresNobodyDead(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 7, 24, 3)
	pausedNode := n.nodes[2]
	pausedNode.pausedUntil = n.now.Add(time.Minute)
	n.run(30 * time.Second)
	is.True(n.seenAs(Dead, pausedNode))
	n.check = func(at *testNode, effects []Effect) {
		for _, e := range effects {
			if tr, ok := e.(Transition); ok && at == pausedNode && tr.To >= Suspect {
				t.Fatalf("transition after the pause: %+v", tr)
			}
		}
	}
	n.run(30 * time.Second)
	_, ok := n.runUntil(10*time.Second, func() bool { return n.seenAs(Alive, pausedNode) })
	is.True(ok)
	n.awaitConvergence(t, 10*time.Second)
}

func TestLostRegionIsPartitionedAndHeals(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 8, 24, 4)
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
	east[0].step(versionHeld(9)) // records change on both sides of the partition
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
	n.awaitConvergence(t, 20*time.Second)
	for _, node := range n.nodes {
		is.True(node.m.Partition() == nil)
	}
}

func TestLostZoneIsPartitionedUntilDelisted(t *testing.T) {
	for seed := range uint64(4) {
		checkLostZone(t, newConvergedNetwork(t, seed, 42, 7))
	}
}

func checkLostZone(t *testing.T, n *network) {
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
	n.publishList(ids...)
	_, ok := n.runUntil(20*time.Second, func() bool { return n.seenAs(Dead, lost...) })
	is.True(ok)
	is.True(n.nodes[0].m.Partition() == nil)
}

func TestReturnOfIsolatedInstanceCausesNoSuspicion(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 10, 36, 4)
	isolated := n.nodes[0]
	n.cut = func(a, b *testNode) bool { return a == isolated || b == isolated }
	n.run(5 * time.Minute)
	is.True(n.seenAs(Dead, isolated))
	is.True(isolated.m.Partition().CutOff)
	n.check = func(at *testNode, effects []Effect) {
		for _, e := range effects {
			if tr, ok := e.(Transition); ok && tr.To >= Suspect {
				t.Fatalf("at %s: %+v", at.id(), tr)
			}
		}
	}
	n.cut = nil
	_, ok := n.runUntil(70*time.Second, n.converged)
	is.True(ok)
}

// TestSuspicionFromBeforeAPauseIsProbedAgain guards against a suspect that is
// declared dead because its timeout passed while the observer was paused. The
// suspect is reachable again when the observer resumes.
func TestSuspicionFromBeforeAPauseIsProbedAgain(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 11, 3, 3)
	pausedNode, suspect := n.nodes[0], n.nodes[1]
	n.cut = func(a, b *testNode) bool { return a == suspect || b == suspect }
	_, ok := n.runUntil(10*time.Second, func() bool {
		return pausedNode.m.table.byID[suspect.id()].state() == Suspect
	})
	is.True(ok)
	pausedNode.pausedUntil = n.now.Add(20 * time.Second)
	n.cut = nil
	n.check = func(at *testNode, effects []Effect) {
		for _, e := range effects {
			if tr, ok := e.(Transition); ok && at == pausedNode && tr.To == Dead {
				t.Fatalf("transition after the pause: %+v", tr)
			}
		}
	}
	n.run(20 * time.Second)
	_, ok = n.runUntil(10*time.Second, n.converged)
	is.True(ok)
}

// TestIsolatedInstanceInALargeFleetDeclaresNobodyDead guards against an isolated
// instance that declares others dead. It finds them unreachable one by one, too
// slowly for their number to count as a mass failure.
func TestIsolatedInstanceInALargeFleetDeclaresNobodyDead(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 770, 7)
	isolated := n.nodes[0]
	for _, node := range n.nodes[1:] {
		isolated.m.table.put(node.cfg.Self)
	}
	n.cut = func(a, b *testNode) bool { return a == isolated || b == isolated }
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
	is.True(isolated.m.Partition().CutOff)
}

// TestLossAcrossZonesIsPartitioned stops more than a tenth of the fleet, but no
// more than one instance in each availability zone.
func TestLossAcrossZonesIsPartitioned(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 14, 42, 7)
	lost := n.nodes[:6]
	for _, node := range lost {
		node.kill()
	}
	_, ok := n.runUntil(time.Minute, func() bool { return n.seenAs(Partitioned, lost...) })
	is.True(ok)
}

// TestLateJoinerConvergesWithoutDeadRecords guards against tables that differ
// forever because of dead records. An instance joins after another died and was
// removed from the platform's instance list, and never gets its record.
func TestLateJoinerConvergesWithoutDeadRecords(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 15, 12, 3)
	crashed := n.nodes[5]
	crashed.kill()
	_, ok := n.runUntil(20*time.Second, func() bool { return n.seenAs(Dead, crashed) })
	is.True(ok)
	joiner := n.add(12, 3)
	n.publishList(crashed.id())
	n.awaitConvergence(t, 20*time.Second)
	is.Equal(joiner.m.table.byID[crashed.id()], nil)
	n.run(testForgetAfter + 10*time.Second)
	for _, node := range n.nodes {
		is.True(node.down || node.m.table.byID[crashed.id()] == nil) // removed after ForgetAfter
	}
	n.awaitConvergence(t, time.Second)
}

func TestListMarksLeavingAndKeepsAbsentInstancesThatAnswer(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 17, 12, 3)
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
	is.Equal(n.nodes[0].m.table.byID[marked.id()].state(), Leaving) // before its own record says so
	for _, node := range n.nodes {
		node.step(Listed{Instances: instances})
	}
	n.run(time.Minute)
	is.True(n.seenAs(Leaving, marked))
	is.True(n.seenAs(Alive, absent))
}
