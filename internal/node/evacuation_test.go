package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

const (
	// evacuationBound is the time after which nothing may be sent to an evacuated zone,
	// and evacuationGoal what callers prefer.
	evacuationBound = 5 * time.Second
	evacuationGoal  = time.Second
	// evacuationPrompt is less than the wait of a request to a reader, which answers it at once.
	evacuationPrompt = 500 * time.Millisecond
	// evacuatedZone is the zone that the tests evacuate.
	evacuatedZone = "z1"
)

// storeWatchWait returns the longest wait of a watch in a fleet of n proxies, after which
// it is repeated.
func storeWatchWait(n int) time.Duration {
	if n < 24 {
		return 2000 * time.Millisecond
	}
	return 2200 * time.Millisecond
}

// evacuationFleet is a fleet in which callers send requests to each proxy all the time.
type evacuationFleet struct {
	*storeFleet
	requests uint64
	// sent is the latest time at which a request was sent to evacuatedZone.
	sent time.Time
}

func newEvacuationFleet(n int) *evacuationFleet {
	f := &evacuationFleet{storeFleet: newStoreFleet(uint64(n), n)}
	f.onEffects = func(i int, out Effects) {
		for _, e := range out.Routing {
			if send, ok := e.(routing.Send); ok {
				var to int
				_, _ = fmt.Sscanf(send.Instance, "i-%d", &to)
				if fmt.Sprintf("z%d", to%fleetZones) == evacuatedZone {
					f.sent = f.now
				}
				ended := routing.AttemptEnded{ID: send.ID, Outcome: outcome.Answered, Status: 200, Latency: 4 * fleetDelay}
				f.after(4*fleetDelay, func() { f.step(i, f.nodes[i], ended) })
			}
		}
	}
	for i := range f.nodes {
		f.after(f.jitter(testTickInterval), func() { f.request(i) })
	}
	f.run(2 * time.Second)
	return f
}

// request lets a caller send a request to proxy i, again and again.
func (f *evacuationFleet) request(i int) {
	f.after(testTickInterval, func() { f.request(i) })
	f.requests++
	f.step(i, f.nodes[i], routing.Arrived{ID: f.requests, Organisation: "a.example", Method: "GET", Path: "/s-0/"})
}

// readers returns the proxies that follow the store directly.
func (f *evacuationFleet) readers() (list []int) {
	for i := range f.nodes {
		if at, ok := f.lastCall[i]; ok && f.now.Sub(at) < 3*time.Second {
			list = append(list, i)
		}
	}
	return list
}

// callsDuring lets time pass and returns the number of calls of the store in it.
func (f *evacuationFleet) callsDuring(d time.Duration) int {
	before := len(f.calls)
	f.run(d)
	return len(f.calls) - before
}

func TestEvacuationReachesTheFleetInTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		sizes   []int
		limit   time.Duration
		disturb func(f *evacuationFleet)
	}{
		{"no faults", []int{12, 77, 300}, evacuationPrompt, func(*evacuationFleet) {}},
		{"all readers are killed", []int{77, 300}, evacuationBound, func(f *evacuationFleet) {
			for _, i := range f.readers() {
				f.nodes[i] = nil
			}
		}},
		{"the store turns readers and two zones away and answers late", []int{12, 77}, evacuationBound, func(f *evacuationFleet) {
			f.lateShare, f.lateness = 0.3, 500*time.Millisecond
			for _, i := range f.readers()[:4] {
				f.cutOff[i] = true
			}
			for i := range f.nodes {
				f.cutOff[i] = f.cutOff[i] || i%fleetZones == 1 || i%fleetZones == 4
			}
			f.run(3 * time.Second)
		}},
		{"reads of the newest version replace the watch", []int{12, 77}, evacuationGoal, func(f *evacuationFleet) {
			for version := range uint64(24) {
				f.after(time.Duration(version)*150*time.Millisecond, func() { f.publish(6 + version) })
			}
			f.run(1234 * time.Millisecond)
		}},
	} {
		for _, n := range c.sizes {
			f := newEvacuationFleet(n)
			calls := f.callsDuring(3 * storeWatchWait(n))
			if f.now.Sub(f.sent) > time.Second {
				t.Fatalf("%s, %d proxies: nothing is sent to the zone before", c.name, n)
			}
			f.run(f.jitter(storeWatchWait(n))) // at any phase of the watches
			c.disturb(f)
			f.evacuate(evacuatedZone, false)
			ack := f.now
			f.run(6 * time.Second)
			after := f.callsDuring(3 * storeWatchWait(n))
			t.Logf("%s, %d proxies: last request sent %v after the ack; %d calls of the store before, %d after", c.name, n, f.sent.Sub(ack), calls, after)
			if f.sent.Sub(ack) >= c.limit || c.limit < evacuationBound && after > calls+calls/10 {
				t.Errorf("%s, %d proxies: the last request or the calls are out of bounds", c.name, n)
			}
			f.evacuate(evacuatedZone, true)
			f.run(c.limit + 2*time.Second)
			if f.now.Sub(f.sent) > time.Second {
				t.Errorf("%s, %d proxies: nothing is sent to the zone after the evacuation", c.name, n)
			}
		}
	}
}

