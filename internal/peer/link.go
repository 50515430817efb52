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
	// maxIdle is the time after which a connection that this proxy opened is
	// closed if it was not used.
	maxIdle       = 2 * time.Minute
	sweepInterval = 30 * time.Second
	// maxConcurrent bounds the messages of one connection answered at once.
	maxConcurrent = 64
	// maxAccepted bounds the connections of peers.
	maxAccepted = 4096
)

// link is a connection to a peer.
type link struct {
	conn net.Conn
	// rpc is nil until the handshake is done. Transport.mu guards it; it does
	// not change once it is set.
	rpc      *jsonrpc2.Conn
	lastUsed time.Time
}

func (l *link) close() {
	if l.rpc != nil {
		_ = l.rpc.Close()
	}
	_ = l.conn.Close()
}

// Serve accepts connections until the listener is closed.
func (t *Transport) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		t.accept(counted{c, t.observer})
	}
}

// accept starts a connection of a peer beside the caller.
func (t *Transport) accept(c net.Conn) {
	l := &link{conn: c}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.accepted) >= maxAccepted {
		t.observer.Refused("too many connections")
		_ = c.Close()
		return
	}
	t.accepted[l] = struct{}{}
	t.wg.Go(func() {
		t.serve(l)
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.accepted, l)
	})
}

// serve answers a peer until its connection ends.
func (t *Transport) serve(l *link) {
	c := l.conn
	if t.tls != nil {
		secure := tls.Server(c, t.tls)
		ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			t.observer.Refused("handshake")
			_ = c.Close()
			return
		}
		c = secure
	}
	rpc := t.open(c)
	t.mu.Lock()
	l.rpc = rpc
	closed := t.closed
	t.mu.Unlock()
	if closed {
		l.close()
	}
	<-rpc.DisconnectNotify()
}

// open starts JSON-RPC on a connection.
func (t *Transport) open(c net.Conn) *jsonrpc2.Conn {
	return jsonrpc2.NewConn(t.ctx, newStream(c, t.observer), newBoundedHandler(t), jsonrpc2.SetLogger(discard{}))
}

// dial returns the open connection to the address, or opens one.
func (t *Transport) dial(ctx context.Context, address string) (*link, error) {
	if l := t.dialledTo(address); l != nil {
		return l, nil
	}
	c, err := t.connect(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	return t.keep(address, c)
}

// dialledTo returns the open connection to the address, nil if there is none.
func (t *Transport) dialledTo(address string) *link {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	l, ok := t.dialled[address]
	if !ok {
		return nil
	}
	select {
	case <-l.rpc.DisconnectNotify():
		delete(t.dialled, address)
		return nil
	default:
		l.lastUsed = now
		return l
	}
}

// sweep closes the connections that were idle too long.
func (t *Transport) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for address, l := range t.dialled {
		if now.Sub(l.lastUsed) >= maxIdle {
			delete(t.dialled, address)
			_ = l.rpc.Close()
		}
	}
}

func (t *Transport) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c = counted{c, t.observer}
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

// keep stores a new connection, unless another was opened meanwhile.
func (t *Transport) keep(address string, c net.Conn) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = c.Close()
		return nil, errors.Wrap(ErrUnreachable, "transport closed")
	}
	if other, ok := t.dialled[address]; ok {
		_ = c.Close()
		return other, nil
	}
	l := &link{conn: c, rpc: t.open(c), lastUsed: time.Now()}
	t.dialled[address] = l
	return l, nil
}

func (t *Transport) drop(address string, l *link) {
	t.mu.Lock()
	if t.dialled[address] == l {
		delete(t.dialled, address)
	}
	t.mu.Unlock()
	_ = l.rpc.Close()
}
