package member

import (
	"time"

	"heatherlift.example/heatherlift/internal/source"
)

const (
	// minMassFailure is the least number of unreachable instances that counts
	// as a mass failure. Fewer are taken to have failed independently.
	minMassFailure = 3
	// massFailureDivisor is the divisor of the fleet size, and
	// massFailureZoneDivisor that of the size of an availability zone, that
	// gives the number of unreachable instances that counts as a mass failure.
	massFailureDivisor     = 10
	massFailureZoneDivisor = 2
	// deadAfterFactor is how long, in units of SuspectAfter, an instance is
	// suspect before it is marked dead. multipleDeadAfterFactor applies instead
	// while at least minMassFailure instances are unreachable.
	deadAfterFactor         = 2
	multipleDeadAfterFactor = 4
	// zoneProbers is the approximate number of instances in the fleet that
	// probe another instance of a new suspect's availability zone, to find out
	// whether the whole zone is lost.
	zoneProbers = 24
	// partitionProbes is how many instances of availability zones with
	// partitioned instances are probed in a round.
	partitionProbes = 4
	// expiryChecksPerInterval is how often in an interval the states are
	// checked for expiry.
	expiryChecksPerInterval = 4
	// maxPartitionDuration is how long an instance may be partitioned before it
	// is marked dead.
	maxPartitionDuration = 24 * time.Hour
	// delistedDeadAfter is how long after its removal from the platform's
	// instance list a partitioned instance is marked dead.
	delistedDeadAfter = 10 * time.Second
)

// expireStates marks suspect instances as dead or partitioned and partitioned
// ones as dead once their timeouts have passed. It removes expired rumours, and
// dead records after ForgetAfter unless the instance is still listed.
func (m *Members) expireStates(now time.Time) {
	if now.Sub(m.lastExpiry) < m.cfg.Interval/expiryChecksPerInterval {
		return
	}
	m.lastExpiry = now
	m.rumours.expire(now)
	var expired []*entry
	for _, e := range m.table.sorted {
		switch e.state() {
		case Suspect:
			if now.Sub(e.suspectedAt) >= m.cfg.SuspectAfter {
				expired = append(expired, e)
			}
		case Partitioned:
			if m.partitionExpired(now, e) {
				expired = append(expired, e)
			}
		case Dead:
			if now.Sub(e.stateSince) >= m.cfg.ForgetAfter && !e.listed {
				expired = append(expired, e)
			}
		}
	}
	if len(expired) == 0 {
		return
	}
	c := m.countUnreachable()
	for _, e := range expired {
		m.expireState(now, e, c)
	}
}

func (m *Members) expireState(now time.Time, e *entry, c reachability) {
	switch e.state() {
	case Dead:
		m.table.remove(e)
		delete(m.reconnects, e.ID)
	case Partitioned:
		m.markDead(now, e, e.Record, "partitioned and removed from the platform's list, or partitioned for too long", true)
	case Suspect:
		m.expireSuspect(now, e, c)
	}
}

func (m *Members) expireSuspect(now time.Time, e *entry, c reachability) {
	suspectFor := now.Sub(e.suspectedAt)
	switch {
	case e.State == Leaving || e.listedLeaving:
		m.markDead(now, e, e.Record, "left", true)
	case m.isolated(now):
		// No peer has been heard from, so the fault is likely on this side.
	case c.massFailure(e):
		e.partitioned = true
		e.stateSince = now
		m.transition(e, Suspect, "unreachable together with a large share of the fleet or zone")
	case suspectFor < deadAfterFactor*m.cfg.SuspectAfter:
	case c.unreachable >= minMassFailure && suspectFor < multipleDeadAfterFactor*m.cfg.SuspectAfter:
	default:
		m.markDead(now, e, e.Record, "no answer", true)
	}
}

// partitionExpired reports whether a partitioned instance is to be marked dead.
func (m *Members) partitionExpired(now time.Time, e *entry) bool {
	if !e.delistedAt.IsZero() && now.Sub(e.delistedAt) >= delistedDeadAfter {
		return true
	}
	return now.Sub(e.stateSince) >= maxPartitionDuration
}

// reachability counts the instances that are neither dead nor leaving.
type reachability struct {
	known, unreachable int
	// zoneKnown and zoneUnreachable are the counts by availability zone.
	zoneKnown, zoneUnreachable map[string]int
}

// countUnreachable counts the known and the unreachable instances. Suspect and
// partitioned instances are unreachable.
func (m *Members) countUnreachable() reachability {
	c := reachability{zoneKnown: make(map[string]int), zoneUnreachable: make(map[string]int)}
	for _, e := range m.table.sorted {
		if e.State != Alive || e.listedLeaving {
			continue
		}
		c.known++
		c.zoneKnown[e.AvailabilityZone]++
		if e.state() >= Suspect {
			c.unreachable++
			c.zoneUnreachable[e.AvailabilityZone]++
		}
	}
	return c
}

