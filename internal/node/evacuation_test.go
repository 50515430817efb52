package node

import (
	"fmt"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

const (
	// evacuationBound is the time after which nothing may be sent to an evacuated zone,
	// and evacuationGoal what callers prefer.
	evacuationBound = 5 * time.Second
	evacuationGoal  = time.Second
	// evacuatedZone is the zone that the tests evacuate.
	evacuatedZone = "z1"
	// probeInterval is the time between two requests of each proxy's callers.
	probeInterval = 50 * time.Millisecond
	runDuration   = 5 * time.Millisecond
)

// evacuationFleet is a fleet whose callers send requests all the time.
type evacuationFleet struct {
	*storeFleet
	nextRequest uint64
	// senders holds the proxy that sent each request.
	senders map[uint64]int
	// sent and run are the latest times at which a request for evacuatedZone was sent by
	// a proxy, and started on a backend server.
	sent, run time.Time
	refused   map[outcome.Reason]int
}

func newEvacuationFleet(seed uint64, n int) *evacuationFleet {
	f := &evacuationFleet{storeFleet: newStoreFleet(seed, n), senders: make(map[uint64]int), refused: make(map[outcome.Reason]int)}
	f.onEffects = func(i int, out Effects) {
		for _, e := range out.Routing {
			f.routed(i, e)
		}
		for _, e := range out.Admission {
			f.decided(i, e)
		}
	}
	for i := range f.nodes {
		f.after(f.jitter(probeInterval), func() { f.probe(i) })
	}
	return f
}

func inEvacuatedZone(i int) bool { return fmt.Sprintf("z%d", i%fleetZones) == evacuatedZone }

// probe lets a caller send a request to proxy i, again and again.
func (f *evacuationFleet) probe(i int) {
	f.after(probeInterval, func() { f.probe(i) })
	f.nextRequest++
	f.senders[f.nextRequest] = i
	f.step(i, f.nodes[i], routing.Arrived{ID: f.nextRequest, Organisation: "a.example", Method: "GET", Path: "/s-0/"})
}

// routed carries a request to the proxy beside the chosen instance.
func (f *evacuationFleet) routed(i int, effect routing.Effect) {
	switch e := effect.(type) {
	case routing.Refuse:
		f.refused[e.Refusal.Reason]++
	case routing.Send:
		var to int
		_, _ = fmt.Sscanf(e.Instance, "i-%d", &to)
		if inEvacuatedZone(to) {
			f.sent = f.now
		}
		if f.nodes[to] == nil {
			f.answerAttempt(i, routing.AttemptEnded{ID: e.ID, Outcome: outcome.NotRun, Reason: outcome.ConnectFailed})
			return
		}
		f.after(fleetDelay, func() {
			f.step(to, f.nodes[to], admission.Arrived{ID: e.ID, Request: fmt.Sprint(e.ID), Repeatable: true, Deadline: e.Deadline, Route: e.Route})
		})
	}
}

// decided handles what the proxy beside backend server i decides.
func (f *evacuationFleet) decided(i int, effect admission.Effect) {
	switch e := effect.(type) {
	case admission.Refuse:
		f.answerAttempt(f.senders[e.ID], routing.AttemptEnded{ID: e.ID, Outcome: outcome.NotRun, Reason: e.Refusal.Reason})
	case admission.Run:
		if inEvacuatedZone(i) {
			f.run = f.now
		}
		f.after(runDuration, func() {
			f.step(i, f.nodes[i], admission.Ended{ID: e.ID, Outcome: outcome.Answered})
			f.answerAttempt(f.senders[e.ID], routing.AttemptEnded{ID: e.ID, Outcome: outcome.Answered, Status: 200, Latency: runDuration})
		})
	}
}

func (f *evacuationFleet) answerAttempt(i int, e routing.AttemptEnded) {
	f.after(fleetDelay, func() { f.step(i, f.nodes[i], e) })
}

// killReaders ends all proxies that followed the store directly until now.
func (f *evacuationFleet) killReaders() {
	for i, at := range f.lastCall {
		if f.now.Sub(at) < 3*time.Second {
			f.nodes[i] = nil
		}
	}
}

// callsDuring lets time pass and returns the calls of the store in it.
func (f *evacuationFleet) callsDuring(d time.Duration) int {
	before := len(f.calls)
	f.pass(d)
	return len(f.calls) - before
}

func (f *evacuationFleet) pass(d time.Duration) { f.virtualTime.run(d) }

// checkEvacuation evacuates a zone after disturb has acted on the fleet, and checks when
// the last request is sent there and runs there.
func checkEvacuation(t *testing.T, n int, limit time.Duration, disturb func(f *evacuationFleet)) {
	t.Helper()
	f := newEvacuationFleet(uint64(n), n)
	f.pass(2 * time.Second)
	calls := f.callsDuring(4 * time.Second)
	if f.now.Sub(f.run) > time.Second {
		t.Fatalf("%d proxies: nothing runs in the zone before", n)
	}
	clear(f.refused)
	disturb(f)
	f.evacuate(evacuatedZone, false)
	ack := f.now
	f.pass(4 * time.Second)
	after := f.callsDuring(4 * time.Second)
	t.Logf("%d proxies: last request sent %v and run %v after the ack; refused %v; %d calls of the store in 4 s before, %d after",
		n, f.sent.Sub(ack), f.run.Sub(ack), f.refused, calls, after)
	if d := max(f.sent.Sub(ack), f.run.Sub(ack)); d >= limit {
		t.Errorf("%d proxies: a request was sent %v after the ack, allowed are %v", n, d, limit)
	}
	f.evacuate(evacuatedZone, true)
	f.pass(3 * time.Second)
	if f.now.Sub(f.run) > time.Second {
		t.Errorf("%d proxies: nothing runs in the zone after the evacuation", n)
	}
}

func TestEvacuationReachesTheFleetInTime(t *testing.T) {
	for _, n := range []int{12, 77, 300} {
		checkEvacuation(t, n, evacuationGoal, func(*evacuationFleet) {})
	}
}

func TestEvacuationReachesAFleetWhoseReadersDie(t *testing.T) {
	for _, n := range []int{77, 300} {
		checkEvacuation(t, n, evacuationBound, func(f *evacuationFleet) { f.killReaders() })
	}
}

// The store turns some machines away, in the evacuated zone and elsewhere, and answers
// the others late. In a large fleet these are machines that others depend on.
func TestEvacuationReachesMachinesThatTheStoreTurnsAway(t *testing.T) {
	for _, n := range []int{12, 77} {
		checkEvacuation(t, n, evacuationBound, func(f *evacuationFleet) {
			f.lateShare, f.lateness = 0.3, 500*time.Millisecond
			cut := 0
			for i, at := range f.lastCall {
				if f.now.Sub(at) < 3*time.Second && cut < 4 {
					f.cutOff[i] = true
					cut++
				}
			}
			f.cutOff[1], f.cutOff[2] = true, true
			f.pass(3 * time.Second)
		})
	}
}

// Versions are published so fast that reads of the newest one replace the watch.
func TestEvacuationInAStormOfVersions(t *testing.T) {
	for _, n := range []int{12, 77} {
		checkEvacuation(t, n, evacuationGoal, func(f *evacuationFleet) {
			version, stop := f.content.version, f.now.Add(6*time.Second)
			var publish func()
			publish = func() {
				version++
				f.publish(version)
				if f.now.Before(stop) {
					f.after(150*time.Millisecond, publish)
				}
			}
			publish()
			f.pass(1234 * time.Millisecond)
		})
	}
}
