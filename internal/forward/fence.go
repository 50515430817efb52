package forward

import (
	"context"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// FenceTarget identifies the incarnation of the proxy to which a request was
// sent.
type FenceTarget struct {
	// Address is where the proxy serves JSON-RPC 2.0 to other proxies.
	Address     string
	Incarnation uint64
}

// Fencer is implemented by a Core that can ask other proxies whether they ran a
// request.
type Fencer interface {
	// FenceTarget returns the current incarnation of an instance, if it is known.
	FenceTarget(instance string) (FenceTarget, bool)
	// QueryFence returns the state of a request at the proxy with the address. A
	// request that is reported as not run is also refused there if it arrives
	// later.
	QueryFence(ctx context.Context, address string, f admission.Fence) admission.FenceState
}

// attemptFence determines whether the request of one attempt was run.
type attemptFence struct {
	fencer  Fencer
	target  FenceTarget
	request string
	sentAt  time.Time
}

// newAttemptFence records the incarnation of the proxy before the request is
// sent to it. It returns nil if the request may be repeated or the proxy is not
// known.
func (c *callerRequest) newAttemptFence(d routing.Send) *attemptFence {
	fencer, ok := c.core.(Fencer)
	if !ok || d.Repeatable {
		return nil
	}
	target, ok := fencer.FenceTarget(d.Instance)
	if !ok {
		return nil
	}
	return &attemptFence{fencer: fencer, target: target, request: c.fleetRequestID(), sentAt: time.Now()}
}

// resolve returns the result of a lost attempt. Its outcome is NotRun if the
// other proxy proves that the request was not run; the request may then be sent
// to another instance. A result that is not Unknown, or whose deadline has
// expired, is returned unchanged.
func (f *attemptFence) resolve(ctx context.Context, deadline time.Time, refusal outcome.Refusal) outcome.Refusal {
	if f == nil || refusal.Outcome != outcome.Unknown || refusal.Reason == outcome.DeadlineExpired {
		return refusal
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	query := admission.Fence{Request: f.request, Incarnation: f.target.Incarnation, Age: time.Since(f.sentAt)}
	if f.fencer.QueryFence(ctx, f.target.Address, query).NotRun() {
		refusal.Outcome = outcome.NotRun
	}
	return refusal
}
