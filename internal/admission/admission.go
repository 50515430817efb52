// Package admission controls which requests a backend server runs and in which
// order, and refuses the others before they reach it. It runs in the proxy beside
// the backend server.
//
// The package is a pure state machine: it does no I/O and reads no clock. A
// refusal with the outcome NotRun guarantees that the request was not run.
package admission

import (
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/warmup"
)

// Config holds the parameters of admission.
type Config struct {
	// Slots is the maximum number of requests that the backend server runs
	// concurrently. The event Assigned replaces it.
	Slots int
	// QueueLength is the maximum number of requests that wait for a slot.
	QueueLength int
	// OrganisationQueueLength is the maximum number of waiting requests of one
	// organisation, by default half of QueueLength.
	OrganisationQueueLength int
	// Incarnation distinguishes this process of the proxy from earlier ones.
	Incarnation uint64
	// RequestLimit limits the requests kept for duplicate detection and
	// fencing (see Fence), by default to 65536.
	RequestLimit int
	// ClaimKeys makes non-repeatable requests with an idempotency key wait until
	// the effect Claim is answered.
	ClaimKeys bool
	// MinRetryAfter is the minimum retry delay of a refusal, by default one
	// second.
	MinRetryAfter time.Duration
	// ColdTolerance is by how much a cold backend server may receive more than the rate
	// that its service names.
	ColdTolerance warmup.Tolerance
	// EvacuationLimit is the time after the operator's write within which nothing more may
	// be sent to a backend server of an evacuated availability zone, 0 if there is none.
	EvacuationLimit time.Duration
}

const (
	defaultRequestLimit = 1 << 16
	// idleOrganisationRetention is the time after its last use at which an idle
	// organisation is removed, and the interval between two removals.
	idleOrganisationRetention = 10 * time.Second
	defaultMinRetryAfter      = time.Second
	maxRetryAfter             = 10 * time.Second
)

// Admission is the state machine. The zero value is not usable.
type Admission struct {
	cfg         Config
	leaving     bool
	monitor     healthMonitor
	limiter     concurrencyLimiter
	serviceTime serviceTimeEstimator
	crashes     crashDetector
	rate        rateLimiter
	warmUp      warmup.Tracker
	losses      warmup.Losses
	// warmUpState is the state of the latest WarmUpChanged.
	warmUpState warmup.State
	cost        costTracker
	// wakeAt is the time of the latest WakeAt.
	wakeAt time.Time
	// evacuatedSince is when the evacuation of the availability zone became known
	// here, zero if there is none.
	evacuatedSince time.Time
	// departure is set once the backend server has stated that it is about to end.
	departure *departure
	// assigned means that the platform has listed the backend server.
	assigned bool
	// former holds the processes before the present backend server.
	former   formerInstances
	requests *requestTable
	queue    *priorityQueue
	// awaitingClaim holds the requests whose claim is not decided yet.
	awaitingClaim   map[uint64]*request
	waiting         map[uint64]*request
	running         map[uint64]*request
	lastIdleRemoval time.Time
	counters        Counters
	effects         []Effect
}

// New returns an idle state machine.
func New(cfg Config) *Admission {
	if cfg.OrganisationQueueLength == 0 {
		cfg.OrganisationQueueLength = max(1, cfg.QueueLength/2)
	}
	if cfg.MinRetryAfter == 0 {
		cfg.MinRetryAfter = defaultMinRetryAfter
	}
	if cfg.RequestLimit == 0 {
		cfg.RequestLimit = defaultRequestLimit
	}
	return &Admission{
		cfg:           cfg,
		limiter:       newConcurrencyLimiter(cfg.Slots),
		cost:          newCostTracker(),
		requests:      newRequestTable(cfg.RequestLimit),
		queue:         newPriorityQueue(),
		awaitingClaim: make(map[uint64]*request),
		waiting:       make(map[uint64]*request),
		running:       make(map[uint64]*request),
	}
}

