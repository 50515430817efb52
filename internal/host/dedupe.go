package host

import (
	"context"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/dedupe"
)

// Fence implements peer.FenceAndClaimHandler.
func (h *Host) Fence(ctx context.Context, f admission.Fence) (admission.FenceReply, error) {
	return awaitReply[admission.FenceReply](ctx, h, func(call uint64) any { return admission.FenceReceived{Call: call, Fence: f} })
}

// Claim implements peer.FenceAndClaimHandler.
func (h *Host) Claim(ctx context.Context, r dedupe.ClaimRequest) (dedupe.ClaimReply, error) {
	return awaitReply[dedupe.ClaimReply](ctx, h, func(call uint64) any { return dedupe.ClaimReceived{Call: call, Request: r} })
}

// SyncGrants implements peer.FenceAndClaimHandler.
func (h *Host) SyncGrants(ctx context.Context, r dedupe.SyncRequest) (dedupe.SyncReply, error) {
	return awaitReply[dedupe.SyncReply](ctx, h, func(call uint64) any { return dedupe.SyncReceived{Call: call, Request: r} })
}

// Settle implements peer.FenceAndClaimHandler.
func (h *Host) Settle(s dedupe.Settlement) {
	h.step(dedupe.Settled{Settlement: s})
}

func (h *Host) executeDedupe(e dedupe.Effect) {
	switch e := e.(type) {
	case dedupe.SendClaim:
		h.spawn(func() { h.sendClaim(e) })
	case dedupe.SendSyncRequest:
		h.spawn(func() { h.sendSync(e) })
	case dedupe.SendSettlement:
		h.spawn(func() { _ = h.transport.Settle(h.ctx, e.Address, e.Settlement) })
	case dedupe.ReplyClaim:
		h.replies.deliver(e.Call, e.Reply)
	case dedupe.ReplySync:
		h.replies.deliver(e.Call, e.Reply)
	}
}

func (h *Host) sendClaim(e dedupe.SendClaim) {
	reply, err := h.transport.Claim(h.ctx, e.Address, e.Request)
	h.step(dedupe.ClaimAnswered{ID: e.ID, From: e.To, Holder: e.Request.Holder, Failed: err != nil, Reply: reply})
}

func (h *Host) sendSync(e dedupe.SendSyncRequest) {
	reply, err := h.transport.SyncGrants(h.ctx, e.Address, e.Request)
	h.step(dedupe.SyncAnswered{From: e.To, Failed: err != nil, Reply: reply})
}
