package dist

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

// newConvergedNetwork returns a fleet that enforces version 1 everywhere.
func newConvergedNetwork(t *testing.T, zones, perZone int) *network {
	n := newNetwork(1, zones, perZone, t.Fatalf)
	n.source.publish("a-desk", 1)
	n.run(30 * time.Second)
	requireConverged(n)
	return n
}

// TestChangeIsInForceEverywhereWithinASecond uses zones that are large enough
// to have relays.
func TestChangeIsInForceEverywhereWithinASecond(t *testing.T) {
	n := newNetwork(1, 3, 2*instancesPerRelay+2, t.Fatalf)
	n.sharedView = true
	n.source.publish("a-desk", 1)
	n.run(30 * time.Second)
	requireConverged(n)
	relays := 0
	for _, p := range n.proxies {
		if p.d.Role() == Relay {
			relays++
		}
	}
	is.New(t).Equal(relays, 3*2)
	for rate := range 3 {
		n.source.publish("a-desk", 2+rate)
		n.run(time.Second)
		requireConverged(n)
	}
}

func TestRefusalReachesEveryProxyAndNextVersionPasses(t *testing.T) {
	n := newConvergedNetwork(t, 3, 8)
	n.source.publishInvalid()
	n.run(time.Second)
	for _, p := range n.proxies {
		version, problems := p.d.RefusedVersion()
		if version != 2 || len(problems) == 0 {
			t.Errorf("%s (%v): refused version %d, want 2 with its problems", p.id, p.d.Role(), version)
		}
	}
	n.source.publish("b-stock", 5)
	n.run(time.Second)
	requireConverged(n)
	version, _ := n.proxies[0].d.RefusedVersion()
	is.New(t).Equal(version, uint64(0))
}

// TestRefusalReachesProxyThatMissedIt guards against a refusal that stays
// unknown where its announcement was lost. The announcements are dropped, so
// that it must spread by gossip and anti-entropy pulls.
func TestRefusalReachesProxyThatMissedIt(t *testing.T) {
	n := newConvergedNetwork(t, 3, 8)
	n.source.publishInvalid()
	n.loss = 1
	n.run(2 * time.Second)
	n.loss = 0
	n.run(10 * time.Second)
	for _, p := range n.proxies {
		version, _ := p.d.RefusedVersion()
		is.New(t).Equal(version, uint64(2))
	}
}

func TestConflictingContentIsNotApplied(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 3, 6)
	n.source.publish("a-desk", 2)
	first := n.source.latest()
	n.source.rates["a-desk"] = 9
	m, blobs, err := n.source.directory().Pack(nil, nil)
	is.NoErr(err)
	other, err := config.NewCompiler().Compile(first.Version, m, blobs)
	is.NoErr(err)
	n.source.conflicting = other
	n.source.roots[first.Version] = append(n.source.roots[first.Version], other.Root)
	n.run(20 * time.Second)
	violations := 0
	for _, p := range n.proxies {
		for _, content := range []*config.Snapshot{first, other} {
			n.step(p, Announced{Announcement{From: "p-0-0", Head: headOf(content), Delta: config.Diff(nil, content, nil)}})
		}
		violations += p.violations
		is.Equal(p.enforced.Version, first.Version)
	}
	is.True(violations > 0)
	n.source.publish("b-stock", 7)
	n.run(10 * time.Second)
	requireConverged(n)
}

func TestSourceDownForAnHour(t *testing.T) {
	n := newConvergedNetwork(t, 3, 6)
	n.source.down = true
	before := n.source.calls
	n.runWithTick(time.Second, time.Hour)
	// At most one call per second from each of 6 readers, plus twice the
	// nominal rate of list reads from 18 proxies.
	if calls := n.source.calls - before; calls > 6*3600+18*(3600/10)*2 {
		t.Errorf("%d calls to a source that was down for an hour", calls)
	}
	for i, p := range n.proxies {
		if i%3 == 0 {
			n.start(p)
		}
	}
	n.run(30 * time.Second)
	requireConverged(n)
	n.source.down = false
	n.source.publish("a-desk", 2)
	n.run(20 * time.Second)
	requireConverged(n)
}

func TestZoneWithoutSourceIsServedByOthersAndHandsOver(t *testing.T) {
	n := newConvergedNetwork(t, 3, 8)
	n.sourceCutOff["zone-1"] = true
	n.run(30 * time.Second)
	n.source.publish("a-desk", 2)
	n.run(3 * time.Second)
	requireConverged(n)
	failing := 0
	for _, p := range n.proxies {
		if p.record.SourceFailing {
			is.New(t).Equal(p.zone, "zone-1")
			failing++
		}
	}
	is.New(t).True(failing > 0)
}

