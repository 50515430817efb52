package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceNode maintains the membership list by exchanging full tables with a
// random peer in each round. It is the reference model for the tables that the
// protocol must converge to.
type referenceNode struct {
	self  Record
	table map[string]Record
	down  bool
}

// convergenceLimitWithoutPartition is the time within which all tables must
// agree after message loss and crashes, without a reconnect backoff to wait for.
const convergenceLimitWithoutPartition = 40 * time.Second

type referenceFleet struct {
	nodes []*referenceNode
	draw  func(n int) int
}

func newReferenceFleet(n *network) *referenceFleet {
	f := &referenceFleet{draw: n.rng.IntN}
	for _, t := range n.nodes {
		f.nodes = append(f.nodes, &referenceNode{self: t.cfg.Self, table: make(map[string]Record)})
	}
	return f
}

func (f *referenceFleet) change(i int, apply func(r *Record)) {
	if n := f.nodes[i]; !n.down {
		apply(&n.self)
		n.self.Seq++
	}
}

func (f *referenceFleet) round() {
	for i, n := range f.nodes {
		j := f.draw(len(f.nodes))
		peer := f.nodes[j]
		if n.down || j == i {
			continue
		}
		if peer.down {
			if r, ok := n.table[peer.self.ID]; ok {
				r.State = Dead
				n.table[r.ID] = r
			}
			continue
		}
		n.exchange(peer)
	}
}

func (n *referenceNode) exchange(peer *referenceNode) {
	n.table[n.self.ID] = n.self
	peer.table[peer.self.ID] = peer.self
	for id, r := range n.table {
		if old, ok := peer.table[id]; !ok || compare(r, old) > 0 {
			peer.table[id] = r
		}
	}
	for id, r := range peer.table {
		if old, ok := n.table[id]; !ok || compare(r, old) > 0 {
			n.table[id] = r
		}
	}
}

// comparableView returns the records that are not dead, without Incarnation and
// Seq, which refutations may change, and without Calls.
func comparableView(records []Record) map[string]Record {
	out := make(map[string]Record)
	for _, r := range records {
		if r.State != Dead {
			r.Incarnation, r.Seq, r.Calls = 0, 0, nil
			out[r.ID] = r
		}
	}
	return out
}

// TestSameTablesAsReferenceModel applies the same changes to the reference model
// and to a fleet that runs the protocol with message loss, and compares the
// resulting tables.
func TestSameTablesAsReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(6, 16).Draw(t, "size"), 3)
		n.tick = 4 * testTick
		n.publishList()
		n.run(15 * time.Second)
		reference := newReferenceFleet(n)
		for range 40 {
			reference.round()
		}
		n.loss, n.duplicate = 0.05, 0.1
		killed := 0
		for range rapid.IntRange(0, 15).Draw(t, "changes") {
			i := rapid.IntRange(0, len(n.nodes)-1).Draw(t, "node")
			node := n.nodes[i]
			switch what := rapid.IntRange(0, 9).Draw(t, "what"); {
			case what == 0 && killed < 2 && !node.down:
				killed++
				node.kill()
				reference.nodes[i].down = true
			case what == 1:
				node.step(Leave{})
				reference.change(i, func(r *Record) { r.State = Leaving })
			case what == 2:
				v := node.m.Self().Refused + 1
				node.step(VersionRefused{Version: v})
				reference.change(i, func(r *Record) { r.Refused = v })
			case what > 2:
				e := versionHeld(node.m.Self().Version + 1)
				node.step(e)
				reference.change(i, func(r *Record) { r.Version, r.Root, r.Ready = e.Version, e.Root, true })
			}
			n.run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
		}
		n.loss = 0
		n.run(convergenceLimitWithoutPartition)
		for range 80 {
			reference.round()
		}
		for i, node := range n.nodes {
			if !node.down {
				requireSameView(t, comparableView(node.m.View()), reference.nodes[i])
			}
		}
	})
}

func requireSameView(t *rapid.T, got map[string]Record, reference *referenceNode) {
	var records []Record
	for _, r := range reference.table {
		records = append(records, r)
	}
	want := comparableView(records)
	if len(got) != len(want) {
		t.Fatalf("view of %s: got %d instances, want %d", reference.self.ID, len(got), len(want))
	}
	for id, w := range want {
		g := got[id]
		if g.State != w.State || g.Version != w.Version || g.Root != w.Root || g.Refused != w.Refused || g.Ready != w.Ready {
			t.Fatalf("view of %s: record of %s: got %+v, want %+v", reference.self.ID, id, g, w)
		}
	}
}
