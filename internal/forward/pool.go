package forward

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout limits a connection attempt. An unreachable machine does not
	// respond at all, while a reachable one responds within milliseconds.
	dialTimeout    = 400 * time.Millisecond
	maxIdlePerHost = 130
	maxIdleTime    = 30 * time.Second
	// maxNonRepeatableIdle is the longest idle time after which a connection
	// may carry a request that must not be repeated. The receiver may be
	// closing a connection that was idle longer, and the outcome would be
	// unknown.
	maxNonRepeatableIdle = time.Second
	// keepAliveMargin is subtracted from the idle timeout that a receiver
	// announces.
	keepAliveMargin = time.Second
	// userTimeout closes a connection whose data is not acknowledged.
	// keepAliveIdle, keepAliveInterval and keepAliveCount close an idle
	// connection whose peer does not respond. Both take 2 s, less than the 3 s
	// after which the platform's bounds apply again to a machine that was
	// disconnected.
	userTimeout       = 2 * time.Second
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.CombineErrors(controlErr, err)
	},
}

// Dial opens a connection to an address. Authentication, such as a TLS
// handshake, belongs here.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a plain TCP connection that is closed within seconds if the
// peer stops responding.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, "tcp", address)
}

// Pool is a pool of HTTP/1.1 client connections. Unlike http.Transport it never
// resends a request by itself. It is safe for concurrent use.
type Pool struct {
	dial Dial
	// maxPerHost limits the connections to one address, maxTotal all of them; 0 means no
	// limit.
	maxPerHost, maxTotal int

	mu    sync.Mutex
	hosts map[string]*hostPool
	// openCount is the number of connections to all addresses, peakCount its highest value.
	openCount, peakCount int
	closed               bool
	// sweepTimer runs sweepIdle. It is nil while there is no idle connection.
	sweepTimer *time.Timer
}

// hostPool holds the connections to one address.
type hostPool struct {
	openCount int
	// idle is ordered by the time of last use, oldest first.
	idle []*connection
}

// NewPool returns an empty pool with at most maxPerHost connections to one
// address, without a limit if maxPerHost is 0.
func NewPool(dial Dial, maxPerHost int) *Pool {
	return &Pool{dial: dial, maxPerHost: maxPerHost, hosts: make(map[string]*hostPool)}
}

// Close closes the idle connections. Connections in use are closed after their
// exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	p.closeIdleBefore(time.Now().Add(maxIdleTime))
}

// acquire returns an open connection to the address. For a request that must
// not be repeated it is new or was used within maxNonRepeatableIdle.
func (p *Pool) acquire(ctx context.Context, deadline time.Time, address string, nonRepeatable bool) (*connection, error) {
	for {
		c, err := p.takeIdleOrReserve(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		maxIdle := c.maxIdle
		if nonRepeatable {
			maxIdle = min(maxIdle, maxNonRepeatableIdle)
		}
		if time.Since(c.idleSince) < maxIdle && c.alive() {
			return c, nil
		}
		p.discard(c)
	}
	c, err := p.dialNew(ctx, deadline, address)
	if err != nil {
		p.release(address)
		return nil, err
	}
	return c, nil
}

// takeIdleOrReserve returns the idle connection that was used last. If there is
// none, it reserves a connection for the caller to open and returns nil.
func (p *Pool) takeIdleOrReserve(address string) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostPool{}
	}
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle[n-1] = nil
		h.idle = h.idle[:n-1]
		return c, nil
	}
	if p.maxPerHost > 0 && h.openCount >= p.maxPerHost {
		return nil, errors.Wrap(ErrNotSent, "connection limit of the address reached")
	}
	if p.maxTotal > 0 && p.openCount >= p.maxTotal && !p.closeOldestIdle() {
		return nil, errors.Mark(errors.Wrap(ErrNotSent, "connection limit reached"), errNoConnection)
	}
	h.openCount++
	p.openCount++
	p.peakCount = max(p.peakCount, p.openCount)
	p.hosts[address] = h
	return nil, nil
}

// closeOldestIdle closes the idle connection that was used least recently. It reports whether
// there is one.
func (p *Pool) closeOldestIdle() bool {
	var oldest string
	for address, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == "" || h.idle[0].idleSince.Before(p.hosts[oldest].idle[0].idleSince)) {
			oldest = address
		}
	}
	if oldest == "" {
		return false
	}
	h := p.hosts[oldest]
	_ = h.idle[0].Close()
	h.idle = slices.Delete(h.idle, 0, 1)
	p.releaseLocked(oldest, 1)
	return true
}

// PeakConnections returns the highest number of connections to all addresses so far.
func (p *Pool) PeakConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakCount
}

// LimitTotal bounds the connections to all addresses; 0 means no limit. It must be called
// before the first request.
func (p *Pool) LimitTotal(n int) { p.maxTotal = n }

func (p *Pool) dialNew(ctx context.Context, deadline time.Time, address string) (*connection, error) {
	full := time.Now().Add(dialTimeout)
	dialDeadline := full
	if deadline.Before(full) {
		dialDeadline = deadline
	}
	dialCtx, cancel := context.WithDeadline(ctx, dialDeadline)
	defer cancel()
	c, err := p.dial(dialCtx, address)
	if err == nil {
		return newConnection(c, address), nil
	}
	notSent := errors.Wrapf(ErrNotSent, "%v", err)
	if ctx.Err() != nil || isTimeout(err) && !timedOut(dialDeadline, full) {
		return nil, notSent
	}
	return nil, errors.Mark(notSent, errUnreachable)
}

// timedOut reports whether a connection attempt that ended at a deadline had the full time
// and the process was not paused meanwhile: a connection opened by then goes unnoticed.
func timedOut(deadline, full time.Time) bool {
	return deadline.Equal(full) && time.Since(deadline) < maxExpiryMargin
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// put returns a connection to the pool.
func (p *Pool) put(c *connection) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	if p.closed || len(h.idle) >= maxIdlePerHost {
		p.releaseLocked(c.address, 1)
		_ = c.Close()
		return
	}
	h.idle = append(h.idle, c)
	if p.sweepTimer == nil {
		p.sweepTimer = time.AfterFunc(maxIdleTime, p.sweepIdle)
	}
}

// discard closes a connection instead of returning it to the pool.
func (p *Pool) discard(c *connection) {
	_ = c.Close()
	p.release(c.address)
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseLocked(address, 1)
}

// releaseLocked counts n connections to an address as closed.
func (p *Pool) releaseLocked(address string, n int) {
	h := p.hosts[address]
	h.openCount -= n
	p.openCount -= n
	if h.openCount == 0 {
		delete(p.hosts, address)
	}
}

// sweepIdle closes connections that were idle for longer than maxIdleTime.
func (p *Pool) sweepIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepTimer = nil
	if p.closed {
		return
	}
	if p.closeIdleBefore(time.Now().Add(-maxIdleTime)) {
		p.sweepTimer = time.AfterFunc(maxIdleTime, p.sweepIdle)
	}
}

// closeIdleBefore closes the idle connections last used before the limit and
// reports whether others remain.
func (p *Pool) closeIdleBefore(limit time.Time) bool {
	remaining := false
	for address, h := range p.hosts {
		n := 0
		for n < len(h.idle) && h.idle[n].idleSince.Before(limit) {
			_ = h.idle[n].Close()
			n++
		}
		h.idle = append(h.idle[:0], h.idle[n:]...)
		clear(h.idle[len(h.idle):][:n])
		p.releaseLocked(address, n)
		remaining = remaining || len(h.idle) > 0
	}
	return remaining
}
