package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

func newStartingRouter() *Router {
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	r.Step(start, Tick{})
	return r
}

func startingRequestOf(id uint64, budget time.Duration) Arrived {
	return Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/", Budget: budget}
}

// Requests that reach a process in the half second until its first version are sent as soon
// as it is in force, with the deadline that they had.
func TestRequestsWaitForTheFirstVersion(t *testing.T) {
	is := is.New(t)
	r := newStartingRouter()
	is.Equal(len(r.Step(start.Add(100*time.Millisecond), startingRequestOf(1, 3*time.Second))), 0)
	is.Equal(len(r.Step(start.Add(200*time.Millisecond), startingRequestOf(2, 2*time.Second))), 0)
	is.Equal(len(r.Step(start.Add(300*time.Millisecond), startingRequestOf(3, 3*time.Second))), 0)
	r.Step(start.Add(350*time.Millisecond), Abandoned{ID: 3})
	is.Equal(r.InFlight(), 2)
	ready := start.Add(500 * time.Millisecond)
	r.Step(ready, InstancesChanged{Instances: testInstances("desk", 4)})
	effects := r.Step(ready, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
	is.Equal(len(effects), 2)
	first, second := effects[0].(Send), effects[1].(Send)
	is.Equal(first.ID, uint64(2)) // it has the least time
	is.Equal(first.Deadline, start.Add(1200*time.Millisecond))
	is.Equal(second.Deadline, start.Add(1100*time.Millisecond))
	is.Equal(second.Target, start.Add(500*time.Millisecond))
	is.Equal(r.Stats().WaitedForVersion, uint64(3))
}

// A process that does not get a version is no reason to keep callers waiting: they are told
// in time to try elsewhere or again, and at once when a version is not to be expected.
func TestRequestsDoNotWaitForAVersionThatDoesNotCome(t *testing.T) {
	is := is.New(t)
	r := newStartingRouter()
	r.Step(start, startingRequestOf(1, 400*time.Millisecond))
	r.Step(start, startingRequestOf(2, 10*time.Second))
	is.Equal(len(r.Step(start.Add(90*time.Millisecond), Tick{})), 0)
	for i, at := range []time.Duration{100 * time.Millisecond, startTime} {
		id := uint64(i + 1)
		effects := r.Step(start.Add(at), Tick{})
		is.Equal(len(effects), 1)
		refusal := effects[0].(Refuse)
		is.Equal(refusal.ID, id)
		is.Equal(refusal.Refusal.Reason, outcome.NoVersion)
		is.Equal(refusal.Refusal.Outcome, outcome.NotRun)
		is.True(refusal.Refusal.RetryAfter > 0)
	}
	is.Equal(len(r.Step(start.Add(startTime), startingRequestOf(3, 10*time.Second))), 1)
}

func TestRequestsThatWaitForAVersionAreBounded(t *testing.T) {
	is := is.New(t)
	r := newStartingRouter()
	refused := 0
	for id := range uint64(maxStartingRequests + 10) {
		refused += len(r.Step(start, startingRequestOf(id, time.Minute)))
	}
	is.Equal(refused, 10)
}
