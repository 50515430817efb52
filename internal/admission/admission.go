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
	// OrganisationQueueLength bounds those of one organisation; by default
	// it is half of QueueLength.
	OrganisationQueueLength int
	// Incarnation is that of this proxy.
	Incarnation uint64
	// RequestLimit bounds the requests that are remembered.
	RequestLimit int
	// ClaimKeys makes requests with a key wait for a claim.
	ClaimKeys bool
	// MinRetryAfter is the shortest time that a refusal asks for, by default
	// a second.
	MinRetryAfter time.Duration
}

const (
	defaultRequestLimit = 1 << 16
	shareLifetime       = 10 * time.Second
	minRetryAfter       = time.Second
	maxRetryAfter       = 10 * time.Second
)

// Admission is the state machine. The zero value is not usable.
type Admission struct {
	cfg      Config
	leaving  bool
	monitor  monitor
	capacity capacity
	service  serviceTime
	crashes  crashDetector
	requests *requestTable
	queue    *fairQueue
	// pending holds the requests whose claim is not decided.
	pending  map[uint64]*request
	waiting  map[uint64]*request
	running  map[uint64]*request
	swept    time.Time
	counters Counters
	effects  []Effect
}

// New returns an idle state machine.
func New(cfg Config) *Admission {
	if cfg.OrganisationQueueLength == 0 {
		cfg.OrganisationQueueLength = max(1, cfg.QueueLength/2)
	}
	if cfg.MinRetryAfter == 0 {
		cfg.MinRetryAfter = minRetryAfter
	}
	if cfg.RequestLimit == 0 {
		cfg.RequestLimit = defaultRequestLimit
	}
	return &Admission{
		cfg:      cfg,
		capacity: newCapacity(cfg.Slots),
		requests: newRequestTable(cfg.RequestLimit),
		queue:    newFairQueue(),
		pending:  make(map[uint64]*request),
		waiting:  make(map[uint64]*request),
		running:  make(map[uint64]*request),
	}
}

// Step applies an event at the given time and returns its effects.
func (a *Admission) Step(now time.Time, e Event) []Effect {
	a.effects = nil
	switch e := e.(type) {
	case Arrived:
		a.arrived(now, e)
	case Claimed:
		a.claimed(now, e)
	case Ended:
		a.ended(now, e)
	case Abandoned:
		a.abandoned(now, e.ID)
	case Leave:
		a.leaving = true
	case Assigned:
		a.assigned(e)
	case Draining:
		a.monitor.draining = e.Draining
	case Checked:
		a.checked(now, e.Health)
	case Loaded:
		a.monitor.load(now, e.Draining)
		a.capacity.report(now, e.Slots)
	case FenceReceived:
		a.fence(now, e)
	case Tick:
		a.sweep(now)
	}
	if a.access(now) == closed {
		a.refuseAll(now)
	}
	a.expire(now)
	a.dispatch(now)
	return a.effects
}

// InFlight returns the number of requests running and waiting.
func (a *Admission) InFlight() (running, waiting int) {
	return len(a.running), len(a.waiting) + len(a.pending)
}

func (a *Admission) emit(e Effect) {
	a.effects = append(a.effects, e)
}

func (a *Admission) access(now time.Time) access {
	if a.leaving {
		return closed
	}
	return a.monitor.access(now)
}

// limit returns the number of requests that may run at once.
func (a *Admission) limit(now time.Time) int {
	switch a.access(now) {
	case open:
		return a.capacity.current(now)
	case probing:
		return 1
	default:
		return 0
	}
}

