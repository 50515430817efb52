package forward

import (
	"context"
	"strconv"
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

// requestID returns the name of the caller's request, unique in the fleet.
func (c *entryCall) requestID() string {
	return c.origin + "-" + strconv.FormatUint(c.id, 36)
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
	return &fencing{fencer: fencer, target: target, request: c.requestID(), sent: time.Now()}
}

// resolve returns the outcome of a lost attempt: proof that it was not run if
// the other proxy gives it.
func (f *fencing) resolve(ctx context.Context, o outcome.Outcome, reason outcome.Reason) (outcome.Outcome, outcome.Reason) {
	if f == nil || o != outcome.Unknown || ctx.Err() != nil {
		return o, reason
	}
	fence := admission.Fence{Request: f.request, Incarnation: f.target.Incarnation, Age: time.Since(f.sent)}
	if f.fencer.Ask(ctx, f.target.Address, fence).NotRun() {
		return outcome.NotRun, outcome.Fenced
	}
	return o, reason
}
