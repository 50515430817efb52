package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/dist"

	_ "heatherlift.example/heatherlift/internal/fixedseed"
)

// convergenceTarget is the required bound on the time until a new version is in
// force at every proxy.
const convergenceTarget = 10 * time.Second

// recoveryTime is how long the tests let a fleet converge after a start or a
// fault.
const recoveryTime = 30 * time.Second

func TestReplayGivesTheSameEffects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newNetwork(1, 4, 2)
	w.recording = true
	cfg := w.proxies["desk-0"].node.cfg
	w.publish(snapshot(1, 10))
	w.run(5 * time.Second)
	w.publish(snapshot(2, 20))
	w.run(5 * time.Second)
	recorded := w.proxies["desk-0"]
	is.Equal(recorded.node.Head().Version, uint64(2))

	replayed := New(cfg)
	for n, line := range recorded.trace {
		event, err := DecodeEvent(line)
		is.NoErr(err)
		effects := replayed.Step(line.At, event)
		if got := fmt.Sprintf("%+v", effects); !sameOutput(got, recorded.outputs[n]) {
			t.Fatalf("event %d (%s):\nrecorded %s\nreplayed %s", n, line.Kind, recorded.outputs[n], got)
		}
	}
	is.Equal(replayed.Head(), recorded.node.Head())
}

func TestChangeIsInForceEverywhereWithinTheTarget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newNetwork(2, 12, 3)
	w.publish(snapshot(1, 10))
	w.run(recoveryTime)
	is.True(w.converged(1))
	w.publish(snapshot(2, 20))
	w.run(convergenceTarget)
	is.True(w.converged(2))
	is.Equal(w.violation, "")
}

// fault is a failure with functions that start and end it.
type fault struct {
	name       string
	begin, end func(w *network)
}

// partitionFirstZone separates zone-0 from the other availability zones.
func partitionFirstZone(w *network) func(a, b string) bool {
	return func(a, b string) bool { return (w.zones[a] == "zone-0") != (w.zones[b] == "zone-0") }
}

var faults = []fault{
	{"loss", func(w *network) { w.lossRate = 0.3 }, func(w *network) { w.lossRate = 0 }},
	{
		"partition",
		func(w *network) { w.blocked = partitionFirstZone(w) },
		func(w *network) { w.blocked = func(string, string) bool { return false } },
	},
	{
		"source down",
		func(w *network) { w.sourceDown = true; w.answerWatches() },
		func(w *network) { w.sourceDown = false },
	},
	{
		"source stale",
		func(w *network) { w.stale = snapshot(1, 10) },
		func(w *network) { w.stale = nil; w.answerWatches() },
	},
	{
		"pause",
		func(w *network) { w.pause("desk-1"); w.pause("desk-2") },
		func(w *network) { w.resume("desk-1"); w.resume("desk-2") },
	},
	{
		"kill",
		func(w *network) { w.kill("desk-3"); w.kill("desk-4") },
		func(w *network) { w.start("desk-3"); w.start("desk-4") },
	},
}

// TestPairsOfFaults injects every pair of faults, publishes a version before,
// during and after them, and checks that versions never decrease and that all
// proxies converge.
func TestPairsOfFaults(t *testing.T) {
	t.Parallel()
	for i, a := range faults {
		for _, b := range faults[i:] {
			t.Run(a.name+" and "+b.name, func(t *testing.T) {
				is := is.New(t)
				w := newNetwork(3, 9, 3)
				w.publish(snapshot(2, 10))
				w.run(recoveryTime)
				is.True(w.converged(2))
				a.begin(w)
				b.begin(w)
				w.publish(snapshot(3, 20))
				w.run(recoveryTime)
				b.end(w)
				a.end(w)
				w.publish(snapshot(4, 30))
				w.run(recoveryTime)
				is.Equal(w.violation, "")
				is.True(w.converged(4))
			})
		}
	}
}

func TestVersionsNeverDecrease(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.Uint64().Draw(t, "seed"), 6, 3)
		version := uint64(1)
		w.publish(snapshot(version, 1))
		w.run(5 * time.Second)
		active := make(map[int]bool)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			n := rapid.IntRange(0, len(faults)-1).Draw(t, "fault")
			if active[n] {
				faults[n].end(w)
			} else {
				faults[n].begin(w)
			}
			active[n] = !active[n]
			version++
			w.publish(snapshot(version, int(version)))
			w.run(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
		}
		for n, on := range active {
			if on {
				faults[n].end(w)
			}
		}
		version++
		w.publish(snapshot(version, int(version)))
		w.run(2 * recoveryTime)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
		if !w.converged(version) {
			t.Fatalf("not converged on version %d", version)
		}
	})
}

func TestJournalEntriesAreEmittedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newNetwork(5, 1, 1)
	p := w.proxies["desk-0"]
	var logged []string
	for range 110 {
		w.now = w.now.Add(testTickInterval)
		for _, e := range p.node.Step(w.now, Tick{}).Journal {
			logged = append(logged, e.What)
		}
	}
	is.Equal(logged, []string{"role reader"})
	effects := p.node.Step(w.now, dist.SourceRead{Version: 1, Snapshot: snapshot(1, 10)})
	is.Equal(len(effects.Journal), 2) // "ready" and "version in force"
	is.Equal(effects.Journal[1].What, "version in force")
}