func TestRoleDoesNotThrash(t *testing.T) {
	is := is.New(t)
	d := New(Config{ID: "a", AvailabilityZone: "z", Services: []string{"desk"}, WatchWait: testWatchWait, PullTimeout: testPullTimeout, BackoffMin: 1, BackoffMax: 1})
	now := time.Unix(0, 0)
	view := func(state member.State) MembershipChanged {
		records := []member.Record{{ID: "a", AvailabilityZone: "z"}}
		for i := range 6 {
			records = append(records, member.Record{ID: fmt.Sprintf("p%d", i), AvailabilityZone: "z", State: state})
		}
		return MembershipChanged{Records: records}
	}
	d.Step(now, InstancesListed{})
	d.Step(now, view(member.Suspect))
	for range 50 {
		now = now.Add(testTick)
		d.Step(now, Tick{})
	}
	is.Equal(d.Role(), Reader)
	changes := 0
	for i := range 200 {
		now = now.Add(testTick)
		for _, e := range d.Step(now, view(member.State(2*(i/5%2)))) {
			if _, ok := e.(RoleChanged); ok {
				changes++
			}
		}
	}
	is.Equal(changes, 0) // the view flaps every 0.5 s
}

func TestLargeTransfersAreBoundedAndDeferred(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 1, 3)
	var s serveState
	deferred := 0
	var longest time.Duration
	for range 100 {
		if wait := s.admit(n.now, 1<<20); wait > 0 {
			deferred++
			longest = max(longest, wait)
		}
	}
	is.Equal(deferred, 100-maxConcurrentTransfers)
	is.True(longest <= maxRetryAfter)
	is.Equal(s.admit(n.now.Add(longest), 1<<20), time.Duration(0))
	is.Equal(s.admit(n.now, 100), time.Duration(0)) // small transfers are not limited
}

func TestDeferredReceiverComesBackAfterTheWait(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 2, 3)
	p := n.proxies[0]
	var call uint64
	for call == 0 {
		n.now = n.now.Add(testTick)
		for _, e := range p.d.Step(n.now, Tick{}) {
			if pull, ok := e.(Pull); ok {
				call = pull.Call
			}
		}
	}
	p.d.Step(n.now, Pulled{Call: call, From: "p-1-0", Reply: PullReply{Head: Head{Version: 9}, RetryAfterMs: 1500}})
	is.True(p.d.pull.retry.notBefore.Sub(n.now) >= 1500*time.Millisecond)
	is.True(p.d.pull.retry.notBefore.Sub(n.now) <= 3000*time.Millisecond)
}

func TestResumedProxyIgnoresStaleEvents(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 3, 6)
	old := n.source.latest()
	n.source.publish("a-desk", 2)
	n.run(2 * time.Second)
	late := []Event{
		Pulled{Call: 1, From: "p-0-0", Reply: PullReply{Head: headOf(old), Delta: config.Diff(nil, old, nil)}},
		Announced{Announcement{From: "p-0-1", Head: headOf(old), Delta: config.Diff(nil, old, nil)}},
		SourceRead{Version: old.Version, Snapshot: old},
		SourceRead{Version: 1, Refused: config.Problems{{Message: "late"}}},
	}
	for _, p := range n.proxies {
		for _, e := range late {
			n.step(p, e)
			is.Equal(p.d.EnforcedHead().Version, uint64(2))
		}
		refused, _ := p.d.RefusedVersion()
		is.Equal(refused, uint64(0))
	}
}

// TestPullReplyAppliesAfterPush guards against rejecting the reply to a pull
// because a push changed the version held while the pull was in flight.
func TestPullReplyAppliesAfterPush(t *testing.T) {
	is := is.New(t)
	n := newConvergedNetwork(t, 3, 6)
	p := n.proxies[0]
	scope := config.NewScope(p.services...)
	first := n.source.latest()
	n.source.publish("a-desk", 2)
	second := n.source.latest()
	n.source.publish("a-desk", 3)
	third := n.source.latest()
	n.step(p, Announced{Announcement{From: "p-0-1", Head: headOf(second), Delta: config.Diff(first, second, scope)}})
	is.Equal(p.d.EnforcedHead().Version, uint64(2))
	n.step(p, Pulled{From: "p-0-2", Reply: PullReply{Head: headOf(third), Delta: config.Diff(first, third, scope)}})
	is.Equal(p.d.EnforcedHead().Version, uint64(3))
	is.Equal(p.violations, 0)
}
