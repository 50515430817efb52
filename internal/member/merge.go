package member

import "time"

// mergeMessage merges a message and records the time if it changed the table.
func (m *Members) mergeMessage(now time.Time, g *Gossip, urgent bool) {
	before := m.table.hash
	m.mergeItems(now, g, urgent)
	if m.table.hash != before {
		m.exchange.lastChange = now
	}
}

// mergeItems merges the records, deltas, suspicions and rumours of a message.
// If urgent is set, updates learnt from its records and deltas are pushed
// before the next round.
func (m *Members) mergeItems(now time.Time, g *Gossip, urgent bool) {
	for _, r := range g.Records {
		m.mergeRecord(now, g.From, r, true, urgent)
	}
	for _, b := range g.Deltas {
		m.mergeDeltas(now, g.From, b, urgent)
	}
	for _, s := range g.Suspicions {
		m.mergeSuspicion(now, s)
	}
	for _, r := range g.Rumours {
		m.learnRumour(now, g.From, r)
	}
}

// mergeDeltas applies the deltas of known records. Deltas of unknown records
// are skipped; anti-entropy transfers the full records later.
func (m *Members) mergeDeltas(now time.Time, from string, b DeltaGroup, urgent bool) {
	for i, key := range b.Keys {
		e, ok := m.table.byKey[key]
		if !ok {
			continue
		}
		r := e.Record
		r.Seq = b.Seqs[i]
		r.State = b.State
		r.Version = b.Version
		r.Root = b.Root
		r.Refused = b.Refused
		r.Ready = b.Ready
		r.SourceFailing = b.SourceFailing
		m.mergeRecord(now, from, r, false, urgent)
	}
}

func (m *Members) mergeRecord(now time.Time, from string, r Record, full, urgent bool) {
	if r.ID == m.self.ID {
		m.refute(r)
		return
	}
	e, ok := m.table.byID[r.ID]
	switch {
	case !ok:
		m.join(now, from, r, urgent)
	case compare(r, e.Record) <= 0:
		m.correctSender(from, r, e)
	case r.State == Dead:
		m.mergeDead(now, from, e, r, urgent)
	default:
		m.replace(e, r, "gossip from "+from)
		m.queue.add(&update{entry: e, full: full, urgent: urgent})
	}
}

// join adds an instance that was not known. A dead instance is added only if it
// is on the platform's instance list.
func (m *Members) join(now time.Time, from string, r Record, urgent bool) {
	listing, listed := m.listed[r.ID]
	if r.State == Dead && !listed {
		return
	}
	if len(m.table.sorted) >= maxInstances {
		m.emit(ProtocolViolation{From: from, Cause: causeTableFull})
		return
	}
	e := m.table.put(r)
	e.stateSince = now
	e.listed = listed
	e.listedLeaving = listed && isLeaving(listing)
	m.queue.add(&update{entry: e, full: true, urgent: urgent})
	m.transition(e, Dead, "joined")
}

// replace stores a newer record whose state is not Dead. It refutes any suspicion
// of the older record.
func (m *Members) replace(e *entry, r Record, cause string) {
	from := e.state()
	m.table.put(r)
	e.suspectedAt = time.Time{}
	e.partitioned = false
	delete(m.indirectProbes, e.ID)
	m.viewChanged = true
	m.transition(e, from, cause)
}

// mergeDead merges a peer's claim that an instance is dead. The instance is
// only marked suspect if it was heard from within SuspectAfter, or if so many
// instances are unreachable that the network is the likely cause.
func (m *Members) mergeDead(now time.Time, from string, e *entry, r Record, urgent bool) {
	if now.Sub(e.lastHeard) < m.cfg.SuspectAfter || m.countUnreachable().massFailure(e) {
		m.markSuspect(now, e, now, "reported dead by "+from)
		return
	}
	m.markDead(now, e, r, "reported dead by "+from, urgent)
}

// markDead marks an instance as dead; r is its newest known record.
func (m *Members) markDead(now time.Time, e *entry, r Record, cause string, urgent bool) {
	from := e.state()
	r.State = Dead
	m.table.put(r)
	e.stateSince = now
	e.suspectedAt = time.Time{}
	e.partitioned = false
	delete(m.indirectProbes, e.ID)
	m.queue.add(&update{entry: e, urgent: urgent})
	m.transition(e, from, cause)
}

// correctSender queues a correction for a sender whose record of itself is older
// than the one known here. This happens when a process restarts with a clock
// that is behind and so with a lower incarnation.
func (m *Members) correctSender(from string, r Record, e *entry) {
	if r.ID == from && compare(r, e.Record) < 0 {
		m.corrections = append(m.corrections, e.Record)
	}
}

// refute raises this instance's record above a peer's claim about it, so that
// its own record takes precedence.
func (m *Members) refute(claim Record) {
	if compare(claim, m.self.Record) <= 0 {
		return
	}
	r := m.self.Record
	if claim.Incarnation > r.Incarnation {
		r.Incarnation = claim.Incarnation + 1
		m.updateSelf(r, true)
		return
	}
	r.Seq = claim.Seq
	m.updateSelf(r, false)
}

// recentlyResumed reports whether this process started, or resumed after a
// pause, less than an interval ago. Messages read then may have been buffered
// for an unknown time.
func (m *Members) recentlyResumed(now time.Time) bool {
	return m.lastTick.IsZero() || now.Sub(m.resumedAt) < m.cfg.Interval
}

// learnRumour stores a rumour that is new here and queues it for dissemination. A
// rumour whose remaining lifetime may be wrong, because the message was buffered,
// is stored as stale and not queued.
func (m *Members) learnRumour(now time.Time, from string, r Rumour) {
	if !r.valid() {
		m.emit(ProtocolViolation{From: from, Cause: causeRumour})
		return
	}
	stale := from != m.self.ID && m.recentlyResumed(now)
	if h, ok := m.rumours.add(now, r, stale); ok {
		if !stale {
			m.queue.add(&update{rumour: h, urgent: true})
		}
		m.emit(RumourLearnt{Rumour: r})
	}
}
