package forward

import (
	"context"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// FenceTarget is the life of a proxy to which a request was sent.
type FenceTarget struct {
	// Address serves jsonrpc2 to other proxies.
	Address     string
	Incarnation uint64
}

// Fencer is implemented by a Core that can ask other proxies what became of a
// request.
type Fencer interface {
	// Target returns the present life of an instance, if it is known.
	Target(instance string) (FenceTarget, bool)
	// Ask returns what the proxy at the address knows of a request.
	Ask(ctx context.Context, address string, f admission.Fence) admission.FenceState
}

// fencing can find out what became of one attempt of a request.
type fencing struct {
	fencer  Fencer
	target  FenceTarget
	request string
	sent    time.Time
}

// fencing notes the life of the proxy before the request is sent to it. It
// returns nil if the request may be repeated or the proxy is not known.
func (c *entryCall) fencing(d routing.Send) *fencing {
	fencer, ok := c.core.(Fencer)
	if !ok || d.Repeatable {
		return nil
	}
	target, ok := fencer.Target(d.Instance)
	if !ok {
		return nil
	}
	return &fencing{fencer: fencer, target: target, request: c.request(), sent: time.Now()}
}

// resolve returns what is known of a lost attempt: that it was not run, if the
// other proxy proves it. The request may then go to another instance.
func (f *fencing) resolve(ctx context.Context, deadline time.Time, lost outcome.Refusal) outcome.Refusal {
	if f == nil || lost.Outcome != outcome.Unknown || lost.Reason == outcome.DeadlineExpired {
		return lost
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	fence := admission.Fence{Request: f.request, Incarnation: f.target.Incarnation, Age: time.Since(f.sent)}
	if f.fencer.Ask(ctx, f.target.Address, fence).NotRun() {
		lost.Outcome = outcome.NotRun
	}
	return lost
}
