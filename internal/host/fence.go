package host

import (
	"context"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/node"
)

// fenceTimeout bounds the wait for a peer's answer. It is shorter than the
// time that the peer allows for the way of the question.
const fenceTimeout = 500 * time.Millisecond

// Target implements forward.Fencer.
func (h *Host) Target(instance string) (forward.FenceTarget, bool) {
	var life node.Life
	var ok bool
	h.view(func(n *node.Node) { life, ok = n.Life(instance) })
	return forward.FenceTarget{Address: life.Address, Incarnation: life.Incarnation}, ok
}

// Ask implements forward.Fencer. An answer that comes too late proves nothing,
// because the peer may have forgotten the request meanwhile.
func (h *Host) Ask(ctx context.Context, address string, f admission.Fence) admission.FenceState {
	start := time.Now()
	answers := make(chan admission.FenceState, 1)
	h.goDo(func() {
		reply, err := h.transport.Fence(h.ctx, address, f)
		if err != nil {
			reply.State = admission.FenceUnknown
		}
		answers <- reply.State
	})
	timer := time.NewTimer(fenceTimeout)
	defer timer.Stop()
	select {
	case state := <-answers:
		if time.Since(start) < fenceTimeout {
			return state
		}
	case <-timer.C:
	case <-ctx.Done():
	}
	return admission.FenceUnknown
}
