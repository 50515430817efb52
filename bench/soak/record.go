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

// disturbance is a time in which a machine, or all with -1, was not sound.
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

// log is all that callers, backend servers and the operator saw.
type log struct {
	mu           sync.Mutex
	attempts     []*attempt
	runs         []*standin.Run
	versions     []version
	disturbances []*disturbance
	departures   []departure
	// ends are processes that ended otherwise than they should.
	ends []string
}

func (l *log) attempt(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

func (l *log) run(r *standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *log) ended(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, text)
}

func (l *log) departed(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departures = append(l.departures, departure{instance: instance, acked: time.Now()})
}

// disturb notes a disturbance from now on and returns what ends it.
func (l *log) disturb(machine int, k kind) (over func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := &disturbance{machine: machine, kind: k, from: time.Now()}
	l.disturbances = append(l.disturbances, d)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		d.to = time.Now()
	}
}