// Step applies an event at the given time and returns its effects.
func (a *Admission) Step(now time.Time, e Event) []Effect {
	a.effects = nil
	a.rate.begin(now)
	a.applyWarmUp(now) // it may have ended since the last event
	switch e := e.(type) {
	case Arrived:
		a.handleArrived(now, e)
	case Claimed:
		a.handleClaimed(now, e)
	case Ended:
		a.handleEnded(now, e)
	case Abandoned:
		a.handleAbandoned(now, e.ID)
	case Leave:
		a.leaving = true
	case Assigned:
		a.handleAssigned(now, e)
	case Draining:
		a.monitor.listedAsDraining = e.Draining
	case Evacuated:
		a.handleEvacuated(now, e)
	case Checked:
		a.handleChecked(now, e.Health)
	case Loaded:
		a.monitor.recordLoadReport(now, e.Draining)
		a.limiter.setReportedSlots(now, e.Slots)
	case Reported:
		a.handleReported(now, e)
	case FenceReceived:
		a.handleFence(now, e)
	case ServiceLimited:
		a.handleServiceLimited(now, e)
	case WarmUpListed:
		a.warmUp.Listed(now, e.Left)
	case WarmUpChecked:
		a.handleWarmUpChecked(now, e)
	case MayBeCold:
		a.warmUp.Sign(now, warmup.Source(e.Cause))
	case Tick:
		a.sweep(now)
	}
	a.applyWarmUp(now)
	if a.acceptMode(now) == acceptNone {
		a.refuseAll(now)
	}
	a.expire(now)
	a.dispatch(now)
	a.wakeForToken(now)
	a.askWarmUp(now)
	return a.effects
}

// InFlight returns the number of requests that have not ended: those that run, and
// those that wait for a slot or a claim.
func (a *Admission) InFlight() (running, waiting int) {
	return len(a.running), len(a.waiting) + len(a.awaitingClaim)
}

// RunningFingerprint returns the fingerprint of a request that the backend server
// runs, 0 if there is none.
func (a *Admission) RunningFingerprint(id uint64) uint64 {
	if r, ok := a.running[id]; ok {
		return r.Fingerprint
	}
	return 0
}

func (a *Admission) emit(e Effect) {
	a.effects = append(a.effects, e)
}

// acceptMode returns which new requests are accepted. A leaving instance accepts
// none.
func (a *Admission) acceptMode(now time.Time) acceptMode {
	if a.leaving || a.refusesForEvacuation(now) {
		return acceptNone
	}
	return a.monitor.acceptMode(now)
}

// concurrencyLimit returns the number of requests that may run concurrently.
func (a *Admission) concurrencyLimit(now time.Time) int {
	switch a.acceptMode(now) {
	case acceptAll:
		return a.limiter.current(now)
	case acceptProbes:
		return 1
	default:
		return 0
	}
}

func (a *Admission) handleArrived(now time.Time, e Arrived) {
	a.counters.Arrived++
	if e.Call {
		a.counters.Calls++
	}
	r := &request{Arrived: e, arrivedAt: now}
	a.adoptRateLimit(now, e)
	a.adoptWarmUp(now, e)
	if !e.Repeatable {
		if entry, ok := a.requests.entries[e.Request]; ok && (entry.state != FenceNotRun || entry.inProgress()) {
			a.refuseDuplicate(r, entry.state)
			return
		}
		a.requests.set(now, e.Request, FenceNotRun, e.ID)
	}
	switch {
	// InstanceLeaving is also the reason while the backend server is evacuated, listed
	// as draining, suspended or busy with a probe, or has announced its end.
	case a.acceptMode(now) == acceptNone, a.acceptMode(now) == acceptProbes && len(a.running) > 0, a.departure.concerns(r):
		a.refuse(now, r, outcome.InstanceLeaving)
	case a.former.includes(e.Instance):
		a.refuse(now, r, outcome.InstanceReplaced)
	case !now.Before(e.Deadline):
		a.refuse(now, r, outcome.DeadlineExpired)
	case a.shouldRedirect(now, r):
		a.redirect(now, r)
	case a.rate.limited() && a.exceedsRate(now, r, a.waitingForToken(r)):
		a.refuse(now, r, outcome.BackendServerLimited)
	case a.likelyToMissDeadlineInQueue(now, r), a.missesTargetInSaturatedQueue(now, r):
		a.refuse(now, r, a.overloadReason(now))
	case a.cfg.ClaimKeys && e.Key != "" && !e.Repeatable:
		a.requestClaim(now, r)
	default:
		a.enqueue(now, r)
	}
}

// requestClaim holds a keyed request until its claim is decided. It refuses the
// request if too many others wait for a claim.
func (a *Admission) requestClaim(now time.Time, r *request) {
	if len(a.awaitingClaim) >= a.cfg.QueueLength {
		a.refuse(now, r, outcome.Overload)
		return
	}
	r.claimOpen = true
	a.awaitingClaim[r.ID] = r
	a.emit(Claim{ID: r.ID, Request: r.Request, Organisation: r.Organisation, Key: r.Key})
}

