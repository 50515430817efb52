package dist

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"

	"heatherlift.example/heatherlift/internal/config"
)

// settleTime bounds the time from the end of all faults to convergence. It
// covers a demotion, a lost version and a full backoff.
const settleTime = time.Minute

// converged fails unless every proxy enforces what the naive oracle does.
func converged(n *network) {
	if difference := differs(n); difference != "" {
		n.fail("%s", difference)
	}
}

// settle runs until the fleet has converged, and fails after settleTime.
func settle(n *network) {
	for end := n.now.Add(settleTime); n.now.Before(end); {
		n.run(2 * time.Second)
		if differs(n) == "" {
			return
		}
	}
	converged(n)
}

// differs tells how the fleet differs from the naive oracle, "" if it does not.
func differs(n *network) string {
	want := oracle(n.source)
	for _, p := range n.proxies {
		if !p.d.Ready() {
			return fmt.Sprintf("%s (%v) is not ready: %s", p.id, p.d.Role(), p.d.Waiting())
		}
		if p.enforced.Version != want.Version || p.enforced.Root != want.Root {
			return fmt.Sprintf("%s (%v) enforces version %d, the oracle %d", p.id, p.d.Role(), p.enforced.Version, want.Version)
		}
		for _, service := range p.services {
			if p.enforced.Sets[service].Hash != want.Sets[service].Hash {
				return fmt.Sprintf("%s differs from the oracle in service %s", p.id, service)
			}
		}
	}
	return ""
}

// oracle returns what a proxy in naive mode enforces after reading the source.
func oracle(s *fakeSource) *config.Snapshot {
	d := New(Config{ID: "oracle", Services: []string{"desk"}, Naive: true, WatchWait: time.Second})
	now := time.Unix(0, 0)
	for _, read := range s.outcomes {
		d.Step(now, Tick{})
		d.Step(now, read)
	}
	return d.Snapshot()
}

// TestFleetConvergesAfterFaults drives a fleet through faults, any of them
// together, checks the invariants at every step and convergence after quiet.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 3, 6, t.Fatalf)
		n.source.publish("a-desk", 1)
		n.run(5 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			disturb(t, n)
			n.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "run")) * testTick)
		}
		heal(n)
		n.source.publish("a-desk", 1+n.source.rates["a-desk"])
		settle(n)
	})
}

// disturb draws one fault or change.
func disturb(t *rapid.T, n *network) {
	p := n.proxies[rapid.IntRange(0, len(n.proxies)-1).Draw(t, "proxy")]
	zone := rapid.SampledFrom([]string{"zone-0", "zone-1", "zone-2"}).Draw(t, "zone")
	action := rapid.SampledFrom([]string{
		"change", "change", "change", "rejected", "bad", "pause", "restart", "herd",
		"down", "up", "stale", "fresh", "torn", "split", "join", "lossy", "cut", "reorder",
	}).Draw(t, "action")
	switch action {
	case "change":
		org := rapid.SampledFrom([]string{"a-desk", "b-stock", "c-other"}).Draw(t, "organisation")
		n.source.publish(org, 1+n.source.rates[org])
	case "rejected":
		n.source.publish("a-desk", 0)
	case "bad":
		n.source.publishBad()
	case "pause":
		p.pausedUntil = n.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "pause")) * time.Second)
	case "restart":
		n.start(p)
	case "herd":
		for _, p := range n.proxies {
			n.start(p)
		}
	case "down", "up":
		n.source.down = action == "down"
	case "stale", "fresh":
		n.source.setStale(action == "stale")
	case "torn":
		n.source.torn = 3
	case "split":
		n.side[zone] = 1
	case "join":
		clear(n.side)
	case "lossy":
		n.loss, n.dup = 0.3, 0.3
	case "cut":
		n.noSource[zone] = true
	case "reorder":
		n.delay = 3 * time.Second
	}
}

func heal(n *network) {
	n.source.down, n.source.stale, n.source.torn = false, false, 0
	clear(n.side)
	clear(n.noSource)
	n.loss, n.dup, n.delay = 0, 0, 2*time.Millisecond
}

// TestSameEventsSameEffects runs a fleet twice from the same seed through
// faults and compares what every proxy sent, enforced and read.
func TestSameEventsSameEffects(t *testing.T) {
	run := func() string {
		n := newNetwork(9, 3, 6, t.Fatalf)
		n.source.publish("a-desk", 1)
		n.run(5 * time.Second)
		n.loss, n.dup = 0.3, 0.3
		for rate := range 5 {
			n.source.publish("b-stock", 2+rate)
			n.start(n.proxies[3*rate])
			n.run(3 * time.Second)
		}
		trace := fmt.Sprint(n.seq, n.source.calls)
		for _, p := range n.proxies {
			trace += fmt.Sprintf(" %s:%d:%d:%v", p.id, p.bytes, p.d.Head().Version, p.readyAt)
		}
		return trace
	}
	first := run()
	for range 5 {
		if second := run(); second != first {
			t.Fatalf("two runs differ:\n%s\n%s", first, second)
		}
	}
}