// The store is restored from copies without the evacuation, and proxies start meanwhile.
// Nothing may be sent to the zone; that of another zone, which has ended, stays ended.
func TestEvacuationHoldsBesideRestorationsAndRestarts(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 77} {
		f := newEvacuationFleet(n)
		older := f.content.clone()
		f.evacuate("z2", false)
		f.run(time.Second)
		f.evacuate(evacuatedZone, false)
		f.run(evacuationGoal)
		ack := f.now
		f.compact()
		f.evacuate("z2", true)
		f.run(time.Second)
		for range 2 {
			f.down = true
			f.run(300 * time.Millisecond)
			f.restore(older)
			f.down = false
			for _, i := range []int{1, 3, 8} {
				f.start(i)
				f.run(f.jitter(2 * time.Second))
			}
		}
		f.evacuate(evacuatedZone, false) // written again
		f.publish(6)
		f.run(12 * time.Second)
		if f.sent.After(ack) {
			t.Errorf("%d proxies: a request was sent %v after the evacuation", n, f.sent.Sub(ack))
		}
		for i, node := range f.nodes {
			if e := node.EvacuationStats().Evacuations; len(e) != 1 || e[0].Zone != evacuatedZone {
				t.Errorf("%d proxies: %s holds %v", n, f.id(i), e)
			}
		}
	}
}

func TestEvacuationOfTheOnlyZoneIsVisible(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n, now := newStoreNode("desk-1"), storeStart
	n.Step(now, Tick{})
	n.Step(now, storeListing(t, 7))
	change := func(revision uint64, ended bool) []JournalEntry {
		return n.Step(now, StoreChanged{Changes: source.Changes{Revision: revision, Evacuations: []source.Evacuation{{Zone: "tanga", Revision: revision, Ended: ended}}}}).Journal
	}
	journal := change(6, false)
	is.Equal(len(journal), 1)
	is.Equal(journal[0].What, "availability zone evacuated")
	is.Equal(journal[0].Cause, "zone tanga, revision 6, since 2026-01-01T04:00:00Z")
	is.Equal(n.Status().Evacuation.Evacuations[0].Zone, "tanga")
	arrived := routing.Arrived{ID: 1, Organisation: "a.example", Method: "GET", Path: "/a/"}
	is.Equal(n.Step(now, arrived).Routing[0].(routing.Refuse).Refusal.Reason, outcome.Evacuated)
	now = now.Add(time.Second) // beyond the grace
	forwarded := admission.Arrived{ID: 1, Repeatable: true, Deadline: now.Add(time.Second)}
	is.Equal(n.Step(now, forwarded).Admission[0].(admission.Refuse).Refusal.Reason, outcome.InstanceLeaving)
	journal = change(7, true)
	is.Equal(journal[0].What, "evacuation ended")
	is.Equal(n.Step(now, forwarded).Admission[0], admission.Run{ID: 1})
	_, ok := n.Step(now, arrived).Routing[0].(routing.Send)
	is.True(ok)
}

// With an evacuation limit of 2 s, backend servers were sent requests after it: their
// proxies learned late of the evacuation, beside a reader that did not respond, and then
// admitted requests for half a second more.
func TestEvacuatedZoneAdmitsNothingPastAShortLimit(t *testing.T) {
	t.Parallel()
	const limit = 2 * time.Second
	const sendDelay = 250 * time.Millisecond // from the admission of a request until it is sent
	for phase := time.Duration(0); phase < 800*time.Millisecond; phase += 100 * time.Millisecond {
		f := newEvacuationFleet(77)
		f.evacuationLimit = limit
		for i := range f.nodes {
			f.start(i)
		}
		f.run(5*time.Second + phase)
		for _, i := range f.readers() {
			if fmt.Sprintf("z%d", i%fleetZones) == evacuatedZone {
				f.nodes[i] = nil
				break
			}
		}
		f.evacuate(evacuatedZone, false)
		f.run(limit - sendDelay)
		for i, n := range f.nodes {
			if n == nil || fmt.Sprintf("z%d", i%fleetZones) != evacuatedZone {
				continue
			}
			f.requests++
			request := admission.Arrived{ID: f.requests, Repeatable: true, Deadline: f.now.Add(time.Second)}
			for _, e := range n.Step(f.now, request).Admission {
				if _, runs := e.(admission.Run); runs {
					t.Errorf("phase %v: %s still admits a request %v after the write", phase, f.id(i), limit-sendDelay)
				}
			}
		}
	}
}
