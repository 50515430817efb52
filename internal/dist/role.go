package dist

import "time"

// Role is the role of an instance in the distribution. Readers and relays are
// full replicas: they hold every service.
type Role int

// Roles.
const (
	// Leaf holds only its own scope and pulls from relays and readers.
	Leaf Role = iota
	// Relay holds every service and pulls from readers.
	Relay
	// Reader holds every service and reads the configuration source.
	Reader
)

var roleNames = [...]string{"leaf", "relay", "reader"}

// String returns the name of the role.
func (r Role) String() string {
	return roleNames[r]
}

const (
	readersPerZone = 2
	leavesPerRelay = 64
	// promotionDelay and demotionDelay are how long the view must imply a
	// higher or lower role before it is adopted. Jitter at most doubles
	// promotionDelay, so that instances that start together with an
	// incomplete view are not promoted together.
	promotionDelay = time.Second
	demotionDelay  = 10 * time.Second
	// listTimeout is how long a proxy that cannot read the platform's list
	// waits before it may become a reader.
	listTimeout = 10 * time.Second
)

// roleCounts returns the number of readers and relays of a zone with n
// instances. The number of readers does not grow with n.
func roleCounts(n int) (readers, relays int) {
	readers = min(n, readersPerZone)
	if n > leavesPerRelay {
		relays = n / leavesPerRelay
	}
	return readers, relays
}

// roleOf returns the role of the instance with the given rank in a zone of n.
func roleOf(rank, n int) Role {
	readers, relays := roleCounts(n)
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

// roleState holds the current role and a pending change to the role that the
// view implies.
type roleState struct {
	current, target Role
	dueAt           time.Time
}

// updateRole adopts the role that the view implies once the delay has passed.
func (d *Dist) updateRole(now time.Time) {
	if d.cfg.Naive {
		return
	}
	if d.listed != nil && now.Sub(d.started) >= listTrustPeriod {
		d.updateFleet(now, d.fleet.records)
	}
	r := &d.role
	target, known := d.fleet.roles[d.cfg.ID]
	if !known || target == r.current {
		r.target = r.current
		return
	}
	if target != r.target {
		r.target = target
		r.dueAt = now.Add(d.roleDelay(target))
	}
	if now.Before(r.dueAt) || target == Reader && !d.mayBecomeReader(now) {
		return
	}
	d.setRole(target)
}

// mayBecomeReader reports whether the view of the fleet is complete enough for
// the instance to become a reader.
func (d *Dist) mayBecomeReader(now time.Time) bool {
	return d.listReceived || now.Sub(d.started) >= listTimeout
}

func (d *Dist) roleDelay(target Role) time.Duration {
	if target < d.role.current {
		return demotionDelay
	}
	return promotionDelay + jitter(d.rng, promotionDelay)
}

func (d *Dist) setRole(role Role) {
	d.emit(RoleChanged{From: d.role.current, To: role})
	if d.role.current == Reader {
		d.stopWatch()
	}
	d.role.current = role
	if role == Leaf && d.current != nil {
		d.current = d.current.Restrict(d.scope())
	}
}
