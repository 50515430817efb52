package member

import (
	"maps"
	"slices"
	"time"
)

// purpose tells what a failed Send means.
type purpose int

const (
	// direct contact: a failure starts an inquiry through other peers.
	direct purpose = iota
	// indirect asks a peer to probe another.
	indirect
	// proxied probes an instance that a peer asked about.
	proxied
	// healing probes an instance that is not expected to answer.
	healing
)

// sent is a Send without an answer yet.
type sent struct {
	to      string
	purpose purpose
	// subject is the instance that an indirect probe is about.
	subject string
	// exchange marks the transfer of differing records.
	exchange bool
	expires  time.Time
}

// send emits a message and remembers it until it is answered or has failed.
func (m *Members) send(now time.Time, to target, p purpose, g Gossip) {
	m.nextCall++
	s := &sent{to: to.id, purpose: p, expires: now.Add(m.cfg.Interval)}
	if p == indirect {
		s.subject = g.Probe
		// The peer waits for one interval itself.
		s.expires = now.Add(2 * m.cfg.Interval)
	}
	m.outstanding[m.nextCall] = s
	m.emit(Send{Call: m.nextCall, To: to.id, Address: to.address, Message: g})
}

// target is an instance that can be sent to.
type target struct{ id, address string }

func (e *entry) target() target {
	return target{id: e.ID, address: e.PeerAddress}
}

// message returns a message without news. It tells the receiver of doubts
// about it, so that it can refute them.
func (m *Members) message(now time.Time, to string) Gossip {
	g := Gossip{From: m.me.ID, Table: m.table.hash, RumourTable: m.rumours.hash}
	e, ok := m.table.byID[to]
	switch {
	case !ok:
	case e.State == Dead:
		g.addBeat(e.Record)
	case !e.suspected.IsZero():
		m.addSuspicion(now, &g, e)
	}
	return g
}

func (m *Members) received(now time.Time, r Received) {
	g := &r.Message
	if cause := violation(now, g); cause != "" {
		m.emit(Violation{From: g.From, Cause: cause})
		m.emit(Reply{Call: r.Call, Message: Gossip{From: m.me.ID, Table: m.table.hash}})
		return
	}
	before := m.me.Record
	m.corrections = nil
	m.hear(now, g.From)
	m.mergeNews(now, g, true)
	m.compareTables(now, g)
	if g.Probe != "" && m.probeFor(now, r.Call, g.Probe) {
		return
	}
	m.emit(Reply{Call: r.Call, Message: m.answer(now, g, before)})
}

// answer returns the answer to a message; before is this instance's record as
// it was when the message came.
func (m *Members) answer(now time.Time, g *Gossip, before Record) Gossip {
	a := m.message(now, g.From)
	a.Records = append(a.Records, m.corrections...)
	if compare(m.me.Record, before) > 0 {
		a.Records = append(a.Records, m.me.Record)
	}
	if g.Probe != "" {
		a.Probe = g.Probe
		a.Reached = g.Probe == m.me.ID
	}
	m.answerExchange(now, g, &a)
	if !g.Push && g.Probe == "" && g.Table != a.Table {
		m.fill(now, &a, m.queue.take(roundBudget, 1, m.limit(), false))
	}
	return a
}

func (m *Members) answered(now time.Time, a Answered) {
	g := &a.Message
	s := m.outstanding[a.Call]
	delete(m.outstanding, a.Call)
	if g.From != a.From {
		m.emit(Violation{From: a.From, Cause: causeSender})
		return
	}
	if cause := violation(now, g); cause != "" {
		m.emit(Violation{From: a.From, Cause: cause})
		return
	}
	m.hear(now, a.From)
	m.reached(now, a.From)
	exchanged := s != nil && s.exchange
	m.mergeNews(now, g, !exchanged)
	differ := m.compareTables(now, g)
	switch {
	case g.Digest != nil:
		m.continueExchange(now, a)
	case differ && !exchanged:
		m.startExchange(now, a.From)
	}
	if s != nil && s.purpose == indirect {
		m.concludeIndirect(now, s.subject, g.Reached)
	}
}

func (m *Members) failed(now time.Time, f Failed) {
	s, ok := m.outstanding[f.Call]
	if !ok {
		return
	}
	delete(m.outstanding, f.Call)
	m.sendFailed(now, s)
}

// expireCalls gives up on messages without an answer.
func (m *Members) expireCalls(now time.Time) {
	for _, call := range slices.Sorted(maps.Keys(m.outstanding)) {
		s, ok := m.outstanding[call]
		if ok && !now.Before(s.expires) {
			delete(m.outstanding, call)
			m.sendFailed(now, s)
		}
	}
}

func (m *Members) sendFailed(now time.Time, s *sent) {
	switch s.purpose {
	case direct:
		m.inquire(now, s.to)
	case indirect:
		m.concludeIndirect(now, s.subject, false)
	case proxied:
		m.releaseAsk(s.to, false)
	case healing:
		// The retry has been scheduled already.
	}
}

// hear notes that an instance is running.
func (m *Members) hear(now time.Time, id string) {
	if m.isolated(now) {
		m.endIsolation()
	}
	m.lastContact = now
	if e, ok := m.table.byID[id]; ok {
		e.heard = now
	}
}
