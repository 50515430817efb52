// Package admission decides beside a backend server which requests it runs,
// in which order, and which are refused before they reach it.
//
// It is a pure state machine: it does no I/O and reads no clock. A refusal by
// this package proves that the request was not run, unless it says unknown.
package admission

import (
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Config sets the parameters of admission.
type Config struct {
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// QueueLength bounds the requests that wait for a slot.
	QueueLength int
}

// Event is an input of the state machine.
type Event interface{ admissionEvent() }

// Events.
type (
	// Arrived is a request that a proxy sent here.
	Arrived struct {
		// ID is unique at this proxy.
		ID uint64
		// Request is unique in the fleet, the same for each attempt.
		Request      string
		Organisation string
		// Key is the caller's idempotency key, empty if it gave none.
		Key         string
		Fingerprint uint64
		Repeatable  bool
		Deadline    time.Time
	}
	// Ended is the outcome of a run.
	Ended struct {
		ID      uint64
		Outcome outcome.Outcome
		Reason  outcome.Reason
	}
	// Abandoned reports that the sender left before the request was run.
	Abandoned struct{ ID uint64 }
	// Leave stops new work for good.
	Leave struct{}
	// Draining is the backend server's own report.
	Draining struct{ Draining bool }
	// Tick passes time.
	Tick struct{}
)

func (Arrived) admissionEvent()   {}
func (Ended) admissionEvent()     {}
func (Abandoned) admissionEvent() {}
func (Leave) admissionEvent()     {}
func (Draining) admissionEvent()  {}
func (Tick) admissionEvent()      {}

// Effect is an output of the state machine.
type Effect interface{ admissionEffect() }

// Effects.
type (
	// Run passes the request to the backend server; the host reports Ended.
	Run struct{ ID uint64 }
	// Refuse answers the sender.
	Refuse struct {
		ID      uint64
		Refusal outcome.Refusal
	}
)

func (Run) admissionEffect()    {}
func (Refuse) admissionEffect() {}

// Admission is the state machine. The zero value is not usable.
type Admission struct {
	cfg      Config
	leaving  bool
	draining bool
	running  map[uint64]Arrived
	queue    []Arrived
	effects  []Effect
}

// New returns an idle state machine.
func New(cfg Config) *Admission {
	return &Admission{cfg: cfg, running: make(map[uint64]Arrived)}
}

// Step applies an event at the given time and returns its effects.
func (a *Admission) Step(now time.Time, e Event) []Effect {
	a.effects = nil
	switch e := e.(type) {
	case Arrived:
		a.arrived(now, e)
	case Ended:
		delete(a.running, e.ID)
	case Abandoned:
		a.abandoned(e.ID)
	case Leave:
		a.leaving = true
	case Draining:
		a.draining = e.Draining
	case Tick:
	}
	a.expire(now)
	a.dispatch()
	return a.effects
}

// InFlight returns the number of requests running and waiting.
func (a *Admission) InFlight() (running, waiting int) {
	return len(a.running), len(a.queue)
}

// Stopped reports whether no new work is taken.
func (a *Admission) Stopped() bool {
	return a.leaving || a.draining
}

func (a *Admission) emit(e Effect) {
	a.effects = append(a.effects, e)
}

func (a *Admission) refuse(id uint64, reason outcome.Reason, status int, retryAfter time.Duration) {
	refusal := outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Status: status, RetryAfter: retryAfter}
	a.emit(Refuse{ID: id, Refusal: refusal})
}

func (a *Admission) arrived(now time.Time, e Arrived) {
	switch {
	case a.Stopped():
		a.refuse(e.ID, outcome.InstanceLeaving, http.StatusServiceUnavailable, time.Second)
	case !now.Before(e.Deadline):
		a.refuse(e.ID, outcome.DeadlineExpired, http.StatusGatewayTimeout, time.Second)
	case len(a.queue) >= a.cfg.QueueLength:
		a.refuse(e.ID, outcome.Overload, http.StatusServiceUnavailable, time.Second)
	default:
		a.queue = append(a.queue, e)
	}
}

func (a *Admission) abandoned(id uint64) {
	delete(a.running, id)
	a.filterQueue(func(e Arrived) bool { return e.ID != id })
}

// expire refuses waiting requests whose deadline has passed.
func (a *Admission) expire(now time.Time) {
	a.filterQueue(func(e Arrived) bool {
		if now.Before(e.Deadline) {
			return true
		}
		a.refuse(e.ID, outcome.DeadlineExpired, http.StatusGatewayTimeout, time.Second)
		return false
	})
}

func (a *Admission) filterQueue(keep func(Arrived) bool) {
	kept := a.queue[:0]
	for _, e := range a.queue {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	clear(a.queue[len(kept):])
	a.queue = kept
}

// dispatch runs waiting requests while slots are free.
func (a *Admission) dispatch() {
	for len(a.queue) > 0 && len(a.running) < a.cfg.Slots {
		e := a.queue[0]
		a.queue = a.queue[1:]
		a.running[e.ID] = e
		a.emit(Run{ID: e.ID})
	}
}