func (a *Admission) handleClaimed(now time.Time, e Claimed) {
	r, ok := a.awaitingClaim[e.ID]
	if !ok {
		return
	}
	delete(a.awaitingClaim, e.ID)
	if e.Granted {
		a.enqueue(now, r)
		return
	}
	r.claimOpen = false
	a.refuseWith(now, r, e.Refusal)
}

// enqueue adds a request to the queue. It then drops one request of the
// organisation if its waiting requests exceed OrganisationQueueLength, and one of
// the least urgent if those of all organisations exceed QueueLength.
func (a *Admission) enqueue(now time.Time, r *request) {
	a.queue.push(now, r)
	a.waiting[r.ID] = r
	if a.queue.waitingOf[r.Organisation] > a.cfg.OrganisationQueueLength {
		a.drop(now, a.queue.evictionCandidate(r, true), a.overloadReason(now))
	}
	if a.queue.len() > a.cfg.QueueLength {
		a.drop(now, a.queue.evictionCandidate(r, false), a.overloadReason(now))
	}
}

// drop removes a waiting request from the queue and refuses it.
func (a *Admission) drop(now time.Time, r *request, reason outcome.Reason) {
	delete(a.waiting, r.ID)
	a.queue.remove(r)
	a.refuse(now, r, reason)
}

// handleAssigned applies the slot count that the platform lists for the backend
// server. A new count applies at once, without slow start, because a cold backend
// server runs as many requests concurrently as a warm one, only more slowly. After
// a replacement or restart of the backend server, the health state and the
// estimates of the previous process are discarded.
func (a *Admission) handleAssigned(now time.Time, e Assigned) {
	if e.Slots != a.cfg.Slots || e.Restarted {
		a.limiter = newConcurrencyLimiter(e.Slots)
		a.limiter.limit = float64(e.Slots)
	}
	a.cfg.Slots = e.Slots
	a.former.update(e.Instance, e.Superseded)
	if e.Restarted {
		a.reportCrash(now, processReplaced)
		a.monitor = healthMonitor{}
		a.serviceTime = serviceTimeEstimator{}
		a.rate.endNamed(now, false)
		a.departure = nil
		if a.assigned {
			a.warmUp.Sign(now, warmup.ObservedStart)
		}
		a.cost = newCostTracker()
	}
	a.assigned = true
}

// dispatch starts waiting requests while slots are free and the rate limit allows.
// It drops or demotes requests that can no longer meet their target, and drops those
// that would probably not be answered before their deadline.
func (a *Admission) dispatch(now time.Time) {
	limit := a.concurrencyLimit(now)
	for a.queue.len() > 0 && len(a.running) < limit {
		r := a.queue.peek(a.serviceTime.mean)
		if a.dropOrDemoteLate(now, r) {
			continue
		}
		if a.likelyToMissDeadline(now, r, 0) {
			a.drop(now, r, a.overloadReason(now))
			continue
		}
		if !a.rate.take(now) {
			return
		}
		a.start(now, a.queue.pop(now, a.serviceTime.mean))
	}
}

func (a *Admission) start(now time.Time, r *request) {
	delete(a.waiting, r.ID)
	a.running[r.ID] = r
	a.counters.Run++
	a.serviceTime.recordStart(now, r.Route)
	if !r.Repeatable {
		a.requests.set(now, r.Request, FenceRunning, 0)
	}
	a.emit(Run{ID: r.ID, SendBy: a.rate.sendBy(now)})
}

// sweep removes expired entries of the request table, idle organisations and, if
// the queue is saturated (see queueSaturated), requests that can no longer meet
// their target.
func (a *Admission) sweep(now time.Time) {
	a.requests.expire(now)
	a.sweepLate(now)
	a.dropBeyondRate(now)
	if now.Sub(a.lastIdleRemoval) >= idleOrganisationRetention {
		a.lastIdleRemoval = now
		a.queue.removeIdle(now.Add(-idleOrganisationRetention))
	}
}

func (a *Admission) handleChecked(now time.Time, h Health) {
	a.monitor.recordCheck(now, h)
	if h == ConnectionRefused {
		a.backendServerDown(now)
	}
}

// refusalStatus returns the HTTP status code for a refusal with the given reason.
func refusalStatus(reason outcome.Reason) int {
	switch reason {
	case outcome.DeadlineExpired:
		return http.StatusGatewayTimeout
	case outcome.DuplicateKey:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}
