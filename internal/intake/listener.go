package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	// maxServedRequestBytes bounds what a client of a served listener may send for one
	// request.
	maxServedRequestBytes = 16 << 10
	// shortRequestBytes is the size up to which a request is served though there is no
	// room: the platform must learn that the process is ready whatever callers hold. The
	// connections of these doors bound what such requests hold together.
	shortRequestBytes = 1 << 10
)

// errRequestTooLarge ends a connection whose client sends more than that.
var errRequestTooLarge = errors.New("request too large")

// Listener counts the connections of a door that is served by package net/http.
type Listener struct {
	net.Listener
	Account *Account
	Door    Door
	// ReceiveBuffer, if positive, bounds the bytes that the kernel holds of a connection
	// for this process to read.
	ReceiveBuffer int
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &servedConn{Conn: raw}
		held, ok := l.Account.Open(l.Door, raw.RemoteAddr().String(), func(bool) { _ = raw.Close() })
		if !ok {
			_ = raw.Close()
			continue
		}
		c.held, c.lease = held, held.Lease()
		SetReceiveBuffer(raw, l.ReceiveBuffer)
		return c, nil
	}
}

// UnacceptedBytes bounds the bytes that the kernel holds of a connection that is not accepted yet.
const UnacceptedBytes = 8 << 10

// kernelFactor is the factor by which Linux exceeds a receive buffer that is set (socket(7)).
const kernelFactor = 2

// Listen listens at a TCP address. If receiveBuffer is positive, the kernel holds at most
// UnacceptedBytes of a connection until it is accepted and SetReceiveBuffer is called for it. As
// the kernel fixes the scale of the window when the connection is opened, its receive window does
// not exceed 64 KB later either.
func Listen(address string, receiveBuffer int) (net.Listener, error) {
	var config net.ListenConfig
	if receiveBuffer > 0 {
		config.Control = func(_, _ string, c syscall.RawConn) error {
			var err error
			controlErr := c.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, min(receiveBuffer, UnacceptedBytes)/kernelFactor)
			})
			return errors.CombineErrors(controlErr, err)
		}
	}
	return config.Listen(context.Background(), "tcp", address)
}

// SetReceiveBuffer bounds the bytes that the kernel holds of a connection for this process to
// read, if n is positive. It has no effect on connections other than TCP.
func SetReceiveBuffer(c net.Conn, n int) {
	if tcp, ok := c.(*net.TCPConn); ok && n > 0 {
		_ = tcp.SetReadBuffer(n / kernelFactor)
	}
}

// servedConn is a connection of a Listener. What is read is charged until the response to
// the request has been written.
type servedConn struct {
	net.Conn
	held *Conn

	mu    sync.Mutex
	lease Lease
	// received counts the bytes since the last response.
	received int
	active   bool
}

// Read implements net.Conn.
func (c *servedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.held == nil || c.held.door == Proxies {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		c.active = true
		c.held.MessageBegun()
	}
	if c.received += n; !c.charge(b[:n]) {
		return 0, errRequestTooLarge
	}
	return n, err
}

// charge charges bytes of a request. It returns false if the request is too large, or if there
// is no room for it and it is not a short one.
func (c *servedConn) charge(b []byte) bool {
	cost := HeaderCost(bytes.Count(b, []byte("\n")), len(b))
	if c.received <= shortRequestBytes {
		c.lease.Take(cost)
		return true
	}
	return c.received <= maxServedRequestBytes && c.lease.Acquire(cost)
}

// Write implements net.Conn.
func (c *servedConn) Write(b []byte) (int, error) {
	c.held.WriteBegun()
	defer c.held.WriteEnded()
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *servedConn) Close() error {
	err := c.Conn.Close()
	c.held.Close()
	return err
}

// CloseWrite shuts down the direction towards the client, as package net/http does before it
// closes a connection whose input is not all read.
func (c *servedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the underlying connection.
func (c *servedConn) NetConn() net.Conn { return c.Conn }

// endRequest returns what a request held.
func (c *servedConn) endRequest() {
	c.held.MessageEnded()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease.Settle(0)
	c.received, c.active = 0, false
}

// served returns the connection of a Listener that c is or wraps, nil if there is none.
func served(c net.Conn) *servedConn {
	s, ok := c.(*servedConn)
	if wrapped, wraps := c.(interface{ NetConn() net.Conn }); !ok && wraps {
		s, _ = wrapped.NetConn().(*servedConn)
	}
	return s
}

type connKey struct{}

// Watch makes the server return what its requests held, and makes ConnOf and NetConnOf work. It must be
// called before the server is started.
func Watch(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn := served(c); conn != nil {
			return context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn := served(c); conn != nil && state == http.StateIdle {
			conn.endRequest()
		}
	}
}

// ConnOf returns what the connection of a request holds, nil if it is not counted.
func ConnOf(r *http.Request) *Conn {
	if c, ok := r.Context().Value(connKey{}).(*servedConn); ok {
		return c.held
	}
	return nil
}

// NetConnOf returns the network connection of a request, nil if it is not that of a Listener.
func NetConnOf(r *http.Request) net.Conn {
	if c, ok := r.Context().Value(connKey{}).(*servedConn); ok {
		return c.Conn
	}
	return nil
}
