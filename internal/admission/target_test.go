package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	testSlots       = 4
	testServiceTime = 100 * time.Millisecond
	// timeToTarget is the time from the arrival of a request to its target.
	timeToTarget = 400 * time.Millisecond
)

// targetHarness drives an Admission whose backend server has taken
// testServiceTime for each request so far.
type targetHarness struct {
	*Admission
	now     time.Time
	lastID  uint64
	started []uint64
}

func newTargetHarness() *targetHarness {
	a := &targetHarness{
		Admission: New(Config{Slots: testSlots, QueueLength: 100, MinRetryAfter: 100 * time.Millisecond}),
		now:       time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC),
	}
	for range 4 * testSlots {
		id, _ := a.arrive(0, 0)
		a.now = a.now.Add(testServiceTime)
		a.end(id)
	}
	a.started = nil
	return a
}

// arrive adds a request with the given priority and patience, and returns its ID
// and its refusal, if any.
func (a *targetHarness) arrive(priority int, patience float64) (uint64, *outcome.Refusal) {
	return a.arriveWithTarget(priority, patience, timeToTarget)
}

func (a *targetHarness) arriveWithTarget(priority int, patience float64, target time.Duration) (uint64, *outcome.Refusal) {
	a.lastID++
	return a.lastID, a.step(Arrived{
		ID: a.lastID, Repeatable: true, Route: "r", Priority: priority, Patience: patience,
		Target: a.now.Add(target), Deadline: a.now.Add(time.Second),
	})
}

// step applies an event and returns the refusal of the request that arrived, if
// any.
func (a *targetHarness) step(e Event) *outcome.Refusal {
	for _, effect := range a.Step(a.now, e) {
		switch effect := effect.(type) {
		case Run:
			a.started = append(a.started, effect.ID)
		case Refuse:
			if arrived, ok := e.(Arrived); ok && arrived.ID == effect.ID {
				return &effect.Refusal
			}
		}
	}
	return nil
}

func (a *targetHarness) end(id uint64) {
	a.step(Ended{ID: id, Outcome: outcome.Answered})
}

// slowDown raises the service time above the target. It leaves a recent run so that
// the estimate is not stale.
func (a *targetHarness) slowDown() {
	for range 40 {
		id, _ := a.arrive(0, 0)
		a.now = a.now.Add(timeToTarget + testServiceTime)
		a.end(id)
	}
	a.arrive(0, 0)
}

// fill adds n requests of low priority, whose senders have no other instance, and
// returns the ID of the first.
func (a *targetHarness) fill(n int) (first uint64) {
	first = a.lastID + 1
	for range n {
		a.arrive(2, 0)
	}
	return first
}

// With uneven load among instances, the sender's queue report is out of date. The
// instance itself must redirect requests that would wait too long.
func TestLongWaitRedirectsRequests(t *testing.T) {
	is := is.New(t)
	a := newTargetHarness()
	_, refusal := a.arrive(2, 0.25)
	is.Equal(refusal, nil) // a slot is free
	a.fill(3 * testSlots)
	_, refusal = a.arrive(2, 0.25)
	is.Equal(refusal.Reason, outcome.InstanceBusy)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.True(refusal.RetryAfter >= testServiceTime)
	_, refusal = a.arrive(2, 0)
	is.Equal(refusal, nil) // its sender has no other instance
}

// When a backend server becomes many times slower, its answers show it late. The
// age of its running requests must show it at once.
func TestStalledBackendServerRedirectsRequests(t *testing.T) {
	is := is.New(t)
	a := newTargetHarness()
	a.fill(2)
	a.now = a.now.Add(slowRunFactor*testServiceTime + time.Millisecond)
	a.arrive(2, 0) // recent, so that the estimate is not stale
	_, refusal := a.arrive(2, 0.25)
	is.Equal(refusal.Reason, outcome.InstanceBusy)
}

// In a large fleet with little load, each backend server runs one or two requests.
// A single long one must not cause the others to be redirected.
func TestOneLongRunIsNoStall(t *testing.T) {
	is := is.New(t)
	a := newTargetHarness()
	a.fill(1)
	a.now = a.now.Add(slowRunFactor*testServiceTime + time.Millisecond)
	a.arrive(2, 0)
	a.end(a.lastID)
	_, refusal := a.arrive(2, 0.25)
	is.Equal(refusal, nil)
}

func TestSlowBackendServerRedirectsRequests(t *testing.T) {
	is := is.New(t)
	a := newTargetHarness()
	a.slowDown()
	_, refusal := a.arrive(2, 0.25)
	is.Equal(refusal.Reason, outcome.InstanceBusy)
	_, refusal = a.arrive(2, 0)
	is.Equal(refusal, nil)
}

// With more requests than slots, those of higher priority run first, and those that
// can still meet their target before late ones.
func TestQueueOrdersByPriorityThenByAttainableTarget(t *testing.T) {
	is := is.New(t)
	a := newTargetHarness()
	running := a.fill(testSlots)
	late, _ := a.arriveWithTarget(2, 0, testServiceTime+10*time.Millisecond)
	inTime, _ := a.arrive(2, 0)
	urgent, _ := a.arrive(1, 0)
	a.now = a.now.Add(20 * time.Millisecond) // the late one can no longer meet its target
	a.started = nil
	for i := range uint64(3) {
		a.end(running + i)
	}
	is.Equal(a.started, []uint64{urgent, inTime, late})
}

// In a saturated queue, a request that would miss its target must be refused at
// once with a retry delay, and not held until its deadline.
func TestSaturatedQueueRefusesLateRequestsAtOnce(t *testing.T) {
	is := is.New(t)
	a := newTargetHarness()
	a.fill(testSlots + 3*testSlots)
	_, refusal := a.arrive(2, 0)
	is.Equal(refusal.Reason, outcome.Overload)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.True(refusal.RetryAfter >= 100*time.Millisecond)
	_, refusal = a.arrive(1, 0)
	is.Equal(refusal, nil) // overtakes those of lower priority
}

// Requests that become late while they wait behind others must be refused on a
// tick, since dispatch only looks at the head of the queue.
func TestTickRefusesLateRequestsBehindOthers(t *testing.T) {
	is := is.New(t)
	a := newTargetHarness()
	a.fill(testSlots + 2*testSlots)
	_, waiting := a.InFlight()
	is.Equal(waiting, 2*testSlots)
	a.now = a.now.Add(timeToTarget)
	a.step(Tick{})
	_, waiting = a.InFlight()
	is.True(waiting < testSlots)
}

// When a whole fleet starts, requests arrive at once. The assigned backend server
// must run requests in all its slots without slow start.
func TestAssignedBackendServerSkipsSlowStart(t *testing.T) {
	is := is.New(t)
	a := &targetHarness{Admission: New(Config{Slots: 10, QueueLength: 100}), now: time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)}
	a.step(Assigned{Slots: testSlots, Restarted: true})
	a.fill(2 * testSlots)
	running, waiting := a.InFlight()
	is.Equal(running, testSlots)
	is.Equal(waiting, testSlots)
}

// Only a run shows that a slow backend server has become fast again, so one request
// must be run once the estimate is stale.
func TestSlowBackendServerIsProbedPeriodically(t *testing.T) {
	is := is.New(t)
	a := newTargetHarness()
	a.slowDown()
	_, refusal := a.arrive(2, 0.25)
	is.True(refusal != nil)
	a.now = a.now.Add(estimateTTL)
	id, refusal := a.arrive(2, 0.25)
	is.Equal(refusal, nil)
	_, refusal = a.arrive(2, 0.25)
	is.True(refusal != nil) // only one request at a time
	a.end(id)
}
