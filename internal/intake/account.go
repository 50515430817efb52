// Package intake counts what clients make a process hold, in memory and in connections,
// and bounds it for the process and for one client. What exceeds a bound is refused
// before it is held. When a bound is reached, the connections that hold most and progress
// least are closed.
package intake

import (
	"net"
	"sync"
	"time"
)

const (
	// relieveInterval is the least time between two searches for slow connections.
	relieveInterval = 20 * time.Millisecond
	// reliefShare is the part of the memory that a search tries to free.
	reliefShare = 8
	// lingerShare is the part of the connections of a door that may be about to close.
	lingerShare = 8
)

// Cause tells why a client was turned away.
type Cause string

// Causes.
const (
	// NoConnection means that a new connection was refused.
	NoConnection Cause = "connections"
	// IdleClosed means that an idle connection was closed for a new one.
	IdleClosed Cause = "idle"
	// SlowClosed means that a connection with an unfinished message was closed for lack of
	// memory or descriptors.
	SlowClosed Cause = "slow"
	// NoMemory means that a request was refused since clients, or those at its address,
	// hold as much memory as they may.
	NoMemory Cause = "memory"
	// ManyRequests means that a request was refused since those at its address have as many
	// in progress as they may while there is an overload.
	ManyRequests Cause = "requests"
)

// Causes lists all causes.
var Causes = []Cause{NoConnection, IdleClosed, SlowClosed, NoMemory, ManyRequests}

// Event reports that a client was turned away.
type Event struct {
	Cause Cause
	Door  Door
	// Client is the IP address of the client.
	Client string
	// Held is what the connection held, in bytes.
	Held int64
}

// Usage is what clients hold.
type Usage struct {
	// Memory is in bytes.
	Memory int64
	// Connections is the number of open connections of each door.
	Connections [doorCount]int
	// PeakMemory and PeakConnections are the highest values so far.
	PeakMemory      int64
	PeakConnections [doorCount]int
}

// Account counts what clients hold. It is safe for concurrent use.
type Account struct {
	limits Limits
	// OnEvent, if set, is called for each client that is turned away. It must be set before
	// the first connection.
	OnEvent func(Event)

	mu      sync.Mutex
	usage   Usage
	clients map[string]*client
	conns   map[*Conn]struct{}
	// leaving is the number of connections of each door that are about to close.
	leaving      [doorCount]int
	lastRelieved time.Time
	// overloadedUntil is the time until which requests count as refused for overload.
	overloadedUntil time.Time
}

// client is what the clients at one address hold.
type client struct {
	memory      int64
	connections [doorCount]int
	// requests is the number of requests in progress.
	requests int
	// open is the number of open connections, those about to close included.
	open int
}

// New returns an account without connections.
func New(limits Limits) *Account {
	return &Account{limits: limits, clients: make(map[string]*client), conns: make(map[*Conn]struct{})}
}

// Usage returns what clients hold.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usage
}

// Limits returns the limits.
func (a *Account) Limits() Limits { return a.limits }

// Open registers a connection from a remote address, HOST:PORT, and reports whether there
// is room for it. The function end closes it, gracefully if it is idle; it is called
// without a lock. Close must be called after the connection has been closed. The
// connections of other proxies are always registered: they are refused by their requests,
// see Conn.Crowding.
func (a *Account) Open(door Door, remote string, end func(idle bool)) (*Conn, bool) {
	if a == nil {
		return nil, true
	}
	ip := hostOf(remote)
	now := time.Now()
	a.mu.Lock()
	c := &Conn{account: a, door: door, ip: ip, end: end, idleSince: now}
	victim, ok := a.roomFor(c, now)
	if ok {
		a.add(c)
	}
	a.mu.Unlock()
	if victim != nil {
		victim.close()
	}
	if !ok {
		a.report(Event{Cause: NoConnection, Door: door, Client: ip})
		return nil, false
	}
	return c, true
}

// roomFor reports whether a new connection may be added, and chooses one to close for it.
func (a *Account) roomFor(c *Conn, now time.Time) (victim *Conn, ok bool) {
	if c.door == Proxies {
		return nil, true
	}
	limit := a.limits.Connections[c.door]
	open := a.usage.Connections[c.door]
	if open >= limit {
		return nil, false
	}
	staying := limit - max(1, limit/lingerShare)
	own := 0
	if held := a.clients[c.ip]; held != nil {
		own = held.connections[c.door]
	}
	ownLimit := int(float64(staying) * a.limits.ClientShare)
	if open-a.leaving[c.door] < staying && own < ownLimit {
		return nil, true
	}
	owner := c.ip
	if own < ownLimit {
		owner = a.largestClient(c.door)
	}
	victim = chooseIdleOrSlow(a.conns, c.door, owner, now, a.limits.SlowAfter)
	if victim == nil {
		return nil, false
	}
	cause := SlowClosed
	if victim.isIdle() {
		cause = IdleClosed
	}
	a.condemn(victim, cause)
	return victim, true
}

// largestClient returns the client with the most connections at a door.
func (a *Account) largestClient(door Door) (ip string) {
	most := -1
	for address, c := range a.clients {
		if n := c.connections[door]; n > most || n == most && address < ip {
			ip, most = address, n
		}
	}
	return ip
}

