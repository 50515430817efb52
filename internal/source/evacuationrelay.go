package source

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// evacuationAskInterval is the time between two questions to other proxies while the
	// store does not answer this one, which has 5 s to learn of an evacuation.
	evacuationAskInterval = time.Second
	// evacuationRepeatDelay is the time to the next question if the proxy that was asked
	// is without the store as well. After maxQuickQuestions the store is likely down for
	// all, and the interval applies.
	evacuationRepeatDelay = 100 * time.Millisecond
	maxQuickQuestions     = 3
)

// EvacuationDigest tells a reader which evacuations the requester holds.
type EvacuationDigest struct {
	// Position is that up to which they are complete.
	Position Position `json:"position"`
	// Hash is a hash of the evacuations, 0 if there are none.
	Hash uint64 `json:"hash,omitempty"`
}

// EvacuationDigest returns the digest of the evacuations held here.
func (f *Follower) EvacuationDigest() EvacuationDigest {
	return EvacuationDigest{Position: f.evacuations.position, Hash: f.evacuations.hash()}
}

// evacuationsDiffer reports whether the requester is to be told of the evacuations held
// here, because they differ and are newer. An answer to a requester with newer ones
// would change nothing there, and be asked for again at once.
func (f *Follower) evacuationsDiffer(r RelayRequest) bool {
	return r.Evacuations != nil && r.Evacuations.Position.Before(f.evacuations.position) && r.Evacuations.Hash != f.evacuations.hash()
}

// addEvacuations adds the evacuations to a reply, the set itself only if the requester
// needs it.
func (f *Follower) addEvacuations(reply *RelayReply, r RelayRequest) {
	reply.Evacuated = &EvacuationDigest{Position: f.evacuations.position, Hash: f.evacuations.hash()}
	if r.AllowStale || r.EvacuationsOnly || f.evacuationsDiffer(r) {
		reply.Evacuations = f.evacuations.list()
	}
}

// applyRelayedEvacuations applies the evacuations in the reply of another proxy.
func (f *Follower) applyRelayedEvacuations(r RelayReply) {
	s := &f.evacuations
	switch {
	case r.Evacuated == nil: // of a proxy that knows no evacuations
	case r.Evacuations != nil:
		s.replace(r.Evacuated.Position, r.Evacuations)
	case r.Evacuated.Hash == s.hash() && s.position.Before(r.Evacuated.Position):
		s.position = r.Evacuated.Position
	}
}

// adoptEvacuations applies the reply of a proxy that was asked to confirm the state of a
// store that may be an older copy: evacuations of an older era that the copy lacks are
// held until the operator's state is known.
func (f *Follower) adoptEvacuations(r RelayReply) {
	f.applyRelayedEvacuations(r)
	for _, e := range r.Evacuations {
		if e.Era > 0 && e.Era < f.evacuations.position.Era {
			f.evacuations.put(e)
		}
	}
}

// evacuationPeers is the state of the questions about evacuations to other proxies.
type evacuationPeers struct {
	rng      *rand.Rand
	inFlight bool
	nextAt   time.Time
	// peer is the proxy that answered last and follows the store, empty if none did.
	peer string
	// misses counts the questions since then.
	misses int
	// failed reports that the latest question was not answered.
	failed bool
	// askedAt is the time of the latest question.
	askedAt time.Time
}

func newEvacuationPeers(seed uint64) evacuationPeers {
	return evacuationPeers{rng: rand.New(rand.NewPCG(seed, 4))}
}

// NextEvacuationCall returns a call to another proxy that asks for its evacuations. It
// returns false if none is due. Calls are due while the store does not answer this
// proxy, which may be the only one.
func (f *Follower) NextEvacuationCall(now time.Time) (Call, bool) {
	p := &f.evacuations.peers
	if !f.storeFails(now) {
		p.peer, p.misses = "", 0
		return Call{}, false
	}
	if p.inFlight || now.Before(p.nextAt) || !f.listed {
		return Call{}, false
	}
	peer := f.nextEvacuationPeer()
	if peer == nil {
		return Call{}, false
	}
	p.inFlight, p.askedAt, p.nextAt = true, now, now.Add(evacuationAskInterval)
	return Call{At: now, Part: EvacuationsOnly, Era: f.position.Era, After: f.position.Revision, Reader: peer}, true
}

// storeFails reports whether the latest call of this proxy to the store failed.
func (f *Follower) storeFails(now time.Time) bool {
	if f.failures > 0 {
		return true
	}
	if f.configurationWatch.failures == 0 || !f.isLargeFleet() {
		return false
	}
	reader, _ := f.selectReader(now)
	return reader == nil
}

// nextEvacuationPeer returns the proxy to ask: the one that answered last, otherwise first
// one of the own zone, where bytes cost nothing, and then any, since the whole zone may be
// cut off from the store.
func (f *Follower) nextEvacuationPeer() *Instance {
	p := &f.evacuations.peers
	if e, ok := f.known[p.peer]; ok {
		return e.Instance
	}
	var near, all []*Instance
	for _, id := range slices.Sorted(maps.Keys(f.known)) {
		i := f.known[id].Instance
		if i.PeerAddress == "" || i.BackendAddress == f.cfg.BackendAddress {
			continue
		}
		all = append(all, i)
		if i.AvailabilityZone == f.cfg.AvailabilityZone {
			near = append(near, i)
		}
	}
	if p.misses == 0 && len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return nil
	}
	return all[p.rng.IntN(len(all))]
}

// HandlePeerEvacuations handles the reply to a call of NextEvacuationCall, or its
// failure if the cause is not empty.
func (f *Follower) HandlePeerEvacuations(now time.Time, id string, r RelayReply, cause string) Update {
	var v Update
	p := &f.evacuations.peers
	p.inFlight = false
	if cause != "" && !p.failed {
		v.addNote("evacuations not read from another proxy", fmt.Sprintf("%s: %s", id, cause))
	}
	p.failed = cause != ""
	if p.failed || r.Stale {
		p.peer = ""
		p.misses++
		if p.misses < maxQuickQuestions {
			p.nextAt = now.Add(evacuationRepeatDelay)
		}
	} else {
		p.peer, p.misses = id, 0
	}
	if !p.failed {
		f.sightings.record(p.askedAt.Add(-r.age()))
		// What a proxy knows holds also while it is without the store.
		f.applyRelayedEvacuations(r)
		f.updateEvacuations(now, &v)
	}
	return v
}
