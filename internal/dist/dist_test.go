package dist

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"

	"heatherlift.example/heatherlift/internal/config"
)

// convergenceTimeout bounds the time from the end of all faults to convergence.
// It covers a demotion, a version that was lost and a full backoff.
const convergenceTimeout = time.Minute

// requireConverged fails unless every proxy enforces the same content as the
// oracle.
func requireConverged(n *network) {
	if difference := divergence(n); difference != "" {
		n.fail("%s", difference)
	}
}

// waitConverged runs until the fleet has converged and fails after
// convergenceTimeout.
func waitConverged(n *network) {
	for end := n.now.Add(convergenceTimeout); n.now.Before(end); {
		n.run(2 * time.Second)
		if divergence(n) == "" {
			return
		}
	}
	requireConverged(n)
}

// divergence describes a difference between the fleet and the oracle, "" if
// there is none.
func divergence(n *network) string {
	want := oracle(n.source)
	for _, p := range n.proxies {
		if !p.d.Ready() {
			return fmt.Sprintf("%s (%v) is not ready: %s", p.id, p.d.Role(), p.d.WaitReason())
		}
		if p.enforced.Version != want.Version || p.enforced.Root != want.Root {
			return fmt.Sprintf("%s (%v) enforces version %d, want %d as enforced by the oracle", p.id, p.d.Role(), p.enforced.Version, want.Version)
		}
		for _, service := range p.services {
			if p.enforced.Sets[service].Hash != want.Sets[service].Hash {
				return fmt.Sprintf("%s differs from the oracle in service %s", p.id, service)
			}
		}
	}
	return ""
}

// oracle returns the snapshot that a proxy in naive mode enforces after it has
// read every version of the source.
func oracle(s *fakeSource) *config.Snapshot {
	d := New(Config{ID: "oracle", Services: []string{"desk"}, Naive: true, WatchWait: time.Second})
	now := time.Unix(0, 0)
	for _, read := range s.outcomes {
		d.Step(now, Tick{})
		d.Step(now, read)
	}
	return d.EnforcedSnapshot()
}

// TestFleetConvergesAfterFaults injects random combinations of faults into a
// fleet, checks the invariants at every step, and requires convergence once the
// faults are cleared.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 3, 6, t.Fatalf)
		n.source.publish("a-desk", 1)
		n.run(5 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			injectFault(t, n)
			n.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "run")) * testTick)
		}
		clearFaults(n)
		n.source.publish("a-desk", 1+n.source.rates["a-desk"])
		waitConverged(n)
	})
}

// injectFault draws one fault or configuration change and applies it.
func injectFault(t *rapid.T, n *network) {
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
		n.source.publishInvalid()
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
		n.source.setFrozen(action == "stale")
	case "torn":
		n.source.failingReads = 3
	case "split":
		n.partition[zone] = 1
	case "join":
		clear(n.partition)
	case "lossy":
		n.loss, n.duplication = 0.3, 0.3
	case "cut":
		n.sourceCutOff[zone] = true
	case "reorder":
		n.delay = 3 * time.Second
	}
}

func clearFaults(n *network) {
	n.source.down, n.source.frozen, n.source.failingReads = false, false, 0
	clear(n.partition)
	clear(n.sourceCutOff)
	n.loss, n.duplication, n.delay = 0, 0, 2*time.Millisecond
}

// TestSameEventsSameEffects guards determinism: two runs from the same seed,
// through the same faults, must send, enforce and read the same.
func TestSameEventsSameEffects(t *testing.T) {
	run := func() string {
		n := newNetwork(9, 3, 6, t.Fatalf)
		n.source.publish("a-desk", 1)
		n.run(5 * time.Second)
		n.loss, n.duplication = 0.3, 0.3
		for rate := range 5 {
			n.source.publish("b-stock", 2+rate)
			n.start(n.proxies[3*rate])
			n.run(3 * time.Second)
		}
		trace := fmt.Sprint(n.seq, n.source.calls)
		for _, p := range n.proxies {
			trace += fmt.Sprintf(" %s:%d:%d:%v", p.id, p.bytes, p.d.EnforcedHead().Version, p.readyAt)
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
