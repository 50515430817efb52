package host

import (
	"context"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/node"
)

// fenceTimeout bounds the wait for a fence reply. It must stay below the transit
// time of a fence, fenceLatencyMargin in package admission, that the peer assumes
// when it decides whether it may have evicted its record of the request.
const fenceTimeout = 500 * time.Millisecond

// FenceTarget implements forward.Fencer.
func (h *Host) FenceTarget(instance string) (forward.FenceTarget, bool) {
	var target node.PeerProcess
	var ok bool
	h.view(func(n *node.Node) { target, ok = n.PeerProcess(instance) })
	return forward.FenceTarget{Address: target.Address, Incarnation: target.Incarnation}, ok
}

// QueryFence implements forward.Fencer. A reply after fenceTimeout counts as
// unknown, because the peer may have evicted its record of the request by then.
func (h *Host) QueryFence(ctx context.Context, address string, f admission.Fence) admission.FenceState {
	start := time.Now()
	states := make(chan admission.FenceState, 1)
	h.spawn(func() {
		reply, err := h.transport.Fence(h.ctx, address, f)
		if err != nil {
			reply.State = admission.FenceUnknown
		}
		states <- reply.State
	})
	timer := time.NewTimer(fenceTimeout)
	defer timer.Stop()
	select {
	case state := <-states:
		if time.Since(start) < fenceTimeout {
			return state
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return admission.FenceUnknown
}
