package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
)

// In a rolling restart of the proxies the backend servers keep running. A leaving
// proxy runs requests from other proxies until AdmitUntil and then refuses them
// as not run.
func TestLeavingProxyServesPeersUntilAdmitUntil(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newStoreNode("desk-1")
	n.Step(storeStart, Tick{})
	n.Step(storeStart, storeListing(t, 7))
	admitUntil := storeStart.Add(1500 * time.Millisecond)
	n.Step(storeStart, Leave{Cause: "signal", AdmitUntil: admitUntil})
	is.True(!n.Ready())

	arrive := func(now time.Time, id uint64) admission.Effect {
		out := n.Step(now, admission.Arrived{ID: id, Request: "r", Repeatable: true, Deadline: now.Add(time.Second)})
		is.Equal(len(out.Admission), 1)
		return out.Admission[0]
	}
	_, run := arrive(admitUntil.Add(-time.Millisecond), 1).(admission.Run)
	is.True(run)
	n.Step(admitUntil, Tick{})
	refused, ok := arrive(admitUntil.Add(time.Millisecond), 2).(admission.Refuse)
	is.True(ok)
	is.Equal(refused.Refusal.Reason, outcome.InstanceLeaving)
	is.Equal(refused.Refusal.Outcome, outcome.NotRun)

	is.True(!n.Idle()) // the admitted request is still running
	n.Step(admitUntil.Add(time.Second), admission.Ended{ID: 1, Outcome: outcome.Answered})
	is.True(n.Idle())
}
