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

// fakeFencer answers with a fixed state and notes what it was asked.
type fakeFencer struct {
	Core
	state admission.FenceState
	asked []admission.Fence
}

func (f *fakeFencer) Target(instance string) (FenceTarget, bool) {
	return FenceTarget{Address: "peer", Incarnation: 7}, instance == "known"
}

func (f *fakeFencer) Ask(_ context.Context, _ string, fence admission.Fence) admission.FenceState {
	f.asked = append(f.asked, fence)
	return f.state
}

func TestLostAttemptIsResolvedByProof(t *testing.T) {
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
		c := &entryCall{Entry: &Entry{core: f, origin: "origin"}, id: 10}
		fencing := c.fencing(routing.Send{Instance: "known"})
		lost := outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ConnectionLost}
		resolved := fencing.resolve(t.Context(), time.Now().Add(time.Minute), lost)
		is.Equal(resolved.Outcome, want)
		is.Equal(resolved.Reason, outcome.ConnectionLost)
		is.Equal(f.asked[0].Request, "origin-a")
		is.Equal(f.asked[0].Incarnation, uint64(7)) // the life before the request was sent
	}
}

func TestProofIsNotAskedForInVain(t *testing.T) {
	is := is.New(t)
	f := &fakeFencer{state: admission.FenceFenced}
	c := &entryCall{Entry: &Entry{core: f}}
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
		resolved := c.fencing(attempt.send).resolve(t.Context(), time.Now().Add(time.Minute), attempt.lost)
		is.Equal(resolved, attempt.lost)
	}
	is.Equal(len(f.asked), 0)
}

func TestRefusedConnectionTellsACrash(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	local := &Local{address: l.Addr().String()}
	is.Equal(local.crashReason(ctx, outcome.ConnectionLost), outcome.ConnectionLost) // it still listens
	is.NoErr(l.Close())
	is.Equal(local.crashReason(ctx, outcome.ConnectionLost), outcome.Crashed)
	is.Equal(local.crashReason(ctx, outcome.DeadlineExpired), outcome.DeadlineExpired)
}
