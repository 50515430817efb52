package intake

import "time"

// Door is a kind of listener. Each one has connections of its own, so that a crowd at one
// door leaves the others open.
type Door int

// Doors.
const (
	// Callers is the door of callers.
	Callers Door = iota
	// Admin and Metrics are the doors of operators and of the platform.
	Admin
	Metrics
	// Proxies is the door of requests that other proxies forward.
	Proxies
	doorCount
)

// String returns the name of the door in logs and metrics.
func (d Door) String() string {
	return [doorCount]string{Callers: "callers", Admin: "admin", Metrics: "metrics", Proxies: "proxies"}[d]
}

// Doors lists all doors.
var Doors = []Door{Callers, Admin, Metrics, Proxies}

// Limits bounds what clients may make a process hold.
type Limits struct {
	// Memory is what all clients together may hold, in bytes, and ClientMemory what those
	// at one address may.
	Memory, ClientMemory int64
	// ConnectionMemory is what a connection may hold, in bytes, while further requests are
	// read from it. The first request of a connection may hold more.
	ConnectionMemory int64
	// Connections bounds the open connections of each door.
	Connections [doorCount]int
	// ClientShare is the part of the connections of a door that clients at one address
	// may hold, between 0 and 1.
	ClientShare float64
	// ClientRequests is the number of requests that clients at one address may have in
	// progress while requests are refused for overload, 0 for no bound.
	ClientRequests int
	// SlowAfter is how long a client may take for a message, or be blocked, before its
	// connection may be closed for lack of memory or descriptors.
	SlowAfter time.Duration
}

// Costs of what is held, in bytes.
const (
	// connectionCost is a connection with its buffers and its goroutine.
	connectionCost = 12 << 10
	// RequestCost is a request in progress apart from its header and bodies: its
	// goroutines, its state in the reducer and the buffers of its exchange.
	RequestCost = 16 << 10
	// fieldCost is a parsed header field apart from its bytes, and byteCost the factor for
	// these: they are held as received and as parsed.
	fieldCost, byteCost = 320, 2
)

// HeaderCost returns what a header with the given number of fields and bytes holds.
func HeaderCost(fields, bytes int) int64 {
	return int64(fields)*fieldCost + int64(bytes)*byteCost
}
