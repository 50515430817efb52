package member

import (
	"maps"
	"slices"
	"time"
)

const (
	// pushFanout is the number of peers to which urgent updates are pushed.
	pushFanout = 3
	// minPushInterval is the least time between two pushes. Updates that are
	// queued in between are batched.
	minPushInterval = 200 * time.Millisecond
	// Every randomPeerRounds-th round contacts a random live instance instead of
	// a neighbour.
	randomPeerRounds = 64
	// maxReconnectBackoffIntervals bounds the backoff of reconnects, as a multiple
	// of Config.Interval.
	maxReconnectBackoffIntervals = 60
)

// currentSendLimit returns how many times this instance sends an update in a
// fleet of the current size.
func (m *Members) currentSendLimit() int {
	return sendLimit(len(m.table.sorted))
}

// round sends queued updates to the next peer.
func (m *Members) round(now time.Time) {
	e := m.nextPeer(now)
	if e == nil {
		return
	}
	g := m.newMessage(now, e.ID)
	m.addUpdates(now, &g, m.queue.take(roundBudget, 1, m.currentSendLimit(), false))
	m.send(now, e.target(), purposeDirect, g)
}

func (m *Members) nextPeer(now time.Time) *entry {
	m.rounds++
	if m.rounds%randomPeerRounds == 0 {
		if peers := m.sampleLive(1, nil); len(peers) > 0 {
			return peers[0]
		}
	}
	neighbours := m.currentNeighbours(now)
	for range neighbours {
		m.neighbourIndex = (m.neighbourIndex + 1) % len(neighbours)
		if e := neighbours[m.neighbourIndex]; m.indirectProbes[e.ID] == nil {
			return e
		}
	}
	return nil
}

// push sends urgent updates to a few neighbours without waiting for the next
// round.
func (m *Members) push(now time.Time) {
	if m.queue.urgent == 0 || m.lastTick.IsZero() || now.Sub(m.lastPush) < minPushInterval {
		return
	}
	peers := m.sample(m.currentNeighbours(now), pushFanout)
	if len(peers) == 0 {
		return
	}
	m.lastPush = now
	updates := m.queue.take(pushBudget, len(peers), m.currentSendLimit(), true)
	for _, e := range peers {
		g := m.newMessage(now, e.ID)
		g.Push = true
		m.addUpdates(now, &g, updates)
		m.send(now, e.target(), purposeDirect, g)
	}
}

// sampleLive returns up to n random live instances that pass the filter.
func (m *Members) sampleLive(n int, filter func(e *entry) bool) []*entry {
	var candidates []*entry
	for _, e := range m.table.sorted {
		if e != m.self && e.live() && (filter == nil || filter(e)) {
			candidates = append(candidates, e)
		}
	}
	return m.sample(candidates, n)
}

// sample returns up to n random entries.
func (m *Members) sample(entries []*entry, n int) []*entry {
	chosen := slices.Clone(entries)
	n = min(n, len(chosen))
	for i := range n {
		j := i + m.rng.IntN(len(chosen)-i)
		chosen[i], chosen[j] = chosen[j], chosen[i]
	}
	return chosen[:n]
}

// reconnectBackoff is the full-jitter exponential backoff of probes of an
// instance that is not expected to answer.
type reconnectBackoff struct {
	attempts int
	next     time.Time
}

// reconnect probes one instance that is on the platform's instance list but not
// in the member table, or that is suspect, partitioned or dead, to merge the
// parts of the fleet after a partition.
func (m *Members) reconnect(now time.Time) {
	due := m.dueForReconnect(now)
	if len(due) == 0 {
		return
	}
	to := due[m.rng.IntN(len(due))]
	r, ok := m.reconnects[to.id]
	if !ok {
		r = &reconnectBackoff{}
		m.reconnects[to.id] = r
	}
	r.attempts++
	limit := min(m.cfg.Interval<<min(r.attempts, 16), maxReconnectBackoffIntervals*m.cfg.Interval)
	r.next = now.Add(m.jitter(limit))
	g := m.newMessage(now, to.id)
	if _, known := m.table.byID[to.id]; !known {
		g.Records = append(g.Records, m.self.Record)
	}
	m.send(now, to, purposeReconnect, g)
}

func (m *Members) dueForReconnect(now time.Time) []target {
	var due []target
	add := func(t target) {
		if r, ok := m.reconnects[t.id]; !ok || !now.Before(r.next) {
			due = append(due, t)
		}
	}
	for _, e := range m.table.sorted {
		if e.state() >= Suspect {
			add(e.target())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.listed)) {
		if _, known := m.table.byID[id]; !known && id != m.self.ID {
			add(target{id: id, address: m.listed[id].Address})
		}
	}
	return due
}
