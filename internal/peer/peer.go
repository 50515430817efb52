package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
)

// Methods of the protocol.
const (
	methodGossip   = "gossip"
	methodAnnounce = "announce"
	methodPull     = "pull"
	methodAllow    = "allow"
)

const (
	dialTimeout = 2 * time.Second
	callTimeout = 5 * time.Second
)

// Handler answers the messages of peers.
type Handler interface {
	Gossip(ctx context.Context, g member.Gossip) (member.Gossip, error)
	Pull(ctx context.Context, r dist.PullRequest) (dist.PullReply, error)
	Announce(a dist.Announcement)
	Allow(ctx context.Context, r limit.Request) (limit.Reply, error)
	RequestHandler
}

// Observer counts what is carried. Its methods are called concurrently.
type Observer interface {
	// Bytes counts bytes sent and received.
	Bytes(sent, received int)
	// Refused counts messages that break the protocol.
	Refused(cause string)
}

// Transport sends messages to peers and serves theirs. It is safe for
// concurrent use.
type Transport struct {
	handler  Handler
	observer Observer
	tls      *tls.Config

	mu       sync.Mutex
	conns    map[string]*jsonrpc2.Conn
	accepted map[*jsonrpc2.Conn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// NewTransport returns a transport. A nil tls configuration means plaintext.
func NewTransport(h Handler, o Observer, tlsConfig *tls.Config) *Transport {
	return &Transport{
		handler:  h,
		observer: o,
		tls:      tlsConfig,
		conns:    make(map[string]*jsonrpc2.Conn),
		accepted: make(map[*jsonrpc2.Conn]struct{}),
	}
}

// Serve accepts connections until the listener is closed.
func (t *Transport) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		if t.tls != nil {
			c = tls.Server(c, t.tls)
		}
		t.accept(c)
	}
}

func (t *Transport) accept(c net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return
	}
	conn := t.open(c)
	t.accepted[conn] = struct{}{}
	t.wg.Go(func() {
		<-conn.DisconnectNotify()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.accepted, conn)
	})
}

// open starts JSON-RPC on a connection.
func (t *Transport) open(c net.Conn) *jsonrpc2.Conn {
	s := newStream(c, func(n int) { t.observer.Bytes(n, 0) }, func(n int) { t.observer.Bytes(0, n) })
	handler := jsonrpc2.HandlerWithError(t.handle).SuppressErrClosed()
	return jsonrpc2.NewConn(context.Background(), s, jsonrpc2.AsyncHandler(handler), jsonrpc2.SetLogger(discard{}))
}

// Close closes every connection and waits until their goroutines have ended.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	var all []*jsonrpc2.Conn
	for _, c := range t.conns {
		all = append(all, c)
	}
	for c := range t.accepted {
		all = append(all, c)
	}
	t.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
	t.wg.Wait()
}

// Gossip sends a gossip message and returns the answer.
func (t *Transport) Gossip(ctx context.Context, address string, g member.Gossip) (member.Gossip, error) {
	var answer member.Gossip
	err := t.call(ctx, address, methodGossip, g, &answer)
	return answer, err
}

// Pull sends a pull request and returns the answer.
func (t *Transport) Pull(ctx context.Context, address string, r dist.PullRequest) (dist.PullReply, error) {
	var answer dist.PullReply
	err := t.call(ctx, address, methodPull, r, &answer)
	return answer, err
}

// Allow asks the owner of limits for credits.
func (t *Transport) Allow(ctx context.Context, address string, r limit.Request) (limit.Reply, error) {
	var answer limit.Reply
	err := t.call(ctx, address, methodAllow, r, &answer)
	return answer, err
}

// Announce notifies a peer; no answer comes.
func (t *Transport) Announce(ctx context.Context, address string, a dist.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := t.dial(ctx, address)
	if err != nil {
		return err
	}
	if err := conn.Notify(ctx, methodAnnounce, a); err != nil {
		t.drop(address, conn)
		return errors.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	return nil
}

func (t *Transport) call(ctx context.Context, address, method string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := t.dial(ctx, address)
	if err != nil {
		return err
	}
	if err := conn.Call(ctx, method, in, out); err != nil {
		t.drop(address, conn)
		return errors.Wrapf(ErrUnreachable, "%s: %s: %v", address, method, err)
	}
	return nil
}

// dial returns the open connection to the address, or opens one.
func (t *Transport) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	t.mu.Lock()
	conn, ok := t.conns[address]
	t.mu.Unlock()
	if ok {
		select {
		case <-conn.DisconnectNotify():
			t.drop(address, conn)
		default:
			return conn, nil
		}
	}
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	return t.keep(address, c)
}

func (t *Transport) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if t.tls == nil {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{Config: t.tls}).DialContext(ctx, "tcp", address)
}

// keep stores a new connection, unless another was opened meanwhile.
func (t *Transport) keep(address string, c net.Conn) (*jsonrpc2.Conn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return nil, errors.Wrap(ErrUnreachable, "transport closed")
	}
	if other, ok := t.conns[address]; ok {
		_ = c.Close()
		return other, nil
	}
	conn := t.open(c)
	t.conns[address] = conn
	return conn, nil
}

func (t *Transport) drop(address string, conn *jsonrpc2.Conn) {
	t.mu.Lock()
	if t.conns[address] == conn {
		delete(t.conns, address)
	}
	t.mu.Unlock()
	_ = conn.Close()
}

// handle answers one message of a peer.
func (t *Transport) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodGossip:
		return answer(ctx, t, req, t.handler.Gossip)
	case methodPull:
		return answer(ctx, t, req, t.handler.Pull)
	case methodAllow:
		return answer(ctx, t, req, t.handler.Allow)
	case methodAnnounce:
		return answer(ctx, t, req, func(_ context.Context, a dist.Announcement) (any, error) {
			t.handler.Announce(a)
			return nil, nil
		})
	default:
		if handle, ok := requestMethods[req.Method]; ok {
			return handle(ctx, t, req)
		}
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

// discard drops the library's own log lines; the observer counts instead.
type discard struct{}

// Printf implements jsonrpc2.Logger.
func (discard) Printf(string, ...any) {}
