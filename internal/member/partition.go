package member

import (
	"time"

	"heatherlift.example/heatherlift/internal/source"
)

const (
	// massLeast is the number of unreachable instances below which they have
	// failed one by one.
	massLeast = 3
	// massShare is the share of the fleet, as a divisor, that counts as a
	// partition, and massZoneShare that of one availability zone.
	massShare     = 10
	massZoneShare = 2
	// buryRounds is how long, in units of SuspectAfter, an instance is suspect
	// before it counts as dead, and waitRounds the same while several are.
	buryRounds = 2
	waitRounds = 4
	// zoneProbes is about how many instances probe another instance of the
	// availability zone of a new suspect, to find out whether all of it is lost.
	zoneProbes = 24
	// partitionProbes is how many instances of an availability zone in doubt
	// are probed in a round.
	partitionProbes = 4
	// expiryParts is how often in an interval suspicions are looked at.
	expiryParts = 4
	// partitionLimit is how long a partition may last.
	partitionLimit = 24 * time.Hour
	// delistedAfter is how long after it left the platform's list an instance
	// that is partitioned counts as dead.
	delistedAfter = 10 * time.Second
)

// expireStates turns suspects dead or partitioned, and forgets the dead and
// old rumours.
func (m *Members) expireStates(now time.Time) {
	if now.Sub(m.lastExpiry) < m.cfg.Interval/expiryParts {
		return
	}
	m.lastExpiry = now
	m.rumours.expire(now)
	var expired []*entry
	for _, e := range m.table.sorted {
		switch e.state() {
		case Suspect:
			if now.Sub(e.suspected) >= m.cfg.SuspectAfter {
				expired = append(expired, e)
			}
		case Partitioned:
			if m.partitionOver(now, e) {
				expired = append(expired, e)
			}
		case Dead:
			if now.Sub(e.since) >= m.cfg.ForgetAfter && !e.listed {
				expired = append(expired, e)
			}
		}
	}
	if len(expired) == 0 {
		return
	}
	c := m.unreachable()
	for _, e := range expired {
		m.expireState(now, e, c)
	}
}

func (m *Members) expireState(now time.Time, e *entry, c census) {
	switch e.state() {
	case Dead:
		m.table.remove(e)
		delete(m.retries, e.ID)
	case Partitioned:
		m.bury(now, e, e.Record, "partitioned and not on the platform's list", true)
	case Suspect:
		m.expireSuspect(now, e, c)
	}
}

func (m *Members) expireSuspect(now time.Time, e *entry, c census) {
	missed := now.Sub(e.suspected)
	switch {
	case e.State == Leaving || e.listedLeaving:
		m.bury(now, e, e.Record, "left", true)
	case m.isolated(now):
		// This proxy hears nobody, so the fault is likely its own.
	case c.massFailure(e):
		e.partitioned = true
		e.since = now
		m.transition(e, Suspect, "unreachable with a large share of the fleet")
	case missed < buryRounds*m.cfg.SuspectAfter:
	case c.total >= massLeast && missed < waitRounds*m.cfg.SuspectAfter:
	default:
		m.bury(now, e, e.Record, "no answer", true)
	}
}

// partitionOver reports whether a partitioned instance is gone for good.
func (m *Members) partitionOver(now time.Time, e *entry) bool {
	if !e.delisted.IsZero() && now.Sub(e.delisted) >= delistedAfter {
		return true
	}
	return now.Sub(e.since) >= partitionLimit
}

// census counts the instances that are not dead or leaving.
type census struct {
	known, total int
	// zoneKnown and zoneTotal are the same for each availability zone.
	zoneKnown, zoneTotal map[string]int
}

// unreachable counts the instances that do not answer.
func (m *Members) unreachable() census {
	c := census{zoneKnown: make(map[string]int), zoneTotal: make(map[string]int)}
	for _, e := range m.table.sorted {
		if e.State != Alive || e.listedLeaving {
			continue
		}
		c.known++
		c.zoneKnown[e.AvailabilityZone]++
		if e.state() >= Suspect {
			c.total++
			c.zoneTotal[e.AvailabilityZone]++
		}
	}
	return c
}

