package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// naive keeps the list by exchanging whole tables with a random peer in each
// round. It is the reference for the tables that the protocol must reach.
type naive struct {
	self  Record
	table map[string]Record
	down  bool
}

// quietWithoutPartition is the time in which the fleet must agree after losses
// and crashes, when no backoff of healing probes is to be waited for.
const quietWithoutPartition = 40 * time.Second

type naiveFleet struct {
	nodes []*naive
	draw  func(n int) int
}

func newNaiveFleet(n *network) *naiveFleet {
	f := &naiveFleet{draw: n.rng.IntN}
	for _, t := range n.nodes {
		f.nodes = append(f.nodes, &naive{self: t.cfg.Self, table: make(map[string]Record)})
	}
	return f
}

func (f *naiveFleet) change(i int, apply func(r *Record)) {
	if n := f.nodes[i]; !n.down {
		apply(&n.self)
		n.self.Seq++
	}
}

func (f *naiveFleet) round() {
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

func (n *naive) exchange(peer *naive) {
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

// comparable strips what refutations may change.
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

// TestSameTablesAsNaive applies the same changes to a fleet that exchanges
// whole tables and to one that runs the protocol with loss, and compares.
func TestSameTablesAsNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(6, 16).Draw(t, "size"), 3)
		n.tick = 4 * testTick
		n.list()
		n.run(15 * time.Second)
		reference := newNaiveFleet(n)
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
				node.step(Refused{Version: v})
				reference.change(i, func(r *Record) { r.Refused = v })
			case what > 2:
				e := version(node.m.Self().Version + 1)
				node.step(e)
				reference.change(i, func(r *Record) { r.Version, r.Root, r.Ready = e.Version, e.Root, true })
			}
			n.run(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
		}
		n.loss = 0
		n.run(quietWithoutPartition)
		for range 80 {
			reference.round()
		}
		for i, node := range n.nodes {
			if !node.down {
				sameView(t, comparableView(node.m.View()), reference.nodes[i])
			}
		}
	})
}

func sameView(t *rapid.T, got map[string]Record, reference *naive) {
	var records []Record
	for _, r := range reference.table {
		records = append(records, r)
	}
	want := comparableView(records)
	if len(got) != len(want) {
		t.Fatalf("%s: %d instances, want %d", reference.self.ID, len(got), len(want))
	}
	for id, w := range want {
		g := got[id]
		if g.State != w.State || g.Version != w.Version || g.Root != w.Root || g.Refused != w.Refused || g.Ready != w.Ready {
			t.Fatalf("%s: %s is %+v, want %+v", reference.self.ID, id, g, w)
		}
	}
}
