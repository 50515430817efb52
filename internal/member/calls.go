package member

import (
	"maps"
	"slices"
	"time"
)

// purpose is the reason for a Send. It determines how a failure is handled.
type purpose int

const (
	// purposeDirect is a gossip round, push, exchange or probe. A failure
	// starts indirect probes through other peers.
	purposeDirect purpose = iota
	// purposeIndirect asks a peer to probe another instance.
	purposeIndirect
	// purposeDelegated probes an instance on behalf of a peer.
	purposeDelegated
	// purposeReconnect probes an instance that is not expected to answer.
	purposeReconnect
)

// pendingCall is a Send that has been neither answered nor reported as failed.
type pendingCall struct {
	to      string
	purpose purpose
	// subject is the ID of the instance that an indirect probe is to reach.
	subject string
	// exchange marks a message of an anti-entropy exchange.
	exchange bool
	expires  time.Time
}

// send emits a message and tracks it until it is answered, fails or expires.
func (m *Members) send(now time.Time, to target, p purpose, g Gossip) {
	m.nextCall++
	call := &pendingCall{to: to.id, purpose: p, expires: now.Add(m.cfg.Interval)}
	if p == purposeIndirect {
		call.subject = g.Probe
		// The peer's own probe takes up to one interval.
		call.expires = now.Add(2 * m.cfg.Interval)
	}
	m.pendingCalls[m.nextCall] = call
	m.emit(Send{Call: m.nextCall, To: to.id, Address: to.address, Message: g})
}

// target is the destination of a message.
type target struct{ id, address string }

func (e *entry) target() target {
	return target{id: e.ID, address: e.PeerAddress}
}

// newMessage returns a message without queued updates. If the receiver is
// suspect or dead here, the message says so, so that the receiver can refute it.
func (m *Members) newMessage(now time.Time, to string) Gossip {
	g := Gossip{From: m.self.ID, Table: m.table.hash, RumourTable: m.rumours.hash}
	e, ok := m.table.byID[to]
	switch {
	case !ok:
	case e.State == Dead:
		g.addDelta(e.Record)
	case !e.suspectedAt.IsZero():
		m.addSuspicion(now, &g, e)
	}
	return g
}

func (m *Members) handleReceived(now time.Time, r Received) {
	g := &r.Message
	if cause := violation(now, g); cause != "" {
		m.emit(ProtocolViolation{From: g.From, Cause: cause})
		m.emit(Reply{Call: r.Call, Message: Gossip{From: m.self.ID, Table: m.table.hash}})
		return
	}
	before := m.self.Record
	m.corrections = nil
	m.recordContact(now, g.From)
	m.mergeMessage(now, g, true)
	m.compareTables(now, g)
	if g.Probe != "" && m.probeOnBehalf(now, r.Call, g.Probe) {
		return
	}
	m.emit(Reply{Call: r.Call, Message: m.answer(now, g, before)})
}

// answer returns the answer to a message. before is this instance's record from
// before the message was merged; the answer carries the current one if the
// message made this instance raise it.
func (m *Members) answer(now time.Time, g *Gossip, before Record) Gossip {
	a := m.newMessage(now, g.From)
	a.Records = append(a.Records, m.corrections...)
	if compare(m.self.Record, before) > 0 {
		a.Records = append(a.Records, m.self.Record)
	}
	if g.Probe != "" {
		a.Probe = g.Probe
		a.Reached = g.Probe == m.self.ID
	}
	m.answerExchange(now, g, &a)
	if !g.Push && g.Probe == "" && g.Table != a.Table {
		m.addUpdates(now, &a, m.queue.take(roundBudget, 1, m.currentSendLimit(), false))
	}
	return a
}

func (m *Members) handleAnswered(now time.Time, a Answered) {
	g := &a.Message
	call := m.pendingCalls[a.Call]
	delete(m.pendingCalls, a.Call)
	if g.From != a.From {
		m.emit(ProtocolViolation{From: a.From, Cause: causeSender})
		return
	}
	if cause := violation(now, g); cause != "" {
		m.emit(ProtocolViolation{From: a.From, Cause: cause})
		return
	}
	m.recordContact(now, a.From)
	m.recordAnswer(now, a.From)
	exchanged := call != nil && call.exchange
	m.mergeMessage(now, g, !exchanged)
	differ := m.compareTables(now, g)
	switch {
	case g.Digest != nil:
		m.continueExchange(now, a)
	case differ && !exchanged:
		m.startExchange(now, a.From)
	}
	if call != nil && call.purpose == purposeIndirect {
		m.finishIndirectProbe(now, call.subject, g.Reached)
	}
}

func (m *Members) handleFailed(now time.Time, f Failed) {
	call, ok := m.pendingCalls[f.Call]
	if !ok {
		return
	}
	delete(m.pendingCalls, f.Call)
	m.handleSendFailure(now, call)
}

// expireCalls handles messages that were not answered in time as failed.
func (m *Members) expireCalls(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.pendingCalls)) {
		call, ok := m.pendingCalls[id]
		if ok && !now.Before(call.expires) {
			delete(m.pendingCalls, id)
			m.handleSendFailure(now, call)
		}
	}
}

func (m *Members) handleSendFailure(now time.Time, call *pendingCall) {
	switch call.purpose {
	case purposeDirect:
		m.probeIndirectly(now, call.to)
	case purposeIndirect:
		m.finishIndirectProbe(now, call.subject, false)
	case purposeDelegated:
		m.answerProbeWaiters(call.to, false)
	case purposeReconnect:
		// The next attempt is already scheduled.
	}
}

// recordContact records that a message or answer of an instance has arrived.
func (m *Members) recordContact(now time.Time, id string) {
	if m.isolated(now) {
		m.endIsolation()
	}
	m.lastContact = now
	if e, ok := m.table.byID[id]; ok {
		e.lastHeard = now
	}
}
