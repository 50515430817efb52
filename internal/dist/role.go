package dist

import "time"

// Role is the role of an instance in the distribution. Readers and relays are
// full replicas: they hold the configuration of all services.
type Role int

// Roles.
const (
	// Leaf holds only the configuration of the services that it fronts and
	// calls. It pulls from relays and readers.
	Leaf Role = iota
	// Relay is a full replica that pulls from readers.
	Relay
	// Reader is a full replica that reads the configuration source.
	Reader
)

var roleNames = [...]string{"leaf", "relay", "reader"}

// String returns the name of the role.
func (r Role) String() string {
	return roleNames[r]
}

const (
	readersPerZone = 2
	// instancesPerRelay is the number of instances in a zone, of all roles,
	// for each relay of the zone. Zones of up to this size have no relay.
	instancesPerRelay = 64
	// promotionDelay and demotionDelay are how long the membership view must
	// assign a higher or a lower role before the instance changes to it; the
	// order is leaf, relay, reader. Jitter at most doubles promotionDelay, so
	// that instances that start together with an incomplete view are not
	// promoted together.
	promotionDelay = time.Second
	demotionDelay  = 10 * time.Second
	// listTimeout is how long after its start an instance that has not
	// received the platform's instance list waits before it may become a
	// reader.
	listTimeout = 10 * time.Second
)

// roleCounts returns the number of readers and relays of a zone with n
// instances. The number of readers does not grow with n.
func roleCounts(n int) (readers, relays int) {
	readers = min(n, readersPerZone)
	if n > instancesPerRelay {
		relays = n / instancesPerRelay
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

// roleState holds the current role and the role that the membership view
// assigns. If they differ, the change is due at dueAt.
type roleState struct {
	current, target Role
	dueAt           time.Time
}

// updateRole changes to the role that the membership view assigns once
// promotionDelay or demotionDelay has passed. It also stops ranking instances
// known only from the platform's list at the end of listTrustPeriod.
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

// mayBecomeReader reports whether the instance has received the platform's
// instance list or has waited listTimeout for it. Without the list, a view that
// is still incomplete could assign the role to too many instances.
func (d *Dist) mayBecomeReader(now time.Time) bool {
	return d.listReceived || now.Sub(d.started) >= listTimeout
}

// roleDelay returns how long the membership view must assign the target role.
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