// massFailure reports whether so much is unreachable, in the fleet or in the
// instance's zone, that the network is the likely cause.
func (c census) massFailure(e *entry) bool {
	zone := e.AvailabilityZone
	return c.total >= max(massLeast, c.known/massShare) ||
		c.zoneTotal[zone] >= max(massLeast, c.zoneKnown[zone]/massZoneShare)
}

// isolated reports whether this proxy has heard no peer for long.
func (m *Members) isolated(now time.Time) bool {
	return len(m.table.sorted) > massLeast && now.Sub(m.lastContact) >= max(m.cfg.SuspectAfter, massLeast*m.cfg.Interval)
}

// endIsolation trusts everyone again: what was missed meanwhile was missed
// because of this proxy's own fault.
func (m *Members) endIsolation() {
	for _, e := range m.table.sorted {
		if s := e.state(); s == Suspect || s == Partitioned {
			m.trust(e, "contact regained")
			delete(m.retries, e.ID)
		}
	}
	m.exchange.due = true
}

// probeZone probes another instance of the suspect's availability zone, if it
// falls to this proxy.
func (m *Members) probeZone(now time.Time, suspect *entry) {
	if m.rng.IntN(len(m.table.sorted)) >= zoneProbes {
		return
	}
	mates := m.pick(1, func(e *entry) bool {
		return e.AvailabilityZone == suspect.AvailabilityZone && m.inquiries[e.ID] == nil
	})
	for _, e := range mates {
		m.send(now, e.target(), direct, m.message(now, e.ID))
	}
}

// probePartition probes a few instances that share their availability zone with
// partitioned ones and have not been heard since.
func (m *Members) probePartition(now time.Time) {
	lost := make(map[string]time.Time)
	for _, e := range m.table.sorted {
		if e.partitioned {
			lost[e.AvailabilityZone] = e.since
		}
	}
	if len(lost) == 0 {
		return
	}
	mates := m.pick(partitionProbes, func(e *entry) bool {
		since, ok := lost[e.AvailabilityZone]
		return ok && e.heard.Before(since) && m.inquiries[e.ID] == nil
	})
	for _, e := range mates {
		m.send(now, e.target(), direct, m.message(now, e.ID))
	}
}

// healZone trusts the instances of an availability zone again after one of
// them has answered; those still out of reach are missed anew.
func (m *Members) healZone(now time.Time, answered *entry) {
	for _, e := range m.table.sorted {
		if e.partitioned && e.AvailabilityZone == answered.AvailabilityZone {
			m.trust(e, "partition healed")
			delete(m.retries, e.ID)
		}
	}
	m.exchange.due = true
}

// list takes over the platform's list, which lags: it adds addresses to probe
// and marks instances as leaving, and never removes one that answers.
func (m *Members) list(now time.Time, instances []source.Instance) {
	clear(m.listed)
	for _, i := range instances {
		m.listed[i.ID] = i
		if i.ID == m.me.ID && leavingOn(i) {
			m.leave()
		}
	}
	for _, e := range m.table.sorted {
		m.listEntry(now, e)
	}
	m.dropRetries()
	if len(m.table.sorted) == 1 {
		m.heal(now) // join at once
	}
}

// dropRetries drops the backoff of instances neither listed nor known.
func (m *Members) dropRetries() {
	for id := range m.retries {
		_, listed := m.listed[id]
		if _, known := m.table.byID[id]; !known && !listed {
			delete(m.retries, id)
		}
	}
}

func (m *Members) listEntry(now time.Time, e *entry) {
	i, listed := m.listed[e.ID]
	from := e.state()
	switch {
	case listed:
		e.delisted = time.Time{}
	case e.listed:
		e.delisted = now
	}
	e.listed = listed
	e.listedLeaving = listed && e != m.me && leavingOn(i)
	m.transition(e, from, "platform's list")
}

func leavingOn(i source.Instance) bool {
	return i.State == source.InstanceLeaving
}
