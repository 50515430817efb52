package member

import (
	"slices"
	"time"
)

const (
	// quietIntervals is how long the table must have been unchanged, as a
	// multiple of Config.Interval, before tables that differ are compared bucket
	// by bucket. maxDifferIntervals is how long they must have differed if the
	// table keeps changing.
	quietIntervals     = 1
	maxDifferIntervals = 4
	// syncedComparisons is the number of consecutive comparisons with equal
	// tables after which queued updates are taken to be known everywhere.
	syncedComparisons = 3
	// digestLimit bounds the records listed in a digest, apart from those of its
	// first bucket, and the deltas requested or answered in one message.
	// wantLimit bounds the full records requested, and offerLimit the full
	// records offered. They apply to messages that this proxy sends. The bounds
	// on received messages, which are wider, are those of violation.
	digestLimit = 512
	wantLimit   = 192
	offerLimit  = 192
	// rumoursPerExchange bounds the rumours offered in one message.
	rumoursPerExchange = 16
)

// exchange is the state of anti-entropy, which reconciles tables that differ.
type exchange struct {
	// due requests an exchange with the next peer whose table differs.
	due bool
	// lastStart is when this proxy last started an exchange, lastChange when a
	// merged message last changed its table.
	lastStart, lastChange time.Time
	// differSince is when the first of the differing comparisons since the last
	// equal one was made, zero after an equal one.
	differSince time.Time
	// consecutiveEqual counts the comparisons since the last differing one.
	consecutiveEqual int
}

// compareTables compares the hashes in a peer's message with this proxy's own
// and reports whether they differ.
func (m *Members) compareTables(now time.Time, g *Gossip) bool {
	x := &m.exchange
	if g.Table != m.table.hash || g.RumourTable != m.rumours.hash {
		x.consecutiveEqual = 0
		if x.differSince.IsZero() {
			x.differSince = now
		}
		return true
	}
	x.differSince = time.Time{}
	if x.consecutiveEqual++; x.consecutiveEqual >= syncedComparisons {
		m.queue.dropSynced()
	}
	return false
}

// shouldStart reports whether tables that differ call for an exchange: one is
// due, or the table has not changed for quietIntervals, or the tables have
// differed for maxDifferIntervals. In the latter two cases, this proxy must not
// have started another within the same time.
func (x *exchange) shouldStart(now time.Time, interval time.Duration) bool {
	pause := quietIntervals * interval
	quiet := now.Sub(x.lastChange) >= pause && now.Sub(x.lastStart) >= pause
	pause = maxDifferIntervals * interval
	differsForLong := now.Sub(x.differSince) >= pause && now.Sub(x.lastStart) >= pause
	return x.due || quiet || differsForLong
}

// startExchange sends the hashes of all buckets to a peer whose table differs,
// unless it is too early for an exchange.
func (m *Members) startExchange(now time.Time, id string) {
	to := m.target(id)
	if to.address == "" || !m.exchange.shouldStart(now, m.cfg.Interval) {
		return
	}
	m.exchange.due = false
	m.exchange.lastStart = now
	g := m.newMessage(now, id)
	g.Buckets = slices.Clone(m.table.buckets[:])
	m.send(now, to, purposeDirect, g)
	m.pendingCalls[m.nextCall].exchange = true
}

// answerExchange adds to the answer a what the message g requests.
func (m *Members) answerExchange(now time.Time, g, a *Gossip) {
	if len(g.Buckets) > 0 {
		a.Digest = m.digest(g.Buckets)
		if g.RumourTable != m.rumours.hash {
			m.offerRumours(now, a)
		}
	}
	for _, key := range g.WantRecords {
		if e, ok := m.table.byKey[key]; ok {
			a.Records = append(a.Records, e.Record)
		}
	}
	for _, key := range g.WantDeltas[:min(len(g.WantDeltas), digestLimit)] {
		if e, ok := m.table.byKey[key]; ok {
			a.addDelta(e.Record)
		}
	}
}

