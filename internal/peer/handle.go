package peer

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"
)

// handle answers one message of a peer.
func (t *Transport) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodGossip:
		return answer(ctx, t, req, t.handler.Gossip)
	case methodPull:
		return answer(ctx, t, req, t.handler.Pull)
	case methodFollow:
		return answer(ctx, t, req, t.handler.Follow)
	case methodAllow:
		return answer(ctx, t, req, t.handler.Allow)
	case methodFence:
		return answer(ctx, t, req, t.handler.Fence)
	case methodClaim:
		return answer(ctx, t, req, t.handler.Claim)
	case methodGrants:
		return answer(ctx, t, req, t.handler.Grants)
	case methodAnnounce:
		return take(ctx, t, req, t.handler.Announce)
	case methodSettle:
		return take(ctx, t, req, t.handler.Settle)
	default:
		t.observer.Refused("unknown method")
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
}

// answer decodes the parameters of a message and passes them on.
func answer[In, Out any](ctx context.Context, t *Transport, req *jsonrpc2.Request, f func(context.Context, In) (Out, error)) (any, error) {
	var in In
	if req.Params == nil {
		t.observer.Refused("no parameters")
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, &in); err != nil {
		t.observer.Refused("malformed parameters")
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed parameters"}
	}
	return f(ctx, in)
}

// take decodes the parameters of a message that has no answer.
func take[In any](ctx context.Context, t *Transport, req *jsonrpc2.Request, f func(In)) (any, error) {
	return answer(ctx, t, req, func(_ context.Context, in In) (any, error) {
		f(in)
		return nil, nil
	})
}

// boundedHandler answers up to maxConcurrent messages of one connection at
// once; beyond that it stops reading from the connection.
type boundedHandler struct {
	transport *Transport
	inner     jsonrpc2.Handler
	slots     chan struct{}
}

func newBoundedHandler(t *Transport) *boundedHandler {
	return &boundedHandler{
		transport: t,
		inner:     jsonrpc2.HandlerWithError(t.handle).SuppressErrClosed(),
		slots:     make(chan struct{}, maxConcurrent),
	}
}

// Handle implements jsonrpc2.Handler.
func (h *boundedHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case h.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	h.transport.wg.Go(func() {
		defer func() { <-h.slots }()
		h.inner.Handle(ctx, conn, req)
	})
}

// discard drops the library's own log lines; the observer counts instead.
type discard struct{}

// Printf implements jsonrpc2.Logger.
func (discard) Printf(string, ...any) {}
