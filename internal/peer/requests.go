package peer

import (
	"context"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/dedupe"
)

// JSON-RPC methods for fences and idempotency keys.
const (
	methodFence      = "fence"
	methodClaim      = "claim"
	methodSettle     = "settle"
	methodSyncGrants = "grants"
)

// FenceAndClaimHandler handles messages of peers about fences and idempotency keys.
type FenceAndClaimHandler interface {
	Fence(ctx context.Context, f admission.Fence) (admission.FenceReply, error)
	Claim(ctx context.Context, r dedupe.ClaimRequest) (dedupe.ClaimReply, error)
	Settle(s dedupe.Settlement)
	SyncGrants(ctx context.Context, r dedupe.SyncRequest) (dedupe.SyncReply, error)
}

// Fence asks a peer for the state of a request whose connection was lost, and
// prevents a request that has not been run from being run later.
func (t *Transport) Fence(ctx context.Context, address string, f admission.Fence) (admission.FenceReply, error) {
	return call[admission.FenceReply](ctx, t, address, methodFence, f)
}

// Claim asks a peer to grant a claim on an idempotency key.
func (t *Transport) Claim(ctx context.Context, address string, r dedupe.ClaimRequest) (dedupe.ClaimReply, error) {
	return call[dedupe.ClaimReply](ctx, t, address, methodClaim, r)
}

// SyncGrants asks a peer for its grants on the idempotency keys that this proxy
// owns.
func (t *Transport) SyncGrants(ctx context.Context, address string, r dedupe.SyncRequest) (dedupe.SyncReply, error) {
	return call[dedupe.SyncReply](ctx, t, address, methodSyncGrants, r)
}

// Settle notifies a peer, which does not reply, of the end of a claim.
func (t *Transport) Settle(ctx context.Context, address string, s dedupe.Settlement) error {
	return t.notify(ctx, address, methodSettle, s)
}
