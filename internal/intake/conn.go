package intake

import (
	"sync/atomic"
	"time"
)

// Conn is what a connection of a client holds. A nil Conn holds nothing and refuses
// nothing.
type Conn struct {
	account *Account
	door    Door
	ip      string
	end     func(idle bool)

	// messageSince is the time at which the message began that the client is sending, and
	// blockedSince the time since which the client has not accepted bytes, both in Unix
	// nanoseconds, 0 if there is none.
	messageSince, blockedSince atomic.Int64

	// The account guards the rest.
	memory int64
	// requests is the number of requests in progress, and idleSince when it was last 0.
	requests  int
	idleSince time.Time
	// condemned is set when the connection is about to be closed, for the cause closedFor.
	condemned bool
	closedFor Cause
}

// Close ends the counting of the connection with everything that it holds.
func (c *Conn) Close() {
	if c != nil {
		c.account.remove(c)
	}
}

// Begin and End report that a request is in progress.
func (c *Conn) Begin() { c.countRequests(1) }

// End is the reverse of Begin.
func (c *Conn) End() { c.countRequests(-1) }

func (c *Conn) countRequests(n int) {
	if c == nil {
		return
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if _, open := c.account.conns[c]; !open {
		return // what the connection counted was returned when it closed
	}
	c.account.clients[c.ip].requests += n
	if c.requests += n; c.requests == 0 {
		c.idleSince = time.Now()
	}
}

// MayBegin reports whether another request may be in progress: while requests are refused for
// overload, the clients at one address must leave room in the queues to others.
func (c *Conn) MayBegin() bool {
	if c == nil || c.account.mayBegin(c, time.Now()) {
		return true
	}
	c.account.report(Event{Cause: ManyRequests, Door: c.door, Client: c.ip})
	return false
}

// MessageBegun reports that the client has begun to send a message, MessageEnded that all
// of it has arrived.
func (c *Conn) MessageBegun() {
	if c != nil {
		c.messageSince.Store(time.Now().UnixNano())
	}
}

// MessageEnded is the reverse of MessageBegun.
func (c *Conn) MessageEnded() {
	if c != nil {
		c.messageSince.Store(0)
	}
}

// WriteBegun reports that bytes are being written to the client, WriteEnded that the client
// has accepted them.
func (c *Conn) WriteBegun() {
	if c != nil {
		c.blockedSince.Store(time.Now().UnixNano())
	}
}

// WriteEnded is the reverse of WriteBegun.
func (c *Conn) WriteEnded() {
	if c != nil {
		c.blockedSince.Store(0)
	}
}

// slowSince returns the time since which the client is behind with a message or with
// reading, zero if it is not.
func (c *Conn) slowSince() time.Time {
	message, blocked := c.messageSince.Load(), c.blockedSince.Load()
	if message == 0 || blocked != 0 && blocked < message {
		message = blocked
	}
	if message == 0 {
		return time.Time{}
	}
	return time.Unix(0, message)
}

// isIdle reports whether the connection has no request on it and the client sends none.
func (c *Conn) isIdle() bool {
	return c.requests == 0 && c.messageSince.Load() == 0 && c.blockedSince.Load() == 0
}

// isSlow reports whether the client has been behind for longer than after.
func (c *Conn) isSlow(now time.Time, after time.Duration) bool {
	since := c.slowSince()
	return !since.IsZero() && now.Sub(since) > after
}

// close closes a condemned connection.
func (c *Conn) close() {
	c.account.mu.Lock()
	e := Event{Cause: c.closedFor, Door: c.door, Client: c.ip, Held: c.memory}
	c.account.mu.Unlock()
	c.account.report(e)
	c.end(e.Cause == IdleClosed)
}

// MayReadAhead reports whether a further request may be read from the connection while
// others are in progress on it.
func (c *Conn) MayReadAhead() bool {
	if c == nil {
		return true
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.memory < a.limits.ConnectionMemory && a.roomy()
}

// Roomy reports whether clients hold less than half of what they may.
func (c *Conn) Roomy() bool {
	if c == nil {
		return true
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.account.roomy()
}

// Crowding is how many connections a door has, compared with what it may have.
type Crowding int

// Values of Crowding.
const (
	// Uncrowded means that connections may stay open.
	Uncrowded Crowding = iota
	// Crowded means that connections should be closed after their next response.
	Crowded
	// Overcrowded means that requests should be refused, as the limit is reached.
	Overcrowded
)

// Crowding returns how many connections the door of the connection has.
func (c *Conn) Crowding() Crowding {
	if c == nil {
		return Uncrowded
	}
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	open, limit := c.account.usage.Connections[c.door], c.account.limits.Connections[c.door]
	switch {
	case open > limit:
		return Overcrowded
	case open > limit*2/3:
		return Crowded
	}
	return Uncrowded
}

// MayLinger reports whether the connection may be read for a while before it is closed.
func (c *Conn) MayLinger() bool {
	if c == nil {
		return true
	}
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage.Connections[c.door] < a.limits.Connections[c.door]-max(1, a.limits.Connections[c.door]/(2*lingerShare))
}

// Lease is what one request holds of its connection's memory. The zero Lease belongs to no
// connection, holds nothing and refuses nothing.
type Lease struct {
	conn *Conn
	held int64
}

// Lease returns the lease of a request.
func (c *Conn) Lease() Lease { return Lease{conn: c} }

// Acquire adds n bytes, or reports false if a bound would be exceeded.
func (l *Lease) Acquire(n int64) bool {
	return l.conn == nil || l.conn.account.acquire(l, n)
}

// Take adds n bytes regardless of the bounds.
func (l *Lease) Take(n int64) {
	if l.conn == nil {
		return
	}
	l.conn.account.mu.Lock()
	defer l.conn.account.mu.Unlock()
	l.conn.account.charge(l, n)
}

// Settle replaces what is held by n bytes regardless of the bounds.
func (l *Lease) Settle(n int64) {
	if l.conn == nil {
		return
	}
	l.conn.account.mu.Lock()
	defer l.conn.account.mu.Unlock()
	l.conn.account.charge(l, n-l.held)
}

// Roomy reports whether clients hold less than half of what they may.
func (l *Lease) Roomy() bool { return l.conn.Roomy() }
