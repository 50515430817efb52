package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/outcome"
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

func TestCrashingRequestIsQuarantinedFleetWide(t *testing.T) {
	is := is.New(t)
	w := newNetwork(1, 5, 3)
	w.run(15 * time.Second)
	first, last := w.proxies["desk-0"], w.proxies["desk-4"]
	w.feed(first, arrival(1, "r1", "", 77, w.now))
	w.feed(first, admission.Ended{ID: 1, Outcome: outcome.Unknown, Reason: outcome.BackendServerCrashed})
	w.run(5 * time.Second)
	entry := last.node.Step(w.now, routing.Arrived{ID: 5, Fingerprint: 77}).Routing[0].(routing.Refuse)
	is.Equal(entry.Refusal.Reason, outcome.Quarantined)
	local := last.node.Step(w.now, arrival(6, "r2", "", 77, w.now)).Admission[0].(admission.Refuse)
	is.Equal(local.Refusal.Reason, outcome.Quarantined)
	is.Equal(last.node.Step(w.now, arrival(7, "r3", "", 78, w.now)).Admission, []admission.Effect{admission.Run{ID: 7}})
}
