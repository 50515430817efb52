package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/warmup"
)

// coldRouter returns a router whose instances for which cold is true are cold until the
// time. Without a warm-up rate the service names none.
func coldRouter(n int, perSecond float64, until time.Time, cold func(i int) bool) *Router {
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1, ColdTolerance: warmup.Tolerance{Over: 1.5, Slack: 8}})
	s := testSnapshot(1, testSlice("acme", "desk")).WithServices(map[string]config.ServiceLimits{"desk": {WarmUpPerSecond: perSecond}})
	r.Step(start, SnapshotEnforced{Snapshot: s})
	list := testInstances("desk", n)
	for i := range list {
		if cold(i) {
			list[i].ColdUntil = until
		}
	}
	r.Step(start, InstancesChanged{Instances: list})
	return r
}

// sendsOf sends requests one after the other, which take 100 ms at cold instances and
// 50 ms at others, and returns the number that each instance got.
func sendsOf(r *Router, now time.Time, requests int) map[string]int {
	sends := make(map[string]int)
	for id := range uint64(requests) {
		s, ok := onlySend(r.Step(now, read(id)))
		if !ok {
			continue
		}
		sends[s.Instance]++
		latency := 50 * time.Millisecond
		if r.instances[s.Instance].cold(now) {
			latency *= 2
		}
		r.Step(now, answered(id, latency))
	}
	return sends
}

// Guards against a cold instance that gets nothing, as by its score, or a full share.
func TestColdInstanceGetsAShareThatFitsItsRate(t *testing.T) {
	is := is.New(t)
	until := start.Add(3 * time.Second)
	first := func(i int) bool { return i == 0 }
	r := coldRouter(8, 14, until, first) // four are local
	share := r.instances["desk-00"].coldShare(start)
	sends := sendsOf(r, start, 4000)
	t.Logf("share %.2f then %.2f, sends %v", share, r.instances["desk-00"].coldShare(start), sends)
	is.True(sends["desk-00"] >= 50 && sends["desk-00"] <= 200) // about a tenth of the 1,000 of a warm one
	is.True(sendsOf(r, until, 4000)["desk-00"] >= 500)
	is.True(sendsOf(coldRouter(8, 0, until, first), start, 4000)["desk-00"] >= 500) // no warm-up is named
}

// A zone that is cold as a whole keeps its share, and the rest goes to the others; if all
// instances are cold, all of the local ones are used.
func TestColdZoneGetsItsShare(t *testing.T) {
	is := is.New(t)
	until := start.Add(3 * time.Second)
	local := 0
	for id, n := range sendsOf(coldRouter(8, 14, until, func(i int) bool { return i%2 == 0 }), start, 4000) {
		if id == "desk-00" || id == "desk-02" || id == "desk-04" || id == "desk-06" {
			local += n
			is.True(n > 0)
		}
	}
	is.True(local >= 400 && local <= 1200)
	is.Equal(len(sendsOf(coldRouter(8, 14, until, func(int) bool { return true }), start, 4000)), 4)
}

// Guards against instances that stay out of use after their warm-up, for up to the 15 s of
// a limit that is named.
func TestBackoffAfterRefusalsByAWarmUpIsShort(t *testing.T) {
	is := is.New(t)
	r := coldRouter(1, 14, start.Add(3*time.Second), func(int) bool { return true })
	now := start
	for id := range uint64(8) {
		now = now.Add(time.Second)
		r.Step(now, read(id))
		r.Step(now, AttemptEnded{ID: id, Outcome: outcome.NotRun, Reason: outcome.BackendServerLimited, RetryAfter: time.Second})
	}
	is.Equal(r.instances["desk-00"].state(now.Add(maxColdBackoff), &config.Group{Service: "desk"}), Usable)
}
