package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// pushFanout is the number of peers to which a proxy passes on a rise in the
	// number of crashes. With n peers that all pass it on, about one in e^4 misses
	// it; the comparisons with peers close the gap.
	pushFanout = 4
	// pushInterval is the minimum time between two pushes. Rises within it are
	// sent together.
	pushInterval = 25 * time.Millisecond
	// maxPushAttempts bounds the peers tried with one message.
	maxPushAttempts = 3
	// compareInterval is the interval of the comparisons with a random peer while
	// there are suspects with repeated crashes. A proxy without contact to the
	// others is thus brought up to date well within 3 s, after which the
	// platform's bounds apply to it.
	compareInterval = 400 * time.Millisecond
	// neighbours is the number of peers with which a proxy compares usually, which
	// bounds its connections in a large fleet. One comparison in strangerInterval
	// is with any peer, so that no proxy is left out.
	neighbours       = 8
	strangerInterval = 8
	// joinPeers is the number of peers that a proxy asks after its start, every
	// compareInterval until one has answered or joinLimit has passed.
	joinPeers = 3
	joinLimit = 10 * time.Second
	// peerRetention is how long a peer is used after it has left the list: a
	// proxy without a backend server still serves callers.
	peerRetention = 30 * time.Second
	// failureBackoff is how long a peer is avoided after a failure.
	failureBackoff = time.Second
	// maxEvidence bounds the evidence in one message, and maxPending the
	// fingerprints that wait to be pushed.
	maxEvidence = 256
	maxPending  = 1024
	// minLifetime is the remaining lifetime below which a suspect is left out of
	// comparisons, as proxies do not drop it at the same moment.
	minLifetime = time.Second
)

// Message is a message between two proxies and the reply to it.
type Message struct {
	// Digest is a hash of all suspects of the sender with repeated crashes.
	Digest uint64 `json:"d"`
	// Evidence holds suspects that the receiver may not know.
	Evidence []Evidence `json:"e,omitempty"`
	// Full means that Evidence holds all suspects with repeated crashes. It is
	// not answered in kind.
	Full bool `json:"full,omitempty"`
}

// exchange is the state of the exchange with the other proxies.
type exchange struct {
	// peers maps addresses to the time at which they were last listed, and
	// failedAt to the time of their last failure.
	peers    map[string]time.Time
	failedAt map[string]time.Time
	// pending holds the fingerprints whose number of crashes rose since the last
	// push.
	pending     []uint64
	lastPush    time.Time
	lastCompare time.Time
	// listedSince is when the first peer was listed, and joined reports that one
	// has answered since.
	listedSince time.Time
	joined      bool
}

func newExchange() exchange {
	return exchange{peers: make(map[string]time.Time), failedAt: make(map[string]time.Time)}
}

func (x *exchange) add(fingerprint uint64) {
	if len(x.pending) < maxPending && !slices.Contains(x.pending, fingerprint) {
		x.pending = append(x.pending, fingerprint)
	}
}

// setPeers replaces the list of peers.
func (q *Quarantine) setPeers(now time.Time, addresses []string) {
	x := &q.exchange
	for _, a := range addresses {
		if a != "" {
			x.peers[a] = now
		}
	}
	for a, listedAt := range x.peers {
		if now.Sub(listedAt) > peerRetention {
			delete(x.peers, a)
			delete(x.failedAt, a)
		}
	}
	if len(x.peers) > 0 && x.listedSince.IsZero() {
		x.listedSince = now
		q.compareWithPeers(now)
	}
}

// choosePeers returns up to n random peers, those without a recent failure first.
func (q *Quarantine) choosePeers(now time.Time, n int) []string {
	x := &q.exchange
	all := slices.Sorted(maps.Keys(x.peers))
	q.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b string) int {
		return cmp.Compare(x.failureRank(now, a), x.failureRank(now, b))
	})
	return all[:min(n, len(all))]
}

func (x *exchange) failureRank(now time.Time, address string) int {
	if at, ok := x.failedAt[address]; ok && now.Sub(at) < failureBackoff {
		return 1
	}
	return 0
}

func (q *Quarantine) sendToSome(now time.Time, n int, m Message) {
	for _, a := range q.choosePeers(now, n) {
		q.send(a, m, 1)
	}
}

func (q *Quarantine) send(address string, m Message, attempt int) {
	q.counters.Sent++
	q.effects = append(q.effects, Send{Address: address, Message: m, Attempt: attempt})
}

// pushPending passes on rises in the number of crashes.
func (q *Quarantine) pushPending(now time.Time) {
	x := &q.exchange
	if len(x.pending) == 0 || now.Sub(x.lastPush) < pushInterval {
		return
	}
	x.lastPush = now
	m := Message{Digest: q.digest(now)}
	n := min(len(x.pending), maxEvidence)
	for _, f := range x.pending[:n] {
		if s, ok := q.suspects[f]; ok {
			m.Evidence = append(m.Evidence, s.evidence(now, f))
		}
	}
	x.pending = slices.Delete(x.pending, 0, n)
	q.sendToSome(now, pushFanout, m)
}

