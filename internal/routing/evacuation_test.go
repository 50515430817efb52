package routing

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

// evacuate passes the instances of newTestRouter on, with those of the zones evacuated.
func evacuate(r *Router, n int, zones ...string) {
	list := testInstances("desk", n)
	for i := range list {
		for _, zone := range zones {
			list[i].Evacuated = list[i].Evacuated || list[i].AvailabilityZone == zone
		}
	}
	r.Step(start, InstancesChanged{Instances: list})
}

// An evacuated instance must not be chosen, whatever state the others are in.
func TestEvacuatedInstanceIsNoFallback(t *testing.T) {
	later := start.Add(time.Minute)
	for name, spoil := range map[string]func(i *instance){
		"ejected": func(i *instance) { i.ejectedUntil = later },
		"suspect": func(i *instance) { i.Suspect = true },
		"busy":    func(i *instance) { i.busyUntil = later },
		"limited": func(i *instance) { i.limitedUntil = later },
		"down":    func(i *instance) { i.downUntil = later },
		"held":    func(i *instance) { i.heldUntil = later },
	} {
		for _, target := range []time.Duration{0, 400 * time.Millisecond} {
			r := newTestRouter(4)
			slice := testSlice("acme", "desk")
			slice.Routes[0].Target = config.Duration(target)
			r.Step(start, SnapshotEnforced{Snapshot: testSnapshot(2, slice)})
			for _, i := range r.instances {
				spoil(i)
			}
			evacuate(r, 4, testZone)
			for id := range uint64(20) {
				effects := r.Step(start, read(id))
				for s, ok := onlySend(effects); ok; s, ok = onlySend(effects) {
					if r.instances[s.Instance].AvailabilityZone == testZone {
						t.Fatalf("%s: request %d is sent to %s", name, id, s.Instance)
					}
					effects = r.Step(start, ended(id, outcome.NotRun, outcome.InstanceLeaving))
				}
				if reason := effects[0].(Refuse).Refusal.Reason; reason == outcome.Evacuated {
					t.Errorf("%s: refused as %s, but not all instances are", name, reason)
				}
			}
		}
	}
}

func TestServiceInEvacuatedZonesOnlyIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4)
	waiting, _ := onlySend(r.Step(start, read(1)))
	evacuate(r, 4, testZone, "kilwa")
	refused := r.Step(start, read(2))[0].(Refuse).Refusal
	is.Equal(refused, outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.Evacuated, Status: http.StatusServiceUnavailable, RetryAfter: time.Second})
	is.Equal(len(r.Step(start, answered(1, time.Millisecond))), 0) // unaffected
	is.Equal(len(r.pools["desk"].instances), 4)
	explanation := r.Explain(start, "acme", "GET", "/read")
	is.Equal(explanation.Refused, outcome.Evacuated)
	is.Equal(explanation.Candidates[0].State, Evacuated)

	// One that a proxy which knew of the evacuation earlier has refused.
	evacuate(r, 4)
	r.Step(start, write(3))
	evacuate(r, 4, testZone, "kilwa")
	refused = r.Step(start, ended(3, outcome.NotRun, outcome.InstanceLeaving))[0].(Refuse).Refusal
	is.Equal(refused.Reason, outcome.Evacuated)
	// One that may have run must not be reported as not run.
	evacuate(r, 4)
	r.Step(start, read(4))
	evacuate(r, 4, testZone, "kilwa")
	refused = r.Step(start, ended(4, outcome.Unknown, outcome.ConnectionLost))[0].(Refuse).Refusal
	is.Equal(refused.Outcome, outcome.Unknown)

	evacuate(r, 4)
	_, ok := onlySend(r.Step(start, read(5)))
	is.True(ok)
	is.True(waiting.Instance != "")
}
