package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// A machine that has lost power does not answer a connection attempt, which costs a request
// 0.4 s: 44 such machines cost 4,300 requests of 50 proxies that much within 4 s. One that
// refuses the connection costs nothing and may be back soon.
func TestSilentInstanceIsSkippedForLonger(t *testing.T) {
	for took, skipped := range map[time.Duration]time.Duration{400 * time.Millisecond: silentBackoff, 200 * time.Microsecond: unreachableBackoff} {
		is := is.New(t)
		r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
		r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
		r.Step(start, InstancesChanged{Instances: testInstances("desk", 2)})
		first := r.Step(start, Arrived{ID: 1, Organisation: "a.example", Method: "GET", Path: "/a/"})[0].(Send)
		failed := start.Add(took)
		second := r.Step(failed, AttemptEnded{ID: 1, Outcome: outcome.NotRun, Reason: outcome.ConnectFailed})[0].(Send)
		is.True(first.Instance != second.Instance)
		sentTo := func(at time.Duration) (found bool) {
			for id := range uint64(20) {
				send, ok := r.Step(failed.Add(at), Arrived{ID: uint64(at) + id, Organisation: "a.example", Method: "GET", Path: "/a/"})[0].(Send)
				found = found || ok && send.Instance == first.Instance
			}
			return found
		}
		is.True(!sentTo(skipped - time.Millisecond))
		is.True(sentTo(skipped + time.Millisecond))
	}
}

// A proxy that was cut off itself finds all instances silent, and must serve its callers as
// soon as the cut has healed.
func TestSilentInstancesAreTriedIfNoOtherIsLeft(t *testing.T) {
	is := is.New(t)
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", 2)})
	arrived := Arrived{ID: 1, Organisation: "a.example", Method: "GET", Path: "/a/"}
	_, ok := r.Step(start, arrived)[0].(Send)
	is.True(ok)
	now := start.Add(400 * time.Millisecond)
	r.Step(now, AttemptEnded{ID: 1, Outcome: outcome.NotRun, Reason: outcome.ConnectFailed})
	now = now.Add(400 * time.Millisecond)
	_, ok = r.Step(now, AttemptEnded{ID: 1, Outcome: outcome.NotRun, Reason: outcome.ConnectFailed})[0].(Refuse)
	is.True(ok)
	now = now.Add(unreachableBackoff)
	arrived.ID = 2
	_, ok = r.Step(now, arrived)[0].(Send)
	is.True(ok)
}
