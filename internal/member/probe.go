package member

import (
	"maps"
	"slices"
	"time"
)

const (
	// inquiryPeers is the number of peers asked to probe an instance that did
	// not answer.
	inquiryPeers = 3
	// maxAsks bounds the peers that wait for the probe of one instance.
	maxAsks = 16
	// claimRounds is the age, in units of SuspectAfter, from which a suspicion
	// is not passed on any more. It keeps a partition that has healed from
	// spreading doubts.
	claimRounds = 2
)

// inquiry is a probe through other peers.
type inquiry struct {
	pending int
}

// inquire asks other peers to probe an instance that did not answer.
func (m *Members) inquire(now time.Time, id string) {
	e, ok := m.table.byID[id]
	if !ok || e.state() >= Suspect || m.inquiries[id] != nil {
		return
	}
	helpers := m.pick(inquiryPeers, func(h *entry) bool { return h != e && m.inquiries[h.ID] == nil })
	if len(helpers) == 0 {
		m.suspect(now, e, now, "no answer")
		return
	}
	m.inquiries[id] = &inquiry{pending: len(helpers)}
	for _, h := range helpers {
		g := m.message(now, h.ID)
		g.Probe = id
		m.send(now, h.target(), indirect, g)
	}
}

// concludeIndirect counts the outcome of one indirect probe.
func (m *Members) concludeIndirect(now time.Time, id string, reached bool) {
	q, ok := m.inquiries[id]
	if !ok {
		return
	}
	q.pending--
	switch {
	case reached:
		delete(m.inquiries, id)
	case q.pending == 0:
		delete(m.inquiries, id)
		if e, ok := m.table.byID[id]; ok {
			m.suspect(now, e, now, "no answer, directly or through peers")
		}
	}
}

// probeFor probes an instance for a peer and reports whether the answer waits.
func (m *Members) probeFor(now time.Time, call uint64, id string) bool {
	e, ok := m.table.byID[id]
	if !ok || e == m.me || e.State == Dead {
		return false
	}
	waiting := m.asks[id]
	if len(waiting) >= maxAsks {
		return false
	}
	m.asks[id] = append(waiting, call)
	if len(waiting) == 0 {
		m.send(now, e.target(), proxied, m.message(now, id))
	}
	return true
}

// releaseAsk answers the peers that wait for the probe of an instance.
func (m *Members) releaseAsk(id string, reached bool) {
	for _, call := range m.asks[id] {
		g := Gossip{From: m.me.ID, Table: m.table.hash, Probe: id, Reached: reached}
		m.emit(Reply{Call: call, Message: g})
	}
	delete(m.asks, id)
}

func (m *Members) releaseAsks() {
	for _, id := range slices.Sorted(maps.Keys(m.asks)) {
		m.releaseAsk(id, false)
	}
}

// reached notes that an instance answered.
func (m *Members) reached(now time.Time, id string) {
	m.releaseAsk(id, true)
	delete(m.inquiries, id)
	delete(m.retries, id)
	e, ok := m.table.byID[id]
	if !ok {
		return
	}
	if e.partitioned {
		m.healZone(now, e)
		return
	}
	m.trust(e, "answered")
}

// trust ends the suspicion of an instance.
func (m *Members) trust(e *entry, cause string) {
	from := e.state()
	e.suspected = time.Time{}
	e.partitioned = false
	m.transition(e, from, cause)
}

// suspect marks an instance as not answering since the given time.
func (m *Members) suspect(now time.Time, e *entry, since time.Time, cause string) {
	if e == m.me || e.State == Dead || !e.suspected.IsZero() {
		return
	}
	from := e.state()
	e.suspected = since
	m.queue.add(&update{suspect: e, hot: true})
	m.transition(e, from, cause)
	m.probeZone(now, e)
}

// addSuspicion adds the suspicion of an instance unless it is too old.
func (m *Members) addSuspicion(now time.Time, g *Gossip, e *entry) {
	age := now.Sub(e.suspected)
	if e.suspected.IsZero() || age >= m.claimAge() {
		return
	}
	g.Suspicions = append(g.Suspicions, Suspicion{Key: e.key, Seq: e.Seq, AgeMs: age.Milliseconds()})
}

func (m *Members) claimAge() time.Duration {
	return claimRounds * m.cfg.SuspectAfter
}

// mergeSuspicion takes over a suspicion, refutes one about this instance, and
// ignores those about an instance heard since.
func (m *Members) mergeSuspicion(now time.Time, s Suspicion) {
	e, ok := m.table.byKey[s.Key]
	if !ok || s.Seq < e.Seq {
		return
	}
	if e == m.me {
		claim := e.Record
		claim.Seq = s.Seq
		claim.State = Dead
		m.refute(claim)
		return
	}
	since := now.Add(-min(time.Duration(s.AgeMs)*time.Millisecond, m.claimAge()))
	if now.Sub(since) >= m.claimAge() || e.heard.After(since) {
		return
	}
	m.suspect(now, e, since, "suspected by peers")
}
