package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
)

// A restart in turn stops proxies whose backend servers run on. Requests that
// other proxies send in the first part of the notice are run, the later ones
// refused as not run.
func TestStoppingProxyServesOthersDuringItsNotice(t *testing.T) {
	is := is.New(t)
	n := newListed("desk-1")
	n.Step(listedStart, Tick{})
	n.Step(listedStart, listing(t, 7))
	admitUntil := listedStart.Add(1500 * time.Millisecond)
	n.Step(listedStart, Leave{Cause: "signal", AdmitUntil: admitUntil})
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

	is.True(!n.Idle()) // the run goes on
	n.Step(admitUntil.Add(time.Second), admission.Ended{ID: 1, Outcome: outcome.Answered})
	is.True(n.Idle())
}
