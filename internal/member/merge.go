package member

import "time"

// mergeNews merges a message and notes whether it changed the table.
func (m *Members) mergeNews(now time.Time, g *Gossip, hot bool) {
	before := m.table.hash
	m.merge(now, g, hot)
	if m.table.hash != before {
		m.exchange.news = now
	}
}

// merge takes in the news of a message. Hot news is passed on at once.
func (m *Members) merge(now time.Time, g *Gossip, hot bool) {
	for _, r := range g.Records {
		m.mergeRecord(now, g.From, r, true, hot)
	}
	for _, b := range g.Beats {
		m.mergeBeats(now, g.From, b, hot)
	}
	for _, s := range g.Suspicions {
		m.mergeSuspicion(now, s)
	}
	for _, r := range g.Rumours {
		m.learnRumour(now, g.From, r)
	}
}

// mergeBeats applies changes of known records. Those of unknown ones are left
// to the exchange of tables.
func (m *Members) mergeBeats(now time.Time, from string, b Beats, hot bool) {
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
		m.mergeRecord(now, from, r, false, hot)
	}
}

func (m *Members) mergeRecord(now time.Time, from string, r Record, whole, hot bool) {
	if r.ID == m.me.ID {
		m.refute(r)
		return
	}
	e, ok := m.table.byID[r.ID]
	switch {
	case !ok:
		m.join(now, from, r, hot)
	case compare(r, e.Record) <= 0:
		m.correct(from, r, e)
	case r.State == Dead:
		m.mergeDead(now, from, e, r, hot)
	default:
		m.replace(e, r, "gossip of "+from)
		m.queue.add(&update{entry: e, whole: whole, hot: hot})
	}
}

// join adds an instance that was not known. A dead one is remembered only if
// the platform still lists it.
func (m *Members) join(now time.Time, from string, r Record, hot bool) {
	listing, listed := m.listed[r.ID]
	if r.State == Dead && !listed {
		return
	}
	if len(m.table.sorted) >= maxInstances {
		m.emit(Violation{From: from, Cause: causeTableFull})
		return
	}
	e := m.table.put(r)
	e.since = now
	e.listed = listed
	e.listedLeaving = listed && leavingOn(listing)
	m.queue.add(&update{entry: e, whole: true, hot: hot})
	m.transition(e, Dead, "joined")
}

// replace puts a newer record of a live instance in place of an older one. It
// refutes every doubt about the older one.
func (m *Members) replace(e *entry, r Record, cause string) {
	from := e.state()
	m.table.put(r)
	e.suspected = time.Time{}
	e.partitioned = false
	delete(m.inquiries, e.ID)
	m.changed = true
	m.transition(e, from, cause)
}

// mergeDead believes another instance's claim that an instance is dead, unless
// this one heard it lately or much of the fleet is unreachable.
func (m *Members) mergeDead(now time.Time, from string, e *entry, r Record, hot bool) {
	if now.Sub(e.heard) < m.cfg.SuspectAfter || m.unreachable().massFailure(e) {
		m.suspect(now, e, now, "called dead by "+from)
		return
	}
	m.bury(now, e, r, "called dead by "+from, hot)
}

// bury marks an instance as dead; r is the newest record known of it.
func (m *Members) bury(now time.Time, e *entry, r Record, cause string, hot bool) {
	from := e.state()
	r.State = Dead
	m.table.put(r)
	e.since = now
	e.suspected = time.Time{}
	e.partitioned = false
	delete(m.inquiries, e.ID)
	m.queue.add(&update{entry: e, hot: hot})
	m.transition(e, from, cause)
}

// correct tells a sender that its own record is older than one known here,
// which happens after a restart with an earlier clock.
func (m *Members) correct(from string, r Record, e *entry) {
	if r.ID == from && compare(r, e.Record) < 0 {
		m.corrections = append(m.corrections, e.Record)
	}
}

// refute raises this instance's record above a claim of others about it.
func (m *Members) refute(claim Record) {
	if compare(claim, m.me.Record) <= 0 {
		return
	}
	r := m.me.Record
	if claim.Incarnation > r.Incarnation {
		r.Incarnation = claim.Incarnation + 1
		m.updateSelf(r, true)
		return
	}
	r.Seq = claim.Seq
	m.updateSelf(r, false)
}

// lately reports whether this process started, or ran again after a pause, so
// lately that messages may have waited for it.
func (m *Members) lately(now time.Time) bool {
	return m.lastTick.IsZero() || now.Sub(m.woke) < m.cfg.Interval
}

func (m *Members) learnRumour(now time.Time, from string, r Rumour) {
	if !r.valid() {
		m.emit(Violation{From: from, Cause: causeRumour})
		return
	}
	stale := from != m.me.ID && m.lately(now)
	if h, ok := m.rumours.add(now, r, stale); ok {
		if !stale {
			m.queue.add(&update{rumour: h, hot: true})
		}
		m.emit(Learnt{Rumour: r})
	}
}
