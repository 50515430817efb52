package main

import (
	"sync"
	"time"

	"heatherlift.example/heatherlift/platform/standin"
)

// end tells how an attempt of a caller ended.
type end int

const (
	// answered: an answer came whole.
	answered end = iota
	// closed: the connection ended without an answer to the request.
	closed
	// behind: it ended, and the request was behind another one without answer.
	behind
	// notConnected: no connection could be opened, or nothing was written.
	notConnected
	// timedOut: no answer came within the caller's patience.
	timedOut
)

// attempt is one request of a caller.
type attempt struct {
	standin.Request
	machine int
	// boot counts the starts of the machine's proxy before it was sent; bootEnd
	// those before it ended.
	boot, bootEnd int
	service       string
	sent, ended   time.Time
	end           end
	answer        standin.Answer
}

// version is a configuration that was published.
type version struct {
	number uint64
	// moved is the service of the route that moves.
	moved       string
	sent, acked time.Time
}

// Values of disturbance.machine besides the numbers of machines.
const (
	// shared stands for what all machines share.
	shared = -1
	// anything stands for every machine and what they share.
	anything = -2
)

// disturbance is a time in which a machine, or what all share, was not sound.
type disturbance struct {
	machine  int
	kind     kind
	from, to time.Time
}

// departure is the ack that an instance leaves.
type departure struct {
	instance string
	acked    time.Time
}

// observations are all that callers, backend servers and the operator saw.
type observations struct {
	mu           sync.Mutex
	attempts     []*attempt
	runs         []*standin.Run
	versions     []version
	disturbances []*disturbance
	departures   []departure
	// ends are processes that ended otherwise than they should.
	ends []string
}

func (o *observations) attempt(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempts = append(o.attempts, a)
}

func (o *observations) run(r *standin.Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs = append(o.runs, r)
}

func (o *observations) ended(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ends = append(o.ends, text)
}

func (o *observations) departed(instance string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.departures = append(o.departures, departure{instance: instance, acked: time.Now()})
}

// disturb notes a disturbance from now on and returns what ends it.
func (o *observations) disturb(machine int, k kind) (over func()) {
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
