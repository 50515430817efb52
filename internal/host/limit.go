package host

import (
	"context"
	"time"

	"heatherlift.example/heatherlift/internal/limit"
)

// allowTimeout bounds a request for credits; the stand-in is asked after it.
const allowTimeout = 500 * time.Millisecond

func (h *Host) carryOutLimit(e limit.Effect) {
	switch e := e.(type) {
	case limit.Send:
		h.goDo(func() { h.allow(e) })
	case limit.Answer:
		h.calls.deliver(e.Call, e.Reply)
	}
}

func (h *Host) allow(e limit.Send) {
	ctx, cancel := context.WithTimeout(h.ctx, allowTimeout)
	defer cancel()
	reply, err := h.transport.Allow(ctx, e.Address, e.Request)
	if err != nil {
		h.step(limit.Failed{Number: e.Number})
		return
	}
	h.step(limit.Answered{Number: e.Number, Reply: reply})
}

// Allow implements peer.Handler.
func (h *Host) Allow(ctx context.Context, r limit.Request) (limit.Reply, error) {
	return ask[limit.Reply](ctx, h, func(call uint64) any { return limit.Received{Call: call, Request: r} })
}