// digest lists the records of the buckets that differ from the peer's, starting
// at a random bucket.
func (m *Members) digest(peerBuckets []uint64) *Digest {
	d := &Digest{}
	entries := m.entriesByBucket()
	start := m.rng.IntN(bucketCount)
	for i := range bucketCount {
		b := (start + i) % bucketCount
		if peerBuckets[b] == m.table.buckets[b] {
			continue
		}
		if len(d.Buckets) > 0 && len(d.Keys)+len(entries[b]) > digestLimit {
			d.More = true
			break
		}
		d.Buckets = append(d.Buckets, b)
		for _, e := range entries[b][:min(len(entries[b]), maxDigest)] {
			d.Keys = append(d.Keys, e.key)
			d.Seqs = append(d.Seqs, e.Seq)
			d.States = append(d.States, e.State)
		}
	}
	return d
}

func (m *Members) entriesByBucket() (entries [bucketCount][]*entry) {
	for _, e := range m.table.sorted {
		b := bucketOf(e.point)
		entries[b] = append(entries[b], e)
	}
	return entries
}

// continueExchange sends the records that the peer lacks or has in an older
// state, and requests those of which the peer has a newer state.
func (m *Members) continueExchange(now time.Time, a Answered) {
	d := a.Message.Digest
	m.exchange.due = m.exchange.due || d.More
	to := m.target(a.From)
	if to.address == "" {
		return
	}
	g := m.newMessage(now, a.From)
	m.requestNewer(d, &g)
	m.offerNewer(d, &g)
	if a.Message.RumourTable != m.rumours.hash {
		m.offerRumours(now, &g)
	}
	if len(g.WantRecords)+len(g.WantDeltas)+len(g.Records)+len(g.Deltas)+len(g.Rumours) == 0 {
		return
	}
	m.send(now, to, purposeDirect, g)
	m.pendingCalls[m.nextCall].exchange = true
}

// target returns the destination for an instance in the member table or on the
// platform's instance list. The address is empty if it is in neither.
func (m *Members) target(id string) target {
	if e, ok := m.table.byID[id]; ok {
		return e.target()
	}
	return target{id: id, address: m.listed[id].Address}
}

// requestNewer requests the records in the digest that are unknown or older here.
// Unknown records of dead instances are requested only while an instance on the
// platform's list has no record here.
func (m *Members) requestNewer(d *Digest, g *Gossip) {
	for i, key := range d.Keys {
		e, known := m.table.byKey[key]
		switch {
		case !known && d.States[i] == Dead && !m.hasUnknownListed():
		case !known && len(g.WantRecords) >= wantLimit, len(g.WantDeltas) >= digestLimit:
			m.exchange.due = true
		case !known:
			g.WantRecords = append(g.WantRecords, key)
		case newer(d.Seqs[i], d.States[i], e):
			g.WantDeltas = append(g.WantDeltas, key)
		}
	}
}

// hasUnknownListed reports whether the platform's instance list names an
// instance that has no record here.
func (m *Members) hasUnknownListed() bool {
	for id := range m.listed {
		if _, known := m.table.byID[id]; !known {
			return true
		}
	}
	return false
}

func newer(seq uint64, s State, e *entry) bool {
	return seq > e.Seq || seq == e.Seq && s > e.State
}

// offerNewer adds the records of the digest's buckets that are absent from the
// digest or older in it. Records of dead instances are not added if they are
// absent.
func (m *Members) offerNewer(d *Digest, g *Gossip) {
	peerIndex := make(map[uint64]int, len(d.Keys))
	for i, key := range d.Keys {
		peerIndex[key] = i
	}
	entries := m.entriesByBucket()
	for _, b := range d.Buckets {
		for _, e := range entries[b] {
			i, known := peerIndex[e.key]
			switch {
			case known && (e.Seq > d.Seqs[i] || e.Seq == d.Seqs[i] && e.State > d.States[i]):
				g.addDelta(e.Record)
			case known || e.State == Dead:
			case len(g.Records) >= offerLimit:
				m.exchange.due = true
			default:
				g.Records = append(g.Records, e.Record)
			}
		}
	}
}

// offerRumours adds up to rumoursPerExchange rumours, starting at a random one.
func (m *Members) offerRumours(now time.Time, g *Gossip) {
	held := m.rumours.held
	if len(held) == 0 {
		return
	}
	start := m.rng.IntN(len(held))
	for i := range min(len(held), rumoursPerExchange) {
		h := held[(start+i)%len(held)]
		if r := h.withRemainingTTL(now); r.TTL > 0 && !h.stale {
			g.Rumours = append(g.Rumours, r)
		}
	}
}
