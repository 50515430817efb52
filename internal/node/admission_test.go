package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/routing"
)

// newSingleNode returns the only instance of a service, which has run long enough
// to grant claims of idempotency keys.
func newSingleNode() (*Node, time.Time) {
	n := New(Config{
		Member:    member.Config{Self: member.Record{ID: "a", Service: "s"}, Interval: time.Second},
		Admission: admission.Config{Slots: 4, QueueLength: 10},
	})
	now := epoch
	for range 10 {
		n.Step(now, Tick{})
		now = now.Add(time.Second)
	}
	return n, now
}

func arrival(id uint64, request, key string, fingerprint uint64, now time.Time) admission.Arrived {
	return admission.Arrived{
		ID: id, Request: request, Organisation: "o", Key: key, Fingerprint: fingerprint, Deadline: now.Add(time.Minute),
	}
}

func TestKeyedRequestRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n, now := newSingleNode()
	is.Equal(n.Step(now, arrival(1, "r1", "k", 0, now)).Admission, []admission.Effect{admission.Run{ID: 1}})
	out := n.Step(now, arrival(2, "r2", "k", 0, now))
	for len(out.Admission) == 0 && now.Before(epoch.Add(time.Minute)) {
		now = now.Add(100 * time.Millisecond)
		out = n.Step(now, Tick{})
	}
	refused := out.Admission[0].(admission.Refuse)
	is.Equal(refused.Refusal.Reason, outcome.DuplicateKey)
	is.Equal(refused.Refusal.Outcome, outcome.Unknown)
	n.Step(now, admission.Ended{ID: 1, Outcome: outcome.NotRun, Reason: outcome.BackendServerShed})
	is.Equal(n.Step(now, arrival(3, "r3", "k", 0, now)).Admission, []admission.Effect{admission.Run{ID: 3}}) // the first request did not run
}

// A crash is known to the whole fleet at once, in a fleet with a membership by gossip as
// well. One crash may be chance; after the second one all proxies refuse the request.
func TestCrashingRequestIsQuarantinedFleetWide(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newNetwork(1, 5, 3)
	w.run(75 * time.Second) // a young process refuses the only run of a crashed backend server
	first, second, last := w.proxies["desk-0"], w.proxies["desk-1"], w.proxies["desk-4"]
	crash := func(p *simProxy, id uint64) {
		w.feed(p, arrival(id, "r"+p.id, "", 77, w.now))
		w.feed(p, admission.Ended{ID: id, Outcome: outcome.Unknown, Reason: outcome.BackendServerCrashed})
	}
	crash(first, 1)
	w.run(200 * time.Millisecond)
	for _, p := range w.proxies {
		is.Equal(p.node.quarantine.Known(77), uint32(1))
	}
	is.Equal(last.node.Step(w.now, arrival(4, "r4", "", 77, w.now)).Admission, []admission.Effect{admission.Run{ID: 4}})
	crash(second, 2)
	w.run(200 * time.Millisecond)
	for _, p := range w.proxies {
		entry := p.node.Step(w.now, routing.Arrived{ID: 5, Fingerprint: 77}).Routing[0].(routing.Refuse)
		is.Equal(entry.Refusal.Reason, outcome.Quarantined)
		is.Equal(entry.Refusal.Outcome, outcome.NotRun)
	}
	local := last.node.Step(w.now, arrival(6, "r2", "", 77, w.now)).Admission[0].(admission.Refuse)
	is.Equal(local.Refusal.Reason, outcome.Quarantined)
	is.Equal(last.node.Step(w.now, arrival(7, "r3", "", 78, w.now)).Admission, []admission.Effect{admission.Run{ID: 7}})
}

// A request that waits for a slot while its fingerprint is put in quarantine must not
// run.
func TestWaitingSuspectIsRefusedWhenASlotIsFree(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n, now := newStoreNode("desk-1"), storeStart
	n.Step(now, Tick{})
	n.Step(now, storeListing(t, 7))
	const slots = 9
	arrive := func(id, fingerprint uint64) Effects {
		return n.Step(now, admission.Arrived{ID: id, Repeatable: true, Fingerprint: fingerprint, Deadline: now.Add(time.Second)})
	}
	for id := range uint64(slots) {
		is.Equal(arrive(id+1, 10+id).Admission, []admission.Effect{admission.Run{ID: id + 1}})
	}
	is.Equal(len(arrive(99, 77).Admission), 0) // waits
	n.Step(now, quarantine.Received{Message: quarantine.Message{Evidence: []quarantine.Evidence{{Fingerprint: 77, Crashes: 2}}}})
	out := n.Step(now, admission.Ended{ID: 1, Outcome: outcome.Answered})
	is.Equal(len(out.Admission), 1)
	refused := out.Admission[0].(admission.Refuse)
	is.Equal(refused.ID, uint64(99))
	is.Equal(refused.Refusal.Outcome, outcome.NotRun)
	is.Equal(refused.Refusal.Reason, outcome.Quarantined)
	running, waiting := n.admission.InFlight()
	is.Equal(running+waiting, slots-1)
}

// The proxy beside a crashed backend server may be lost before it has told others; the
// entry proxy that sent the request knows of the crash as well.
func TestEntryProxyCountsCrashesOfItsAttempts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newStoreNode("desk-1")
	n.Step(storeStart, Tick{})
	n.Step(storeStart, storeListing(t, 7))
	for id := range uint64(2) {
		out := n.Step(storeStart, routing.Arrived{ID: id + 1, Organisation: "a.example", Method: "GET", Path: "/a/", Fingerprint: 77})
		is.Equal(out.Routing[0].(routing.Send).KnownCrashes, uint32(id))
		n.Step(storeStart, routing.AttemptEnded{ID: id + 1, Outcome: outcome.Unknown, Reason: outcome.BackendServerCrashed})
	}
	out := n.Step(storeStart, routing.Arrived{ID: 3, Organisation: "a.example", Method: "GET", Path: "/a/", Fingerprint: 77})
	is.Equal(out.Routing[0].(routing.Refuse).Refusal.Reason, outcome.Quarantined)
}
