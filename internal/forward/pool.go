package forward

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a connection attempt: a machine that is off answers
	// nothing, while one that is there answers within milliseconds.
	dialTimeout    = 400 * time.Millisecond
	maxIdlePerHost = 130
	maxIdleTime    = 30 * time.Second
	// freshTime is the longest idle time after which a connection may carry a
	// request that must not be repeated: the receiver may be closing an older
	// one, and the outcome would be unknown.
	freshTime = time.Second
	// closeMargin is taken off the idle time that a receiver announces.
	closeMargin = time.Second
	// userTimeout ends a connection whose bytes are not acknowledged;
	// keepAliveIdle, keepAliveInterval and keepAliveCount one that is idle and
	// silent. Both are below the 3 s after which a machine counts as in touch.
	userTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlled := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.CombineErrors(controlled, err)
	},
}

// Dial opens a connection to an address. It is the place for authentication.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a plain TCP connection that ends soon after its other end has
// fallen silent.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// Pool keeps HTTP/1.1 connections. Unlike http.Transport it never sends a
// request a second time by itself. It is safe for concurrent use.
type Pool struct {
	dial Dial
	// limit bounds the connections to one address, 0 if there is no bound.
	limit int

	mu     sync.Mutex
	hosts  map[string]*hostPool
	closed bool
	// sweep closes connections that were idle too long; nil while none is.
	sweep *time.Timer
}

// hostPool holds the connections to one address.
type hostPool struct {
	open int
	// idle is ordered by the time of the last use, oldest first.
	idle []*connection
}

// NewPool returns an empty pool with at most limit connections to one
// address, any number if limit is 0.
func NewPool(dial Dial, limit int) *Pool {
	return &Pool{dial: dial, limit: limit, hosts: make(map[string]*hostPool)}
}

// Close closes the idle connections; busy ones close after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.sweep != nil {
		p.sweep.Stop()
	}
	p.closeIdle(time.Now().Add(maxIdleTime))
}

// acquire returns an open connection to the address. Fresh asks for one that
// was used a moment ago, or a new one.
func (p *Pool) acquire(ctx context.Context, deadline time.Time, address string, fresh bool) (*connection, error) {
	for {
		c, err := p.pop(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		limit := c.idleLimit
		if fresh {
			limit = min(limit, freshTime)
		}
		if time.Since(c.since) < limit && c.alive() {
			return c, nil
		}
		p.discard(c)
	}
	c, err := p.open(ctx, deadline, address)
	if err != nil {
		p.closedOne(address)
		return nil, err
	}
	return c, nil
}

// pop returns the idle connection that was used last. It returns nil if the
// caller is to open one.
func (p *Pool) pop(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostPool{}
		p.hosts[address] = h
	}
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		return c, nil
	}
	if p.limit > 0 && h.open >= p.limit {
		return nil, errors.Wrap(ErrNotSent, "too many connections")
	}
	h.open++
	return nil, nil
}

func (p *Pool) open(ctx context.Context, deadline time.Time, address string) (*connection, error) {
	if limit := time.Now().Add(dialTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	return newConnection(c, address), nil
}

// put keeps a connection for the next exchange.
func (p *Pool) put(c *connection) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	if p.closed || len(h.idle) >= maxIdlePerHost {
		p.forget(c.address)
		_ = c.Close()
		return
	}
	h.idle = append(h.idle, c)
	if p.sweep == nil {
		p.sweep = time.AfterFunc(maxIdleTime, p.sweepIdle)
	}
}

// discard closes a connection that is not kept.
func (p *Pool) discard(c *connection) {
	_ = c.Close()
	p.closedOne(c.address)
}

func (p *Pool) closedOne(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(address)
}

func (p *Pool) forget(address string) {
	h := p.hosts[address]
	h.open--
	if h.open == 0 {
		delete(p.hosts, address)
	}
}

// sweepIdle closes connections that were idle too long.
func (p *Pool) sweepIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep = nil
	if p.closed {
		return
	}
	if p.closeIdle(time.Now().Add(-maxIdleTime)) {
		p.sweep = time.AfterFunc(maxIdleTime, p.sweepIdle)
	}
}

// closeIdle closes the connections last used before the limit and reports
// whether others are left.
func (p *Pool) closeIdle(limit time.Time) bool {
	left := false
	for address, h := range p.hosts {
		n := 0
		for n < len(h.idle) && h.idle[n].since.Before(limit) {
			_ = h.idle[n].Close()
			n++
		}
		h.idle = append(h.idle[:0], h.idle[n:]...)
		clear(h.idle[len(h.idle):][:n])
		h.open -= n
		if h.open == 0 {
			delete(p.hosts, address)
		}
		left = left || len(h.idle) > 0
	}
	return left
}
