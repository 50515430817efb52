package forward

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// fakeFencer returns a fixed state and records the fences it was asked for.
type fakeFencer struct {
	Core
	state  admission.FenceState
	fences []admission.Fence
}

func (f *fakeFencer) FenceTarget(instance string) (FenceTarget, bool) {
	return FenceTarget{Address: "peer", Incarnation: 7}, instance == "known"
}

func (f *fakeFencer) QueryFence(_ context.Context, _ string, fence admission.Fence) admission.FenceState {
	f.fences = append(f.fences, fence)
	return f.state
}

func TestLostAttemptIsResolvedByFence(t *testing.T) {
	for state, want := range map[admission.FenceState]outcome.Outcome{
		admission.FenceFenced:  outcome.NotRun,
		admission.FenceNotRun:  outcome.NotRun,
		admission.FenceRunning: outcome.Unknown,
		admission.FenceEnded:   outcome.Unknown,
		admission.FenceUnknown: outcome.Unknown,
		"":                     outcome.Unknown,
	} {
		is := is.New(t)
		f := &fakeFencer{state: state}
		c := &callerRequest{Ingress: &Ingress{core: f, runID: "origin"}, id: 10}
		fence := c.newAttemptFence(routing.Send{Instance: "known"})
		lost := outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ConnectionLost}
		resolved := fence.resolve(t.Context(), time.Now().Add(time.Minute), lost)
		is.Equal(resolved.Outcome, want)
		is.Equal(resolved.Reason, outcome.ConnectionLost)
		is.Equal(f.fences[0].Request, "origin-a")
		is.Equal(f.fences[0].Incarnation, uint64(7)) // recorded before the request was sent
	}
}

func TestFenceIsSkippedWhenNotApplicable(t *testing.T) {
	is := is.New(t)
	f := &fakeFencer{state: admission.FenceFenced}
	c := &callerRequest{Ingress: &Ingress{core: f}}
	unknown := outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ConnectionLost}
	for _, attempt := range []struct {
		send routing.Send
		lost outcome.Refusal
	}{
		{routing.Send{Instance: "known", Repeatable: true}, unknown},
		{routing.Send{Instance: "unheard of"}, unknown},
		{routing.Send{Instance: "known"}, outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.DeadlineExpired}},
		{routing.Send{Instance: "known"}, outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed}},
	} {
		resolved := c.newAttemptFence(attempt.send).resolve(t.Context(), time.Now().Add(time.Minute), attempt.lost)
		is.Equal(resolved, attempt.lost)
	}
	is.Equal(len(f.fences), 0)
}

func TestRefusedConnectionIsReportedAsCrash(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	local := &LocalForwarder{address: l.Addr().String()}
	is.Equal(local.crashReason(ctx, outcome.ConnectionLost), outcome.ConnectionLost) // still listening
	is.NoErr(l.Close())
	is.Equal(local.crashReason(ctx, outcome.ConnectionLost), outcome.BackendServerCrashed)
	is.Equal(local.crashReason(ctx, outcome.DeadlineExpired), outcome.DeadlineExpired)
}