func (a *Admission) arrived(now time.Time, e Arrived) {
	a.counters.Arrived++
	r := &request{Arrived: e, arrived: now}
	if !e.Repeatable {
		if known, ok := a.requests.entries[e.Request]; ok && (known.state != FenceNotRun || known.inProgress()) {
			a.refuseKnown(r, known.state)
			return
		}
		a.requests.set(now, e.Request, FenceNotRun, e.ID)
	}
	switch {
	case a.access(now) == closed, a.access(now) == probing && len(a.running) > 0:
		a.refuse(now, r, outcome.InstanceLeaving)
	case !now.Before(e.Deadline):
		a.refuse(now, r, outcome.DeadlineExpired)
	case a.busy(now, r):
		a.turnAway(now, r)
	case a.tooLate(now, r), a.lost(now, r):
		a.refuse(now, r, outcome.Overload)
	case a.cfg.ClaimKeys && e.Key != "" && !e.Repeatable:
		a.claim(now, r)
	default:
		a.enqueue(now, r)
	}
}

// claim asks whether a request with a key may be run.
func (a *Admission) claim(now time.Time, r *request) {
	if len(a.pending) >= a.cfg.QueueLength {
		a.refuse(now, r, outcome.Overload)
		return
	}
	r.claimed = true
	a.pending[r.ID] = r
	a.emit(Claim{ID: r.ID, Request: r.Request, Organisation: r.Organisation, Key: r.Key})
}

func (a *Admission) claimed(now time.Time, e Claimed) {
	r, ok := a.pending[e.ID]
	if !ok {
		return
	}
	delete(a.pending, e.ID)
	if e.Granted {
		a.enqueue(now, r)
		return
	}
	r.claimed = false
	a.refuseWith(now, r, e.Refusal)
}

// enqueue makes a request wait, and drops one if too many wait.
func (a *Admission) enqueue(now time.Time, r *request) {
	r.share = a.queue.share(r.Organisation)
	a.queue.push(now, r)
	a.waiting[r.ID] = r
	if r.share.waiting.Len() > a.cfg.OrganisationQueueLength {
		a.drop(now, r.share.waiting.last(), outcome.Overload)
	}
	if a.queue.len() > a.cfg.QueueLength {
		a.drop(now, a.queue.victim(), outcome.Overload)
	}
}

// drop refuses a waiting request.
func (a *Admission) drop(now time.Time, r *request, reason outcome.Reason) {
	delete(a.waiting, r.ID)
	a.queue.remove(r)
	a.refuse(now, r, reason)
}

// assigned takes the capacity of the backend server beside the proxy. What it
// says of itself counts at once: one that is cold is slow, but has its slots.
func (a *Admission) assigned(e Assigned) {
	if e.Slots != a.cfg.Slots || e.Restarted {
		a.capacity = newCapacity(e.Slots)
		a.capacity.limit = float64(e.Slots)
	}
	a.cfg.Slots = e.Slots
	if e.Restarted {
		a.monitor = monitor{}
		a.service = serviceTime{}
	}
}

// dispatch runs waiting requests while slots are free. Those that would be cut
// at their deadline give way.
func (a *Admission) dispatch(now time.Time) {
	limit := a.limit(now)
	for a.queue.len() > 0 && len(a.running) < limit {
		r := a.queue.next()
		if a.sortLate(now, r) {
			continue
		}
		if a.hopeless(now, r, 0) {
			a.drop(now, r, outcome.Overload)
			continue
		}
		a.run(now, a.queue.pop(now, a.service.mean))
	}
}

func (a *Admission) run(now time.Time, r *request) {
	delete(a.waiting, r.ID)
	a.running[r.ID] = r
	a.counters.Run++
	a.service.begin(now, r.Route)
	if !r.Repeatable {
		a.requests.set(now, r.Request, FenceRunning, 0)
	}
	a.emit(Run{ID: r.ID})
}

// sweep drops state that is not needed any more.
func (a *Admission) sweep(now time.Time) {
	a.requests.expire(now)
	a.sweepLate(now)
	if now.Sub(a.swept) >= shareLifetime {
		a.swept = now
		a.queue.forget(now.Add(-shareLifetime))
	}
}

func (a *Admission) checked(now time.Time, h Health) {
	a.monitor.check(now, h)
	if h == Unreachable {
		a.backendServerDown(now)
	}
}

// refusalStatus is the HTTP status code of a refusal.
func refusalStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.DeadlineExpired:
		return http.StatusGatewayTimeout
	case outcome.Duplicate:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}
