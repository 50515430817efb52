package member

import (
	"maps"
	"slices"
	"time"
)

const (
	// pushFanout is the number of peers to which news is pushed at once.
	pushFanout = 3
	// pushSpacing is the shortest time between two pushes; news that comes
	// meanwhile is sent together.
	pushSpacing = 200 * time.Millisecond
	// randomRounds is the number of rounds between two with a peer from
	// outside the neighbours.
	randomRounds = 64
	// healLimitRounds bounds the backoff of probes that heal, in intervals.
	healLimitRounds = 60
)

// limit is how often an update is sent.
func (m *Members) limit() int {
	return sendLimit(len(m.table.sorted))
}

// round gossips with the next neighbour.
func (m *Members) round(now time.Time) {
	e := m.nextPeer(now)
	if e == nil {
		return
	}
	g := m.message(now, e.ID)
	m.fill(now, &g, m.queue.take(roundBudget, 1, m.limit(), false))
	m.send(now, e.target(), direct, g)
}

func (m *Members) nextPeer(now time.Time) *entry {
	m.rounds++
	if m.rounds%randomRounds == 0 {
		if peers := m.pick(1, nil); len(peers) > 0 {
			return peers[0]
		}
	}
	neighbours := m.currentNeighbours(now)
	for range neighbours {
		m.neighbour = (m.neighbour + 1) % len(neighbours)
		if e := neighbours[m.neighbour]; m.inquiries[e.ID] == nil {
			return e
		}
	}
	return nil
}

// push sends hot news to a few neighbours at once.
func (m *Members) push(now time.Time) {
	if m.queue.hot == 0 || m.lastTick.IsZero() || now.Sub(m.lastPush) < pushSpacing {
		return
	}
	peers := m.sample(m.currentNeighbours(now), pushFanout)
	if len(peers) == 0 {
		return
	}
	m.lastPush = now
	updates := m.queue.take(pushBudget, len(peers), m.limit(), true)
	for _, e := range peers {
		g := m.message(now, e.ID)
		g.Push = true
		m.fill(now, &g, updates)
		m.send(now, e.target(), direct, g)
	}
}

// pick returns up to n live instances at random that pass the filter.
func (m *Members) pick(n int, filter func(e *entry) bool) []*entry {
	var candidates []*entry
	for _, e := range m.table.sorted {
		if e != m.me && e.live() && (filter == nil || filter(e)) {
			candidates = append(candidates, e)
		}
	}
	return m.sample(candidates, n)
}

// sample returns up to n of the entries at random.
func (m *Members) sample(entries []*entry, n int) []*entry {
	chosen := slices.Clone(entries)
	n = min(n, len(chosen))
	for i := range n {
		j := i + m.rng.IntN(len(chosen)-i)
		chosen[i], chosen[j] = chosen[j], chosen[i]
	}
	return chosen[:n]
}

// retry is the full-jitter backoff of an instance that is not expected to answer.
type retry struct {
	attempts int
	next     time.Time
}

// heal probes one instance that is listed but unknown, or out of reach.
func (m *Members) heal(now time.Time) {
	due := m.dueForHealing(now)
	if len(due) == 0 {
		return
	}
	to := due[m.rng.IntN(len(due))]
	r, ok := m.retries[to.id]
	if !ok {
		r = &retry{}
		m.retries[to.id] = r
	}
	r.attempts++
	limit := min(m.cfg.Interval<<min(r.attempts, 16), healLimitRounds*m.cfg.Interval)
	r.next = now.Add(m.jitter(limit))
	g := m.message(now, to.id)
	if _, known := m.table.byID[to.id]; !known {
		g.Records = append(g.Records, m.me.Record)
	}
	m.send(now, to, healing, g)
}

func (m *Members) dueForHealing(now time.Time) []target {
	var due []target
	add := func(t target) {
		if r, ok := m.retries[t.id]; !ok || !now.Before(r.next) {
			due = append(due, t)
		}
	}
	for _, e := range m.table.sorted {
		if e.state() >= Suspect {
			add(e.target())
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.listed)) {
		if _, known := m.table.byID[id]; !known && id != m.me.ID {
			add(target{id: id, address: m.listed[id].Address})
		}
	}
	return due
}
