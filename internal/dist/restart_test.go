package dist

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestVersionOutlivesItsHolders restarts every reader and relay at once while
// the source is down. Only leaves remember, each a part.
func TestVersionOutlivesItsHolders(t *testing.T) {
	n := settled(t, 3, 6)
	n.source.down = true
	for _, p := range n.proxies {
		if p.d.Role() != Leaf {
			n.start(p)
		}
	}
	settle(n)
}

// TestRestartedProxyEnforcesNothingOlder restarts part of the fleet while the
// source is stale. What was in force everywhere binds the new lives too.
func TestRestartedProxyEnforcesNothingOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 3, 6, t.Fatalf)
		n.source.publish("a-desk", 1)
		settle(n)
		n.source.setStale(true)
		n.source.stale = false
		n.floor = n.source.publish("a-desk", 2)
		settle(n)
		n.source.stale = rapid.Bool().Draw(t, "stale")
		n.source.down = rapid.Bool().Draw(t, "down")
		survivor := rapid.IntRange(0, len(n.proxies)-1).Draw(t, "survivor")
		for i, p := range n.proxies {
			if i%6 != survivor%6 && rapid.Bool().Draw(t, "restart") {
				n.start(p)
			}
		}
		if n.source.down && len(lost(n)) > 0 {
			waitForSource(t, n)
		}
		settle(n)
	})
}

// lost returns the services whose slices no proxy holds any more.
func lost(n *network) map[string]bool {
	services := make(map[string]bool)
	for service := range oracle(n.source).Index {
		services[service] = true
	}
	for _, p := range n.proxies {
		if s := p.d.Snapshot(); s != nil {
			for service := range s.Sets {
				delete(services, service)
			}
		}
	}
	return services
}

// waitForSource checks that proxies of a lost service wait and enforce nothing
// while the source is down, and brings it back with the newest version.
func waitForSource(t *rapid.T, n *network) {
	gone := lost(n)
	n.run(settleTime)
	for _, p := range n.proxies {
		if slices.ContainsFunc(p.services, func(s string) bool { return gone[s] }) && p.d.Ready() {
			t.Fatalf("%s is ready without %v", p.id, p.services)
		}
	}
	n.source.down, n.source.stale = false, false
}

func TestWaitingTellsWhy(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 2, 3, t.Fatalf)
	n.source.publish("a-desk", 1)
	n.source.publishBad()
	n.run(30 * time.Second)
	for _, p := range n.proxies {
		is.True(!p.d.Ready())
		is.True(strings.Contains(p.d.Waiting(), "version 2 is refused"))
	}
}

func TestReadyWithoutSourceNamesTheCause(t *testing.T) {
	is := is.New(t)
	n := settled(t, 2, 4)
	n.source.down = true
	n.run(30 * time.Second)
	p := n.proxies[1]
	n.start(p)
	n.run(5 * time.Second)
	is.True(!p.d.Ready())
	is.Equal(p.d.Waiting(), "no fresh answer of the configuration source")
	n.run(10 * time.Second)
	is.True(p.d.Ready())
	is.True(strings.Contains(p.d.ReadyCause(), "no fresh answer"))
}

func TestLoneProxyBecomesReady(t *testing.T) {
	n := newNetwork(1, 1, 1, t.Fatalf)
	n.source.publish("a-desk", 1)
	n.run(10 * time.Second)
	converged(n)
}
