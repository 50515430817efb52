package dist

import "time"

// Role is the part that an instance takes in the distribution.
type Role int

// Roles.
const (
	// Leaf holds its own scope and pulls from relays and readers.
	Leaf Role = iota
	// Relay holds every service and pulls from readers.
	Relay
	// Reader holds every service and reads the source.
	Reader
)

var roleNames = [...]string{"leaf", "relay", "reader"}

// String returns the role's name.
func (r Role) String() string {
	return roleNames[r]
}

const (
	readersPerZone = 2
	leavesPerRelay = 64
	// promoteAfter and demoteAfter are how long the view must call for a
	// higher or lower role before it is taken. Promotion is jittered by as
	// much again, so that a herd that knows little does not rise at once.
	promoteAfter = time.Second
	demoteAfter  = 10 * time.Second
	// readWithoutList is how long a proxy that could not read the platform's
	// list waits before it takes itself for a reader.
	readWithoutList = 10 * time.Second
)

// holders returns the number of readers and relays of a zone with n instances.
// The number of readers does not grow with n.
func holders(n int) (readers, relays int) {
	readers = min(n, readersPerZone)
	if n > leavesPerRelay {
		relays = n / leavesPerRelay
	}
	return readers, relays
}

// roleOf returns the role of the instance at the given rank of n.
func roleOf(rank, n int) Role {
	readers, relays := holders(n)
	switch {
	case rank < 0:
		return Leaf
	case rank < readers:
		return Reader
	case rank < readers+relays:
		return Relay
	default:
		return Leaf
	}
}

// roleState is the role with the change that the view calls for.
type roleState struct {
	current, wanted Role
	changeAt        time.Time
}

// updateRole takes the role that the view has called for long enough.
func (d *Dist) updateRole(now time.Time) {
	if d.cfg.Naive {
		return
	}
	if d.listed != nil && now.Sub(d.started) >= listTrust {
		d.rank(now, d.fleet.records)
	}
	r := &d.role
	wanted, known := d.fleet.roles[d.cfg.ID]
	if !known || wanted == r.current {
		r.wanted = r.current
		return
	}
	if wanted != r.wanted {
		r.wanted = wanted
		r.changeAt = now.Add(d.roleDelay(wanted))
	}
	if now.Before(r.changeAt) || wanted == Reader && !d.mayRead(now) {
		return
	}
	d.setRole(wanted)
}

// mayRead reports whether the instance knows enough of the fleet to take
// itself for a reader.
func (d *Dist) mayRead(now time.Time) bool {
	return d.listRead || now.Sub(d.started) >= readWithoutList
}

func (d *Dist) roleDelay(wanted Role) time.Duration {
	if wanted < d.role.current {
		return demoteAfter
	}
	return promoteAfter + jitter(d.rng, promoteAfter)
}

func (d *Dist) setRole(role Role) {
	d.emit(RoleChanged{From: d.role.current, To: role})
	if d.role.current == Reader {
		d.stopSource()
	}
	d.role.current = role
	if role == Leaf && d.current != nil {
		d.current = d.current.Restrict(d.scope())
	}
}
