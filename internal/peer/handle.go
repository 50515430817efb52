package peer

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"
)

// handle dispatches one message of a peer to the handler.
func (t *Transport) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodGossip:
		return serveCall(ctx, t, req, t.handler.Gossip)
	case methodPull:
		return serveCall(ctx, t, req, t.handler.Pull)
	case methodRelay:
		return serveCall(ctx, t, req, t.handler.Relay)
	case methodRequestCredits:
		return serveCall(ctx, t, req, t.handler.RequestCredits)
	case methodCrashEvidence:
		return serveCall(ctx, t, req, t.handler.ExchangeCrashEvidence)
	case methodFence:
		return serveCall(ctx, t, req, t.handler.Fence)
	case methodClaim:
		return serveCall(ctx, t, req, t.handler.Claim)
	case methodSyncGrants:
		return serveCall(ctx, t, req, t.handler.SyncGrants)
	case methodAnnounce:
		return serveNotification(ctx, t, req, t.handler.Announce)
	case methodSettle:
		return serveNotification(ctx, t, req, t.handler.Settle)
	default:
		t.observer.MessageRefused("unknown method")
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
}

// serveCall decodes the parameters of a call and returns the result of f.
func serveCall[In, Out any](ctx context.Context, t *Transport, req *jsonrpc2.Request, f func(context.Context, In) (Out, error)) (any, error) {
	var in In
	if req.Params == nil {
		t.observer.MessageRefused("no parameters")
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "no parameters"}
	}
	if err := json.Unmarshal(*req.Params, &in); err != nil {
		t.observer.MessageRefused("malformed parameters")
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed parameters"}
	}
	return f(ctx, in)
}

// serveNotification decodes the parameters of a message without a reply and
// passes them to f.
func serveNotification[In any](ctx context.Context, t *Transport, req *jsonrpc2.Request, f func(In)) (any, error) {
	return serveCall(ctx, t, req, func(_ context.Context, in In) (any, error) {
		f(in)
		return nil, nil
	})
}

// boundedHandler handles up to maxConcurrentMessages messages of one connection
// concurrently. At that limit it blocks, which stops reading from the connection.
type boundedHandler struct {
	transport *Transport
	handler   jsonrpc2.Handler
	slots     chan struct{}
}

func newBoundedHandler(t *Transport) *boundedHandler {
	return &boundedHandler{
		transport: t,
		handler:   jsonrpc2.HandlerWithError(t.handle).SuppressErrClosed(),
		slots:     make(chan struct{}, maxConcurrentMessages),
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
		defer h.recoverPanic(conn)
		h.handler.Handle(ctx, conn, req)
	})
}

// recoverPanic closes the connection whose message made the handler panic. It must be
// deferred.
func (h *boundedHandler) recoverPanic(conn *jsonrpc2.Conn) {
	if cause := recover(); cause != nil {
		h.transport.observer.HandlerPanicked(cause)
		_ = conn.Close()
	}
}

// discardLogger drops the log lines of package jsonrpc2. Protocol errors are
// reported to the observer instead.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}
