package member

import (
	"maps"
	"slices"
	"time"
)

const (
	// indirectProbePeers is the number of peers asked to probe an instance that
	// did not answer.
	indirectProbePeers = 3
	// maxProbeWaiters bounds the peers that wait for the probe of one instance.
	maxProbeWaiters = 16
	// maxSuspicionAgeFactor is the age, in units of SuspectAfter, from which a
	// suspicion is neither sent nor merged. The bound keeps suspicions from
	// spreading after a partition has healed.
	maxSuspicionAgeFactor = 2
)

// indirectProbe is a probe of one instance through several peers; pending counts
// those that have not reported a result.
type indirectProbe struct {
	pending int
}

// probeIndirectly asks several peers to probe an instance that did not answer.
// Without a peer to ask, the instance becomes suspect at once.
func (m *Members) probeIndirectly(now time.Time, id string) {
	e, ok := m.table.byID[id]
	if !ok || e.state() >= Suspect || m.indirectProbes[id] != nil {
		return
	}
	peers := m.sampleLive(indirectProbePeers, func(peer *entry) bool { return peer != e && m.indirectProbes[peer.ID] == nil })
	if len(peers) == 0 {
		m.markSuspect(now, e, now, "no answer")
		return
	}
	m.indirectProbes[id] = &indirectProbe{pending: len(peers)}
	for _, peer := range peers {
		g := m.newMessage(now, peer.ID)
		g.Probe = id
		m.send(now, peer.target(), purposeIndirect, g)
	}
}

// finishIndirectProbe records the result that one peer reported. The instance
// becomes suspect when no peer has reached it.
func (m *Members) finishIndirectProbe(now time.Time, id string, reached bool) {
	probe, ok := m.indirectProbes[id]
	if !ok {
		return
	}
	probe.pending--
	switch {
	case reached:
		delete(m.indirectProbes, id)
	case probe.pending == 0:
		delete(m.indirectProbes, id)
		if e, ok := m.table.byID[id]; ok {
			m.markSuspect(now, e, now, "no answer to direct and indirect probes")
		}
	}
}

// probeOnBehalf probes an instance on behalf of a peer. It reports whether the
// answer to the peer's call is deferred until the probe has a result.
func (m *Members) probeOnBehalf(now time.Time, call uint64, id string) bool {
	e, ok := m.table.byID[id]
	if !ok || e == m.self || e.State == Dead {
		return false
	}
	waiters := m.probeWaiters[id]
	if len(waiters) >= maxProbeWaiters {
		return false
	}
	m.probeWaiters[id] = append(waiters, call)
	if len(waiters) == 0 {
		m.send(now, e.target(), purposeDelegated, m.newMessage(now, id))
	}
	return true
}

// answerProbeWaiters sends the result of the probe of an instance to the peers
// that wait for it.
func (m *Members) answerProbeWaiters(id string, reached bool) {
	for _, call := range m.probeWaiters[id] {
		g := Gossip{From: m.self.ID, Table: m.table.hash, Probe: id, Reached: reached}
		m.emit(Reply{Call: call, Message: g})
	}
	delete(m.probeWaiters, id)
}

// failProbeWaiters reports all delegated probes as failed.
func (m *Members) failProbeWaiters() {
	for _, id := range slices.Sorted(maps.Keys(m.probeWaiters)) {
		m.answerProbeWaiters(id, false)
	}
}

// recordAnswer records that an instance answered a message. It resolves pending
// probes of the instance and clears its suspicion, or the partition of its
// availability zone.
func (m *Members) recordAnswer(now time.Time, id string) {
	m.answerProbeWaiters(id, true)
	delete(m.indirectProbes, id)
	delete(m.reconnects, id)
	e, ok := m.table.byID[id]
	if !ok {
		return
	}
	if e.partitioned {
		m.healZone(now, e)
		return
	}
	m.clearSuspicion(e, "answered")
}

// clearSuspicion clears the suspect and partitioned marks of an instance.
func (m *Members) clearSuspicion(e *entry, cause string) {
	from := e.state()
	e.suspectedAt = time.Time{}
	e.partitioned = false
	m.transition(e, from, cause)
}

// markSuspect marks an instance as suspect since the given time and queues the
// suspicion for dissemination. It may probe another instance of the availability
// zone.
func (m *Members) markSuspect(now time.Time, e *entry, since time.Time, cause string) {
	if e == m.self || e.State == Dead || !e.suspectedAt.IsZero() {
		return
	}
	from := e.state()
	e.suspectedAt = since
	m.queue.add(&update{suspect: e, urgent: true})
	m.transition(e, from, cause)
	m.probeZone(now, e)
}

// addSuspicion adds the suspicion of an instance to a message unless there is
// none or it is too old.
func (m *Members) addSuspicion(now time.Time, g *Gossip, e *entry) {
	age := now.Sub(e.suspectedAt)
	if e.suspectedAt.IsZero() || age >= m.maxSuspicionAge() {
		return
	}
	g.Suspicions = append(g.Suspicions, Suspicion{Key: e.key, Seq: e.Seq, AgeMs: age.Milliseconds()})
}

// maxSuspicionAge is the age from which a suspicion is neither sent nor merged.
func (m *Members) maxSuspicionAge() time.Duration {
	return maxSuspicionAgeFactor * m.cfg.SuspectAfter
}

// mergeSuspicion adopts a peer's suspicion. It refutes a suspicion of this
// instance, and ignores one that is too old or of an instance that has been heard
// from since.
func (m *Members) mergeSuspicion(now time.Time, s Suspicion) {
	e, ok := m.table.byKey[s.Key]
	if !ok || s.Seq < e.Seq {
		return
	}
	if e == m.self {
		claim := e.Record
		claim.Seq = s.Seq
		claim.State = Dead
		m.refute(claim)
		return
	}
	since := now.Add(-min(time.Duration(s.AgeMs)*time.Millisecond, m.maxSuspicionAge()))
	if now.Sub(since) >= m.maxSuspicionAge() || e.lastHeard.After(since) {
		return
	}
	m.markSuspect(now, e, since, "suspected by peers")
}