// compareWithPeers compares the suspects with those of a random peer, or of some
// peers while none has answered since the start.
func (q *Quarantine) compareWithPeers(now time.Time) {
	x := &q.exchange
	if now.Sub(x.lastCompare) < compareInterval {
		return
	}
	digest := q.digest(now)
	joining := !x.joined && now.Sub(x.listedSince) < joinLimit
	if digest == 0 && !joining {
		return
	}
	x.lastCompare = now
	m := Message{Digest: digest}
	switch {
	case joining:
		q.sendToSome(now, joinPeers, m)
	case q.rng.IntN(strangerInterval) == 0:
		q.sendToSome(now, 1, m)
	default:
		near := q.chooseNeighbours(now)
		if len(near) > 0 {
			q.send(near[q.rng.IntN(len(near))], m, 1)
		}
	}
}

// chooseNeighbours returns the peers with which this process compares usually. They
// stay the same while they answer.
func (q *Quarantine) chooseNeighbours(now time.Time) []string {
	score := func(address string) uint64 { return mix(q.cfg.Seed ^ xxhash.Sum64String(address)) }
	all := slices.SortedFunc(maps.Keys(q.exchange.peers), func(a, b string) int {
		return cmp.Or(cmp.Compare(q.exchange.failureRank(now, a), q.exchange.failureRank(now, b)), cmp.Compare(score(a), score(b)))
	})
	return all[:min(neighbours, len(all))]
}

// handleMessage merges the evidence of another proxy. If the digests still differ,
// it replies with all suspects with repeated crashes.
func (q *Quarantine) handleMessage(now time.Time, e Received) {
	q.mergeAll(now, e.Message)
	reply := Message{Digest: q.digest(now)}
	if reply.Digest != e.Message.Digest {
		reply.Evidence, reply.Full = q.repeatedCrashes(now), true
	}
	q.effects = append(q.effects, Reply{Call: e.Call, Message: reply})
}

// handleReply merges the evidence of a reply. If the digests differ still, the other
// proxy lacks suspects of this one and is sent all of them, once.
func (q *Quarantine) handleReply(now time.Time, e Replied) {
	q.exchange.joined = true
	delete(q.exchange.failedAt, e.Send.Address)
	q.mergeAll(now, e.Reply)
	if digest := q.digest(now); e.Reply.Full && !e.Send.Message.Full && digest != e.Reply.Digest {
		q.send(e.Send.Address, Message{Digest: digest, Evidence: q.repeatedCrashes(now), Full: true}, maxPushAttempts)
	}
}

// handleFailure sends a message that carries evidence to another peer.
func (q *Quarantine) handleFailure(now time.Time, s Send) {
	q.counters.SendsFailed++
	if _, ok := q.exchange.peers[s.Address]; ok {
		q.exchange.failedAt[s.Address] = now
	}
	if s.Attempt >= maxPushAttempts || len(s.Message.Evidence) == 0 {
		return
	}
	for _, a := range q.choosePeers(now, 1) {
		q.send(a, s.Message, s.Attempt+1)
	}
}

// mergeAll merges the valid evidence of a message.
func (q *Quarantine) mergeAll(now time.Time, m Message) {
	var risen []uint64
	for _, e := range m.Evidence[:min(len(m.Evidence), maxEvidence)] {
		if !e.valid() {
			q.counters.Invalid++
			continue
		}
		if q.merge(now, e) {
			risen = append(risen, e.Fingerprint)
		}
	}
	if len(risen) > 0 {
		q.counters.Learnt++
	}
	q.reportRisen(now, risen, false)
}

// compared reports whether a suspect is part of comparisons.
func (s *suspect) compared(now time.Time) bool {
	return s.crashes >= refuseAfter && s.expires().Sub(now) > minLifetime
}

// digest returns a hash of all suspects with repeated crashes, 0 if there are none.
func (q *Quarantine) digest(now time.Time) uint64 {
	var sum uint64
	for f, s := range q.suspects {
		if s.compared(now) {
			sum += mix(mix(f+uint64(s.crashes)) + uint64(s.answered))
		}
	}
	return sum
}

// mix spreads the bits of x; it is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// repeatedCrashes returns the suspects with repeated crashes, up to maxEvidence,
// those with the most unanswered crashes first and then the latest.
func (q *Quarantine) repeatedCrashes(now time.Time) []Evidence {
	var list []Evidence
	for f, s := range q.suspects {
		if s.compared(now) {
			list = append(list, s.evidence(now, f))
		}
	}
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(b.Crashes-b.Answered, a.Crashes-a.Answered), cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list[:min(len(list), maxEvidence)]
}
