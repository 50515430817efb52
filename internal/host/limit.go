package host

import (
	"context"
	"time"

	"heatherlift.example/heatherlift/internal/limit"
)

// creditTimeout bounds a request for credits. After it the limiter asks the
// other owner of the limit.
const creditTimeout = 500 * time.Millisecond

func (h *Host) executeLimit(e limit.Effect) {
	switch e := e.(type) {
	case limit.SendRequest:
		h.spawn(func() { h.requestCredits(e) })
	case limit.SendReply:
		h.replies.deliver(e.Call, e.Reply)
	}
}

func (h *Host) requestCredits(e limit.SendRequest) {
	ctx, cancel := context.WithTimeout(h.ctx, creditTimeout)
	defer cancel()
	reply, err := h.transport.RequestCredits(ctx, e.Address, e.Request)
	if err != nil {
		h.step(limit.Failed{Number: e.Number})
		return
	}
	h.step(limit.Answered{Number: e.Number, Reply: reply})
}

// RequestCredits implements peer.Handler.
func (h *Host) RequestCredits(ctx context.Context, r limit.Request) (limit.Reply, error) {
	return awaitReply[limit.Reply](ctx, h, func(call uint64) any { return limit.Received{Call: call, Request: r} })
}
