package peer

import (
	"context"

	"github.com/sourcegraph/jsonrpc2"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/dedupe"
)

// Methods about requests in progress.
const (
	methodFence  = "fence"
	methodClaim  = "claim"
	methodSettle = "settle"
	methodGrants = "grants"
)

// RequestHandler answers the messages of peers about requests in progress.
type RequestHandler interface {
	Fence(ctx context.Context, f admission.Fence) (admission.FenceReply, error)
	Claim(ctx context.Context, r dedupe.ClaimRequest) (dedupe.ClaimReply, error)
	Settle(s dedupe.Settlement)
	Grants(ctx context.Context, r dedupe.SyncRequest) (dedupe.SyncReply, error)
}

// requestMethods holds the handlers by method.
var requestMethods = map[string]func(context.Context, *Transport, *jsonrpc2.Request) (any, error){
	methodFence: func(ctx context.Context, t *Transport, req *jsonrpc2.Request) (any, error) {
		return answer(ctx, t, req, t.handler.Fence)
	},
	methodClaim: func(ctx context.Context, t *Transport, req *jsonrpc2.Request) (any, error) {
		return answer(ctx, t, req, t.handler.Claim)
	},
	methodGrants: func(ctx context.Context, t *Transport, req *jsonrpc2.Request) (any, error) {
		return answer(ctx, t, req, t.handler.Grants)
	},
	methodSettle: func(ctx context.Context, t *Transport, req *jsonrpc2.Request) (any, error) {
		return answer(ctx, t, req, func(_ context.Context, s dedupe.Settlement) (any, error) {
			t.handler.Settle(s)
			return nil, nil
		})
	},
}

// Fence asks a peer what became of a request.
func (t *Transport) Fence(ctx context.Context, address string, f admission.Fence) (admission.FenceReply, error) {
	var reply admission.FenceReply
	err := t.call(ctx, address, methodFence, f, &reply)
	return reply, err
}

// Claim asks a peer for a grant.
func (t *Transport) Claim(ctx context.Context, address string, r dedupe.ClaimRequest) (dedupe.ClaimReply, error) {
	var reply dedupe.ClaimReply
	err := t.call(ctx, address, methodClaim, r, &reply)
	return reply, err
}

// Grants asks a peer for its grants.
func (t *Transport) Grants(ctx context.Context, address string, r dedupe.SyncRequest) (dedupe.SyncReply, error) {
	var reply dedupe.SyncReply
	err := t.call(ctx, address, methodGrants, r, &reply)
	return reply, err
}

// Settle notifies a peer; no answer comes.
func (t *Transport) Settle(ctx context.Context, address string, s dedupe.Settlement) error {
	return t.notify(ctx, address, methodSettle, s)
}
