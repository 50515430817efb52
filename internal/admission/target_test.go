package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	targetSlots   = 4
	targetService = 100 * time.Millisecond
	targetTime    = 400 * time.Millisecond
)

// targeted is an admission whose backend server has taken targetService for
// each request so far.
type targeted struct {
	*Admission
	now  time.Time
	next uint64
	ran  []uint64
}

func newTargeted() *targeted {
	a := &targeted{
		Admission: New(Config{Slots: targetSlots, QueueLength: 100, MinRetryAfter: 100 * time.Millisecond}),
		now:       time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC),
	}
	for range 4 * targetSlots {
		id, _ := a.arrive(0, 0)
		a.now = a.now.Add(targetService)
		a.end(id)
	}
	a.ran = nil
	return a
}

// arrive adds a request of the priority and returns its refusal, if it got one.
func (a *targeted) arrive(priority int, patience float64) (uint64, *outcome.Refusal) {
	return a.arriveLeft(priority, patience, targetTime)
}

func (a *targeted) arriveLeft(priority int, patience float64, target time.Duration) (uint64, *outcome.Refusal) {
	a.next++
	return a.next, a.take(Arrived{
		ID: a.next, Repeatable: true, Route: "r", Priority: priority, Patience: patience,
		Target: a.now.Add(target), Deadline: a.now.Add(time.Second),
	})
}

func (a *targeted) take(e Event) *outcome.Refusal {
	for _, effect := range a.Step(a.now, e) {
		switch effect := effect.(type) {
		case Run:
			a.ran = append(a.ran, effect.ID)
		case Refuse:
			if arrived, ok := e.(Arrived); ok && arrived.ID == effect.ID {
				return &effect.Refusal
			}
		}
	}
	return nil
}

func (a *targeted) end(id uint64) {
	a.take(Ended{ID: id, Outcome: outcome.Answered})
}

// turnSlow makes the backend server take longer than the target, and leaves a
// recent run, so that the estimate is not stale.
func (a *targeted) turnSlow() {
	for range 40 {
		id, _ := a.arrive(0, 0)
		a.now = a.now.Add(targetTime + targetService)
		a.end(id)
	}
	a.arrive(0, 0)
}

// fill makes n requests run or wait.
func (a *targeted) fill(n int) (first uint64) {
	first = a.next + 1
	for range n {
		a.arrive(2, 0)
	}
	return first
}

// Replays load that is uneven among instances: the entry's report of the queue
// is old, so the instance itself turns patient requests away.
func TestLongWaitTurnsPatientRequestsAway(t *testing.T) {
	is := is.New(t)
	a := newTargeted()
	_, refusal := a.arrive(2, 0.25)
	is.Equal(refusal, nil) // a slot is free
	a.fill(3 * targetSlots)
	_, refusal = a.arrive(2, 0.25)
	is.Equal(refusal.Reason, outcome.Busy)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.True(refusal.RetryAfter >= targetService)
	_, refusal = a.arrive(2, 0)
	is.Equal(refusal, nil) // its sender has no other instance
}

// Replays a backend server that turns many times slower: its answers tell that
// late, the ages of its runs at once.
func TestStalledBackendServerTurnsPatientRequestsAway(t *testing.T) {
	is := is.New(t)
	a := newTargeted()
	a.fill(2)
	a.now = a.now.Add(stallFactor*targetService + time.Millisecond)
	a.arrive(2, 0) // recent, so that the estimate is not stale
	_, refusal := a.arrive(2, 0.25)
	is.Equal(refusal.Reason, outcome.Busy)
}

// Replays a large fleet with little load, where each backend server runs one or
// two requests: a long one must not turn the others away.
func TestOneLongRunDoesNotStallABackendServer(t *testing.T) {
	is := is.New(t)
	a := newTargeted()
	a.fill(1)
	a.now = a.now.Add(stallFactor*targetService + time.Millisecond)
	a.arrive(2, 0)
	a.end(a.next)
	_, refusal := a.arrive(2, 0.25)
	is.Equal(refusal, nil)
}

func TestSlowBackendServerTurnsPatientRequestsAway(t *testing.T) {
	is := is.New(t)
	a := newTargeted()
	a.turnSlow()
	_, refusal := a.arrive(2, 0.25)
	is.Equal(refusal.Reason, outcome.Busy)
	_, refusal = a.arrive(2, 0)
	is.Equal(refusal, nil)
}

// Replays more work than slots: the higher priority runs first, and what can
// still be in time before what is late.
func TestQueueServesPriorityThenWhatCanBeInTime(t *testing.T) {
	is := is.New(t)
	a := newTargeted()
	running := a.fill(targetSlots)
	late, _ := a.arriveLeft(2, 0, targetService+10*time.Millisecond)
	inTime, _ := a.arrive(2, 0)
	urgent, _ := a.arrive(1, 0)
	a.now = a.now.Add(20 * time.Millisecond) // the first can no longer be in time
	a.ran = nil
	for i := range uint64(3) {
		a.end(running + i)
	}
	is.Equal(a.ran, []uint64{urgent, inTime, late})
}

// Replays a crowded queue: a request that would be late is refused at once, not
// held until its deadline, and told when to come back.
func TestCrowdedQueueRefusesLateRequestsAtOnce(t *testing.T) {
	is := is.New(t)
	a := newTargeted()
	a.fill(targetSlots + 3*targetSlots)
	_, refusal := a.arrive(2, 0)
	is.Equal(refusal.Reason, outcome.Overload)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.True(refusal.RetryAfter >= 100*time.Millisecond)
	_, refusal = a.arrive(1, 0)
	is.Equal(refusal, nil) // overtakes those of lower priority
}

func TestLateRequestsBehindOthersAreSweptOut(t *testing.T) {
	is := is.New(t)
	a := newTargeted()
	a.fill(targetSlots + 2*targetSlots)
	_, waiting := a.InFlight()
	is.Equal(waiting, 2*targetSlots)
	a.now = a.now.Add(targetTime)
	a.take(Tick{})
	_, waiting = a.InFlight()
	is.True(waiting < targetSlots)
}

// Replays the start of a whole fleet: callers are there at once, and the
// backend server has all its slots.
func TestAssignedBackendServerHasAllItsSlotsAtOnce(t *testing.T) {
	is := is.New(t)
	a := &targeted{Admission: New(Config{Slots: 10, QueueLength: 100}), now: time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)}
	a.take(Assigned{Slots: targetSlots, Restarted: true})
	a.fill(2 * targetSlots)
	running, waiting := a.InFlight()
	is.Equal(running, targetSlots)
	is.Equal(waiting, targetSlots)
}

// Replays a backend server that is fast again: nothing but a run can show it.
func TestSlowBackendServerIsTriedNowAndThen(t *testing.T) {
	is := is.New(t)
	a := newTargeted()
	a.turnSlow()
	_, refusal := a.arrive(2, 0.25)
	is.True(refusal != nil)
	a.now = a.now.Add(probeInterval)
	id, refusal := a.arrive(2, 0.25)
	is.Equal(refusal, nil)
	_, refusal = a.arrive(2, 0.25)
	is.True(refusal != nil) // one at a time
	a.end(id)
}
