package dist

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestVersionSurvivesRestartOfFullReplicas guards against the loss of a version
// when all readers and relays restart at once while the source is down. The
// version is then left only in parts, on the leaves.
func TestVersionSurvivesRestartOfFullReplicas(t *testing.T) {
	n := newConvergedNetwork(t, 3, 6)
	n.source.down = true
	for _, p := range n.proxies {
		if p.d.Role() != Leaf {
			n.start(p)
		}
	}
	waitConverged(n)
}

// TestRestartDoesNotRollBack guards against a rollback when part of the fleet
// restarts while the source may be down or serve an old version: a version that
// was in force everywhere is also the minimum for restarted proxies.
func TestRestartDoesNotRollBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 3, 6, t.Fatalf)
		n.source.publish("a-desk", 1)
		waitConverged(n)
		n.source.setFrozen(true) // a stale source serves version 1
		n.source.frozen = false
		n.minVersion = n.source.publish("a-desk", 2)
		waitConverged(n)
		n.source.frozen = rapid.Bool().Draw(t, "stale")
		n.source.down = rapid.Bool().Draw(t, "down")
		survivor := rapid.IntRange(0, len(n.proxies)-1).Draw(t, "survivor")
		for i, p := range n.proxies {
			if i%6 != survivor%6 && rapid.Bool().Draw(t, "restart") {
				n.start(p)
			}
		}
		if n.source.down && len(lostServices(n)) > 0 {
			requireWaitForSource(t, n)
		}
		waitConverged(n)
	})
}

// lostServices returns the services whose content no proxy enforces any more.
func lostServices(n *network) map[string]bool {
	services := make(map[string]bool)
	for service := range oracle(n.source).Index {
		services[service] = true
	}
	for _, p := range n.proxies {
		if s := p.d.EnforcedSnapshot(); s != nil {
			for service := range s.Sets {
				delete(services, service)
			}
		}
	}
	return services
}

// requireWaitForSource checks that proxies whose services were lost do not
// become ready while the source is down, and then restores the source with the
// latest version.
func requireWaitForSource(t *rapid.T, n *network) {
	lost := lostServices(n)
	n.run(convergenceTimeout)
	for _, p := range n.proxies {
		if slices.ContainsFunc(p.services, func(s string) bool { return lost[s] }) && p.d.Ready() {
			t.Fatalf("%s is ready although content of its services %v is lost", p.id, p.services)
		}
	}
	n.source.down, n.source.frozen = false, false
}

func TestWaitReasonNamesRefusal(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 2, 3, t.Fatalf)
	n.source.publish("a-desk", 1)
	n.source.publishInvalid()
	n.run(30 * time.Second)
	for _, p := range n.proxies {
		is.True(!p.d.Ready())
		is.True(strings.Contains(p.d.WaitReason(), "version 2 is refused"))
	}
}

func TestReadyWithoutSourceNamesTheCause(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 2, 4)
	n.source.down = true
	n.run(30 * time.Second)
	p := n.proxies[1]
	n.start(p)
	n.run(5 * time.Second)
	is.True(!p.d.Ready())
	is.Equal(p.d.WaitReason(), "no fresh answer from the configuration source")
	n.run(10 * time.Second)
	is.True(p.d.Ready())
	is.True(strings.Contains(p.d.ReadyCause(), "no fresh answer"))
}

func TestLoneProxyBecomesReady(t *testing.T) {
	n := newNetwork(1, 1, 1, t.Fatalf)
	n.source.publish("a-desk", 1)
	n.run(10 * time.Second)
	requireConverged(n)
}
