package member

import (
	"slices"
	"time"
)

const (
	// quietRounds is how long no news must have come, in intervals, before
	// tables that differ are compared bucket by bucket; exchangeRounds is how
	// long they must have differed if news keeps coming.
	quietRounds    = 1
	exchangeRounds = 4
	// settleRounds is the number of equal tables in a row after which waiting
	// updates are taken to be known everywhere.
	settleRounds = 3
	// digestLength bounds the records listed in a digest, wantLength those
	// asked for and offerLength those offered in one exchange.
	digestLength = 512
	wantLength   = 192
	offerLength  = 192
	// rumoursPerExchange bounds the rumours in one exchange.
	rumoursPerExchange = 16
)

// exchange is the state of the anti-entropy exchange.
type exchange struct {
	// due asks for an exchange with the next peer whose table differs.
	due bool
	// last is when one was started, news when the table here last changed.
	last, news time.Time
	// differSince is when the tables compared began to differ.
	differSince time.Time
	// equal counts the tables in a row that did not differ.
	equal int
}

// compareTables compares a peer's hashes with the ones here and reports
// whether they differ.
func (m *Members) compareTables(now time.Time, g *Gossip) bool {
	x := &m.exchange
	if g.Table != m.table.hash || g.RumourTable != m.rumours.hash {
		x.equal = 0
		if x.differSince.IsZero() {
			x.differSince = now
		}
		return true
	}
	x.differSince = time.Time{}
	if x.equal++; x.equal >= settleRounds {
		m.queue.settle()
	}
	return false
}

// ready reports whether tables that differ are worth an exchange: news has
// ceased to come, or they have differed for long.
func (x *exchange) ready(now time.Time, interval time.Duration) bool {
	pause := quietRounds * interval
	quiet := now.Sub(x.news) >= pause && now.Sub(x.last) >= pause
	pause = exchangeRounds * interval
	long := now.Sub(x.differSince) >= pause && now.Sub(x.last) >= pause
	return x.due || quiet || long
}

// startExchange sends the hashes of all buckets to a peer whose table differs.
func (m *Members) startExchange(now time.Time, id string) {
	to := m.target(id)
	if to.address == "" || !m.exchange.ready(now, m.cfg.Interval) {
		return
	}
	m.exchange.due = false
	m.exchange.last = now
	g := m.message(now, id)
	g.Buckets = slices.Clone(m.table.buckets[:])
	m.send(now, to, direct, g)
	m.outstanding[m.nextCall].exchange = true
}

// answerExchange answers what a message asks for.
func (m *Members) answerExchange(now time.Time, g, a *Gossip) {
	if len(g.Buckets) > 0 {
		a.Digest = m.digest(g.Buckets)
		if g.RumourTable != m.rumours.hash {
			m.offerRumours(now, a)
		}
	}
	for _, key := range g.Want {
		if e, ok := m.table.byKey[key]; ok {
			a.Records = append(a.Records, e.Record)
		}
	}
	for _, key := range g.WantBeats[:min(len(g.WantBeats), digestLength)] {
		if e, ok := m.table.byKey[key]; ok {
			a.addBeat(e.Record)
		}
	}
}

// digest lists the records of buckets that differ, beginning at a random one.
func (m *Members) digest(theirs []uint64) *Digest {
	d := &Digest{}
	members := m.byBucket()
	start := m.rng.IntN(bucketCount)
	for i := range bucketCount {
		b := (start + i) % bucketCount
		if theirs[b] == m.table.buckets[b] {
			continue
		}
		if len(d.Buckets) > 0 && len(d.Keys)+len(members[b]) > digestLength {
			d.More = true
			break
		}
		d.Buckets = append(d.Buckets, b)
		for _, e := range members[b][:min(len(members[b]), maxDigest)] {
			d.Keys = append(d.Keys, e.key)
			d.Seqs = append(d.Seqs, e.Seq)
			d.States = append(d.States, e.State)
		}
	}
	return d
}

func (m *Members) byBucket() (members [bucketCount][]*entry) {
	for _, e := range m.table.sorted {
		b := bucketOf(e.point)
		members[b] = append(members[b], e)
	}
	return members
}

// continueExchange sends what the peer lacks and asks for what it has newer.
func (m *Members) continueExchange(now time.Time, a Answered) {
	d := a.Message.Digest
	m.exchange.due = m.exchange.due || d.More
	to := m.target(a.From)
	if to.address == "" {
		return
	}
	g := m.message(now, a.From)
	m.want(d, &g)
	m.offer(d, &g)
	if a.Message.RumourTable != m.rumours.hash {
		m.offerRumours(now, &g)
	}
	if len(g.Want)+len(g.WantBeats)+len(g.Records)+len(g.Beats)+len(g.Rumours) == 0 {
		return
	}
	m.send(now, to, direct, g)
	m.outstanding[m.nextCall].exchange = true
}

// target returns the address of an instance that is known or listed.
func (m *Members) target(id string) target {
	if e, ok := m.table.byID[id]; ok {
		return e.target()
	}
	return target{id: id, address: m.listed[id].Address}
}

// want asks for the records that are newer in the digest.
func (m *Members) want(d *Digest, g *Gossip) {
	for i, key := range d.Keys {
		e, known := m.table.byKey[key]
		switch {
		case !known && d.States[i] == Dead && !m.missesListed():
		case !known && len(g.Want) >= wantLength, len(g.WantBeats) >= digestLength:
			m.exchange.due = true
		case !known:
			g.Want = append(g.Want, key)
		case newer(d.Seqs[i], d.States[i], e):
			g.WantBeats = append(g.WantBeats, key)
		}
	}
}

// missesListed reports whether the list names an instance that is not known.
func (m *Members) missesListed() bool {
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

// offer adds the records of the digest's buckets that are older there or absent.
func (m *Members) offer(d *Digest, g *Gossip) {
	theirs := make(map[uint64]int, len(d.Keys))
	for i, key := range d.Keys {
		theirs[key] = i
	}
	members := m.byBucket()
	for _, b := range d.Buckets {
		for _, e := range members[b] {
			i, known := theirs[e.key]
			switch {
			case known && (e.Seq > d.Seqs[i] || e.Seq == d.Seqs[i] && e.State > d.States[i]):
				g.addBeat(e.Record)
			case known || e.State == Dead:
			case len(g.Records) >= offerLength:
				m.exchange.due = true
			default:
				g.Records = append(g.Records, e.Record)
			}
		}
	}
}

// offerRumours adds a random run of rumours.
func (m *Members) offerRumours(now time.Time, g *Gossip) {
	held := m.rumours.held
	if len(held) == 0 {
		return
	}
	start := m.rng.IntN(len(held))
	for i := range min(len(held), rumoursPerExchange) {
		h := held[(start+i)%len(held)]
		if r := h.remaining(now); r.TTL > 0 && !h.stale {
			g.Rumours = append(g.Rumours, r)
		}
	}
}
