package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	guard guard
	// malformed tells that a head on the connection was ambiguous.
	malformed atomic.Bool
	// closed tells that no answer can be written any more.
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.guard.scan(b[:n]) {
		c.malformed.Store(true)
	}
	return n, err
}

// CloseWrite ends the direction towards the caller.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what becomes of unsent bytes at the end.
func (c *callerConn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

type callerConnKey struct{}

// callerConns is the set of callers' connections without a request. Its
// invariant: a request is served only on a connection that has left the set
// and was not closed while it was in it.
type callerConns struct {
	mu   sync.Mutex
	idle map[net.Conn]struct{}
}

// callerListener makes the connections that Attach expects.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// Attach prepares a server for the entry. It must serve the listener returned.
func (e *Entry) Attach(s *http.Server, l net.Listener) net.Listener {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	s.ConnState = e.conns.track
	s.MaxHeaderBytes = maxHeaderBytes
	s.DisableGeneralOptionsHandler = true
	return callerListener{l}
}

func (cs *callerConns) track(c net.Conn, state http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if state != http.StateNew && state != http.StateIdle {
		delete(cs.idle, c)
		return
	}
	if cs.idle == nil {
		cs.idle = make(map[net.Conn]struct{})
	}
	cs.idle[c] = struct{}{}
}

// Drain makes every further answer the last one of its connection.
func (e *Entry) Drain() {
	e.draining.Store(true)
}

// CloseIdle ends the connections that carry no request, in the direction of
// the caller only: a request that crosses the end is dropped without being run
// and its caller sees no reset.
func (e *Entry) CloseIdle() {
	e.conns.mu.Lock()
	defer e.conns.mu.Unlock()
	for c := range e.conns.idle {
		if c, ok := c.(*callerConn); ok {
			c.closed.Store(true)
			_ = c.CloseWrite()
		}
	}
}

// mayServe sets the headers of a shutdown. It reports whether the request's
// head was unambiguous, and panics with http.ErrAbortHandler if its connection
// can no longer carry an answer.
func (e *Entry) mayServe(w http.ResponseWriter, r *http.Request) bool {
	if e.draining.Load() {
		w.Header()["Connection"] = []string{"close"}
	}
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return true
	}
	if c.closed.Load() {
		panic(http.ErrAbortHandler)
	}
	return !c.malformed.Load()
}