func (a *Account) add(c *Conn) {
	a.conns[c] = struct{}{}
	owner := a.clients[c.ip]
	if owner == nil {
		owner = &client{}
		a.clients[c.ip] = owner
	}
	owner.open++
	owner.connections[c.door]++
	a.usage.Connections[c.door]++
	a.usage.PeakConnections[c.door] = max(a.usage.PeakConnections[c.door], a.usage.Connections[c.door])
	a.addMemory(c, connectionCost)
}

// condemn marks a connection that is about to be closed. It no longer counts as one that
// its client holds.
func (a *Account) condemn(c *Conn, cause Cause) {
	c.condemned, c.closedFor = true, cause
	a.leaving[c.door]++
	a.clients[c.ip].connections[c.door]--
}

func (a *Account) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.conns[c]; !ok {
		return
	}
	delete(a.conns, c)
	a.addMemory(c, -c.memory)
	a.usage.Connections[c.door]--
	owner := a.clients[c.ip]
	owner.requests -= c.requests
	if c.condemned {
		a.leaving[c.door]--
	} else {
		owner.connections[c.door]--
	}
	if owner.open--; owner.open == 0 {
		delete(a.clients, c.ip)
	}
}

// addMemory adds n bytes, which may be negative, to what a connection holds.
func (a *Account) addMemory(c *Conn, n int64) {
	c.memory += n
	a.usage.Memory += n
	a.usage.PeakMemory = max(a.usage.PeakMemory, a.usage.Memory)
	a.clients[c.ip].memory += n
}

// roomy reports whether clients hold less than half of what they may.
func (a *Account) roomy() bool { return a.usage.Memory < a.limits.Memory/2 }

// AddShared adds n bytes, which may be negative, that no single connection holds.
func (a *Account) AddShared(n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.Memory += n
	a.usage.PeakMemory = max(a.usage.PeakMemory, a.usage.Memory)
}

// acquire adds n bytes to what a request holds, unless a bound would be exceeded. It then
// closes slow connections, whose memory is free a moment later.
func (a *Account) acquire(l *Lease, n int64) bool {
	c := l.conn
	a.mu.Lock()
	if a.fits(c, n) {
		a.charge(l, n)
		a.mu.Unlock()
		return true
	}
	victims := a.relieve(c, time.Now())
	held := c.memory
	a.mu.Unlock()
	for _, v := range victims {
		v.close()
	}
	a.report(Event{Cause: NoMemory, Door: c.door, Client: c.ip, Held: held})
	return false
}

// charge adds n bytes, which may be negative, to what a request holds. A connection that
// was closed has returned everything.
func (a *Account) charge(l *Lease, n int64) {
	if _, open := a.conns[l.conn]; !open {
		l.held = 0
		return
	}
	l.held += n
	a.addMemory(l.conn, n)
}

func (a *Account) fits(c *Conn, n int64) bool {
	if c.condemned && c.closedFor == SlowClosed || a.usage.Memory+n > a.limits.Memory {
		return false
	}
	owner := a.clients[c.ip]
	return owner == nil || owner.memory+n <= a.limits.ClientMemory
}

// relieve condemns slow connections, those of the client of c if that client is at its
// bound.
func (a *Account) relieve(c *Conn, now time.Time) []*Conn {
	if now.Sub(a.lastRelieved) < relieveInterval {
		return nil
	}
	a.lastRelieved = now
	only := ""
	if a.usage.Memory < a.limits.Memory-a.limits.Memory/reliefShare {
		only = c.ip
	}
	victims := chooseSlow(a.conns, a.clients, only, now, a.limits.SlowAfter, a.limits.Memory/reliefShare)
	for _, v := range victims {
		a.condemn(v, SlowClosed)
	}
	return victims
}

// overloadMemory is how long a refusal for overload bounds the requests of a client.
const overloadMemory = time.Second

// Overloaded reports that a request was refused since backend servers have no room for it.
func (a *Account) Overloaded(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.overloadedUntil = now.Add(overloadMemory)
}

// mayBegin reports whether the client of a connection may have another request in progress.
func (a *Account) mayBegin(c *Conn, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limits.ClientRequests <= 0 || !now.Before(a.overloadedUntil) {
		return true
	}
	owner := a.clients[c.ip]
	return owner == nil || owner.requests < a.limits.ClientRequests
}

// CloseBlocked closes the connections whose clients have not accepted the bytes that are being
// written to them for longer than the given time.
func (a *Account) CloseBlocked(now time.Time, after time.Duration) {
	a.mu.Lock()
	var blocked []*Conn
	for c := range a.conns {
		if since := c.blockedSince.Load(); since != 0 && now.Sub(time.Unix(0, since)) > after && !c.condemned {
			a.condemn(c, SlowClosed)
			blocked = append(blocked, c)
		}
	}
	a.mu.Unlock()
	for _, c := range blocked {
		c.close()
	}
}

func (a *Account) report(e Event) {
	if a.OnEvent != nil {
		a.OnEvent(e)
	}
}

// hostOf returns the IP address of HOST:PORT.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
