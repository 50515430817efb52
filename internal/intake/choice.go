package intake

import (
	"cmp"
	"slices"
	"time"
)

// chooseIdleOrSlow returns the connection of a client to close for a new one: the one that
// has been idle longest, else the slow one that has been behind longest, else nil. A
// connection whose requests wait for this process is never chosen.
func chooseIdleOrSlow(conns map[*Conn]struct{}, door Door, ip string, now time.Time, slowAfter time.Duration) *Conn {
	var idle, slow *Conn
	for c := range conns {
		if c.door != door || c.ip != ip || c.condemned {
			continue
		}
		switch {
		case c.isIdle():
			if idle == nil || c.idleSince.Before(idle.idleSince) {
				idle = c
			}
		case c.isSlow(now, slowAfter):
			if slow == nil || c.slowSince().Before(slow.slowSince()) {
				slow = c
			}
		}
	}
	if idle != nil {
		return idle
	}
	return slow
}

// chooseSlow returns slow connections that together hold the wanted bytes, or all that
// there are: those of the client that holds most first, and of these the largest first.
// If only is set, other clients are left alone.
func chooseSlow(conns map[*Conn]struct{}, clients map[string]*client, only string, now time.Time, slowAfter time.Duration, want int64) []*Conn {
	var slow []*Conn
	for c := range conns {
		if !c.condemned && (only == "" || c.ip == only) && c.isSlow(now, slowAfter) {
			slow = append(slow, c)
		}
	}
	slices.SortFunc(slow, func(x, y *Conn) int {
		return cmp.Or(cmp.Compare(clients[y.ip].memory, clients[x.ip].memory), cmp.Compare(y.memory, x.memory))
	})
	for i, c := range slow {
		if want -= c.memory; want <= 0 {
			return slow[:i+1]
		}
	}
	return slow
}
