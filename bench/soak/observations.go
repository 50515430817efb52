package main

import (
	"sync"
	"sync/atomic"
	"time"

	"heatherlift.example/heatherlift/platform/standin"
)

// attemptResult is how an attempt of a caller ended.
type attemptResult int

const (
	// answered means that a complete answer arrived.
	answered attemptResult = iota
	// connectionClosed means that the connection ended without a complete answer to
	// the request.
	connectionClosed
	// answerNotRead means that the connection failed or was to be closed with the
	// answer to an earlier request of the batch.
	answerNotRead
	// sendFailed means that the request could not be written to the connection.
	sendFailed
	// timedOut means that no answer arrived within the deadline plus
	// answerTimeoutMargin, counted from when the caller began to read it.
	timedOut
	// abandoned means that the caller left after half of the body.
	abandoned
)

// attempt is one request of a caller.
type attempt struct {
	standin.Request
	machine int
	// startsWhenSent and startsWhenEnded are the numbers of starts of the machine's
	// proxy when the attempt was sent and when it ended. If they are equal, one
	// proxy process handled it.
	startsWhenSent, startsWhenEnded int
	// service is the service of the machine, on whose behalf the caller sends.
	service string
	// run is the run of a backend server that sent this request as a call, nil for
	// requests of callers.
	run *standin.Arrival
	// repeats is how often its caller had sent the same request before.
	repeats int
	// slowReader means that the caller reads the response so slowly that it may be cut
	// off.
	slowReader bool
	// behind means that it was sent behind another request on its connection, cutBehind
	// that the proxy ended the connection before it could be answered.
	behind, cutBehind bool
	// written is when the whole request was written.
	sent, written, ended time.Time
	result               attemptResult
	// err is why the connection failed.
	err    error
	answer standin.Response
}

// version is a published configuration version.
type version struct {
	number uint64
	// movedService is the service to which the route of movedPath leads.
	movedService string
	// sent is when the publication began, acked when the store acknowledged it.
	sent, acked time.Time
}

// Values that stand in place of the index of a machine.
const (
	// sharedComponents stands for what all machines share, such as the store.
	sharedComponents = -1
	// anyComponent matches every machine and the shared components.
	anyComponent = -2
)

// disturbance is a period in which a fault or planned operation affected a machine
// or the shared components. A zero to means that it has not ended.
type disturbance struct {
	machine  int
	kind     kind
	from, to time.Time
}

// departure is the store's acknowledgement that an instance leaves or is removed.
type departure struct {
	instance string
	acked    time.Time
}

// limitChange is a change of the rate limit that a backend server names, in requests per
// second. A limit that ends or rises counts from then on, any other from the first
// response that names it.
type limitChange struct {
	process   string
	at        time.Time
	limited   bool
	perSecond float64
}

// observations are what callers and backend servers observed in a run, with the
// published versions and the disturbances. Its methods are safe for concurrent use.
type observations struct {
	mu sync.Mutex
	// grace is the grace period of the proxies.
	grace        time.Duration
	attempts     []*attempt
	arrivals     []*standin.Arrival
	versions     []version
	disturbances []*disturbance
	departures   []departure
	limits       []limitChange
	cold         []coldPeriod
	evacuations  []*evacuation
	// memory is the highest memory of each proxy in bytes.
	memory map[string]int64
	// refused counts the connections that callers could not open.
	refused atomic.Int64
	// failures describes unexpected exits, unclean stops and failed starts.
	failures []string
}

func (o *observations) recordAttempt(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts = append(o.attempts, a)
}

func (o *observations) recordArrival(r *standin.Arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.arrivals = append(o.arrivals, r)
}

func (o *observations) recordFailure(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = append(o.failures, text)
}

func (o *observations) recordDeparture(instance string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.departures = append(o.departures, departure{instance: instance, acked: time.Now()})
}

func (o *observations) recordLimit(l limitChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.limits = append(o.limits, l)
}

func (o *observations) recordCold(p coldPeriod) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cold = append(o.cold, p)
}

// recordDisturbance records a disturbance that starts now and returns a function
// that ends it.
func (o *observations) recordDisturbance(machine int, k kind) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := &disturbance{machine: machine, kind: k, from: time.Now()}
	o.disturbances = append(o.disturbances, d)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		d.to = time.Now()
	}
}
