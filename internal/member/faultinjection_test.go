package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"
)

// convergenceLimit is the time within which all tables must agree after the last
// fault: the longest reconnect backoff and 30 s for the exchanges that follow.
const convergenceLimit = maxReconnectBackoffIntervals*testInterval + 30*time.Second

// invariants checks the properties that must hold after every step.
type invariants struct {
	t interface{ Fatalf(string, ...any) }
	// newest maps each process, by ID and generation, to the newest record of
	// each instance seen in its table.
	newest map[string]map[string]Record
}

func (v *invariants) check(n *testNode, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Send:
			v.checkMessage(n, &e.Message)
		case Reply:
			v.checkMessage(n, &e.Message)
		case ProtocolViolation:
			v.t.Fatalf("%s refused a message from %s: %s", n.id(), e.From, e.Cause)
		case RumourLearnt:
			if n.learnt[e.Rumour.Key] > 1 {
				v.t.Fatalf("%s reported rumour %s more than once", n.id(), e.Rumour.Key)
			}
		case ViewChanged:
			v.checkTable(n)
		}
	}
}

func (v *invariants) checkMessage(n *testNode, g *Gossip) {
	if cause := violation(n.net.now, g); cause != "" {
		v.t.Fatalf("%s sent an invalid message: %s", n.id(), cause)
	}
	if len(g.Records) < 32 && len(g.Deltas) < 32 {
		return
	}
	if size := frameSize("gossip", *g); size > 26_000 {
		v.t.Fatalf("%s sent a message of %d bytes, more than 26000", n.id(), size)
	}
}

func (v *invariants) checkTable(n *testNode) {
	process := fmt.Sprint(n.id(), "/", n.generation)
	if v.newest[process] == nil {
		v.newest[process] = make(map[string]Record)
	}
	var hash uint64
	for _, e := range n.m.table.sorted {
		hash += e.hash()
		old, ok := v.newest[process][e.ID]
		if ok && compare(e.Record, old) < 0 {
			v.t.Fatalf("%s replaced the newer record %+v by %+v", n.id(), old, e.Record)
		}
		v.newest[process][e.ID] = e.Record
	}
	if hash != n.m.table.hash {
		v.t.Fatalf("table hash of %s is not the sum of its entries' hashes", n.id())
	}
}

// injectFault applies one random fault or change.
func injectFault(t *rapid.T, n *network) {
	node := n.nodes[rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0:
		node.kill()
	case 1, 2:
		node.restart(time.Duration(rapid.IntRange(-3600, 1).Draw(t, "skew")) * time.Second)
	case 3:
		node.pausedUntil = n.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "pause")) * time.Second)
	case 4:
		side := zoneOf(node)
		n.cut = func(a, b *testNode) bool { return (zoneOf(a) == side) != (zoneOf(b) == side) }
	case 9: // loses messages in one direction only
		n.cut = func(a, b *testNode) bool { return a == node && b != node }
	case 5:
		n.cut = nil
	case 6:
		node.step(versionHeld(node.m.Self().Version + 1))
	case 7:
		node.step(Leave{})
	case 8:
		node.step(Publish{Rumour: rumour(fmt.Sprint("r", n.seq), time.Minute)})
	}
}

func TestFleetAgreesAfterAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 14).Draw(t, "size"), 3)
		v := &invariants{t: t, newest: make(map[string]map[string]Record)}
		n.check = v.check
		n.tick = 4 * testTick
		n.publishList()
		n.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		n.duplicate = 0.1
		n.delay = time.Duration(rapid.SampledFrom([]int{1, 20, 300}).Draw(t, "delay")) * time.Millisecond
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			injectFault(t, n)
			n.run(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "wait")) * time.Millisecond)
		}
		n.cut, n.loss, n.delay = nil, 0, time.Millisecond
		for _, node := range n.nodes {
			node.pausedUntil = time.Time{}
			if node.down {
				node.restart(0)
			}
		}
		n.publishList()
		if _, ok := n.runUntil(convergenceLimit, n.converged); !ok {
			t.Fatalf("not converged %v after the last fault", convergenceLimit)
		}
		n.run(time.Minute)
		if !n.converged() {
			t.Fatalf("no longer converged after another minute without a fault")
		}
	})
}