// massFailure reports whether so many instances are unreachable, in the fleet or
// in the instance's availability zone, that the network is the likely cause.
func (c reachability) massFailure(e *entry) bool {
	zone := e.AvailabilityZone
	return c.unreachable >= max(minMassFailure, c.known/massFailureDivisor) ||
		c.zoneUnreachable[zone] >= max(minMassFailure, c.zoneKnown[zone]/massFailureZoneDivisor)
}

// isolated reports whether this proxy has heard from no peer for SuspectAfter
// and at least minMassFailure intervals, in a table of more than minMassFailure
// instances.
func (m *Members) isolated(now time.Time) bool {
	return len(m.table.sorted) > minMassFailure && now.Sub(m.lastContact) >= max(m.cfg.SuspectAfter, minMassFailure*m.cfg.Interval)
}

// endIsolation clears all suspicions and partitions when contact is regained:
// the fault that caused them was most likely on this proxy's side.
func (m *Members) endIsolation() {
	for _, e := range m.table.sorted {
		if s := e.state(); s == Suspect || s == Partitioned {
			m.clearSuspicion(e, "contact regained")
			delete(m.reconnects, e.ID)
		}
	}
	m.exchange.due = true
}

// probeZone probes another instance of the suspect's availability zone. Each
// proxy decides at random, so that about zoneProbers of the fleet do so.
func (m *Members) probeZone(now time.Time, suspect *entry) {
	if m.rng.IntN(len(m.table.sorted)) >= zoneProbers {
		return
	}
	peers := m.sampleLive(1, func(e *entry) bool {
		return e.AvailabilityZone == suspect.AvailabilityZone && m.indirectProbes[e.ID] == nil
	})
	for _, e := range peers {
		m.send(now, e.target(), purposeDirect, m.newMessage(now, e.ID))
	}
}

// probePartition probes a few instances that share an availability zone with
// partitioned ones and have not been heard from since those were marked.
func (m *Members) probePartition(now time.Time) {
	partitionedSince := make(map[string]time.Time)
	for _, e := range m.table.sorted {
		if e.partitioned {
			partitionedSince[e.AvailabilityZone] = e.stateSince
		}
	}
	if len(partitionedSince) == 0 {
		return
	}
	peers := m.sampleLive(partitionProbes, func(e *entry) bool {
		since, ok := partitionedSince[e.AvailabilityZone]
		return ok && e.lastHeard.Before(since) && m.indirectProbes[e.ID] == nil
	})
	for _, e := range peers {
		m.send(now, e.target(), purposeDirect, m.newMessage(now, e.ID))
	}
}

// healZone clears the partitioned mark of all instances of an availability zone
// after one of them has answered. Those that are still unreachable will become
// suspect again.
func (m *Members) healZone(now time.Time, answered *entry) {
	for _, e := range m.table.sorted {
		if e.partitioned && e.AvailabilityZone == answered.AvailabilityZone {
			m.clearSuspicion(e, "partition healed")
			delete(m.reconnects, e.ID)
		}
	}
	m.exchange.due = true
}

// handleListed applies the platform's instance list, which may be out of date.
// It adds addresses to probe, marks instances as leaving and notes which are no
// longer listed, but never removes an instance that answers.
func (m *Members) handleListed(now time.Time, instances []source.Instance) {
	clear(m.listed)
	for _, i := range instances {
		m.listed[i.ID] = i
		if i.ID == m.self.ID && isLeaving(i) {
			m.leave()
		}
	}
	for _, e := range m.table.sorted {
		m.applyListing(now, e)
	}
	m.pruneReconnects()
	if len(m.table.sorted) == 1 {
		m.reconnect(now) // join without waiting for the next round
	}
}

// pruneReconnects removes the backoff of instances that are neither on the
// platform's instance list nor in the member table.
func (m *Members) pruneReconnects() {
	for id := range m.reconnects {
		_, listed := m.listed[id]
		if _, known := m.table.byID[id]; !known && !listed {
			delete(m.reconnects, id)
		}
	}
}

func (m *Members) applyListing(now time.Time, e *entry) {
	i, listed := m.listed[e.ID]
	from := e.state()
	switch {
	case listed:
		e.delistedAt = time.Time{}
	case e.listed:
		e.delistedAt = now
	}
	e.listed = listed
	e.listedLeaving = listed && e != m.self && isLeaving(i)
	m.transition(e, from, "changed on the platform's list")
}

func isLeaving(i source.Instance) bool {
	return i.State == source.InstanceLeaving
}
