package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 5 * time.Second
	// idleTimeout is the time after which an unused outbound connection is
	// closed.
	idleTimeout       = 2 * time.Minute
	idleCheckInterval = 30 * time.Second
	// maxConcurrentMessages bounds the messages of one connection that are handled
	// concurrently.
	maxConcurrentMessages = 64
	// maxInboundConns bounds the connections opened by peers.
	maxInboundConns = 4096
)

// peerConn is a connection to a peer.
type peerConn struct {
	conn net.Conn
	// rpc is nil until the TLS handshake is complete. It is guarded by
	// Transport.mu and does not change once it is set.
	rpc      *jsonrpc2.Conn
	lastUsed time.Time
}

func (pc *peerConn) close() {
	if pc.rpc != nil {
		_ = pc.rpc.Close()
	}
	_ = pc.conn.Close()
}

// Serve accepts connections until the listener is closed.
func (t *Transport) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		t.accept(countingConn{c, t.observer})
	}
}

// accept serves an inbound connection in a new goroutine. It closes the
// connection if the transport is closed or maxInboundConns is reached.
func (t *Transport) accept(c net.Conn) {
	pc := &peerConn{conn: c}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.inbound) >= maxInboundConns {
		t.observer.MessageRefused("too many connections")
		_ = c.Close()
		return
	}
	t.inbound[pc] = struct{}{}
	t.wg.Go(func() {
		t.serveConn(pc)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.inbound, pc)
	})
}

// serveConn performs the TLS handshake, if there is one, and serves an inbound
// connection until it ends.
func (t *Transport) serveConn(pc *peerConn) {
	c := pc.conn
	if t.tls != nil {
		secure := tls.Server(c, t.tls)
		ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			t.observer.MessageRefused("handshake")
			_ = c.Close()
			return
		}
		c = secure
	}
	rpc := t.newRPCConn(c)
	t.mu.Lock()
	pc.rpc = rpc
	closed := t.closed
	t.mu.Unlock()
	if closed {
		pc.close()
	}
	<-rpc.DisconnectNotify()
}

// newRPCConn starts a JSON-RPC session on a connection.
func (t *Transport) newRPCConn(c net.Conn) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(t.ctx, newStream(c, t.observer), newBoundedHandler(t), jsonrpc2.SetLogger(discardLogger{}))
}

// connTo returns the outbound connection to the address and opens one if there
// is none.
func (t *Transport) connTo(ctx context.Context, address string) (*peerConn, error) {
	if pc := t.outboundConn(address); pc != nil {
		return pc, nil
	}
	c, err := t.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	return t.register(address, c)
}

// outboundConn returns the open outbound connection to the address, or nil.
func (t *Transport) outboundConn(address string) *peerConn {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeIdle(now)
	pc, ok := t.outbound[address]
	if !ok {
		return nil
	}
	select {
	case <-pc.rpc.DisconnectNotify():
		delete(t.outbound, address)
		return nil
	default:
		pc.lastUsed = now
		return pc
	}
}

// closeIdle closes outbound connections that were unused for idleTimeout. It
// does so at most once per idleCheckInterval. The caller holds t.mu.
func (t *Transport) closeIdle(now time.Time) {
	if now.Sub(t.lastIdleCheck) < idleCheckInterval {
		return
	}
	t.lastIdleCheck = now
	for address, pc := range t.outbound {
		if now.Sub(pc.lastUsed) >= idleTimeout {
			delete(t.outbound, address)
			_ = pc.rpc.Close()
		}
	}
}

// dial opens a connection and performs the TLS handshake, if there is one.
func (t *Transport) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c = countingConn{c, t.observer}
	if t.tls == nil {
		return c, nil
	}
	secure := tls.Client(c, t.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return secure, nil
}

// register stores a new outbound connection. If another call has registered one
// to the same address meanwhile, it closes c and returns the registered one.
func (t *Transport) register(address string, c net.Conn) (*peerConn, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return nil, errors.Wrap(ErrUnreachable, "transport closed")
	}
	if other, ok := t.outbound[address]; ok {
		_ = c.Close()
		return other, nil
	}
	pc := &peerConn{conn: c, rpc: t.newRPCConn(c), lastUsed: time.Now()}
	t.outbound[address] = pc
	return pc, nil
}

// closeConn closes an outbound connection and removes it from the map.
func (t *Transport) closeConn(address string, pc *peerConn) {
	t.mu.Lock()
	if t.outbound[address] == pc {
		delete(t.outbound, address)
	}
	t.mu.Unlock()
	_ = pc.rpc.Close()
}
