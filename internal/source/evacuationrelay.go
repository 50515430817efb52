package source

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// evacuationAskInterval is the time between two questions of a proxy that the store does
// not answer to other proxies. A proxy has 5 s to learn of an evacuation; in that time it
// asks several of them, some of which may be cut off as well.
const evacuationAskInterval = time.Second

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
		if e.Era < f.evacuations.position.Era {
			f.evacuations.put(e)
		}
	}
}

// evacuationPeers is the state of the questions about evacuations to other proxies.
type evacuationPeers struct {
	rng      *rand.Rand
	inFlight bool
	nextAt   time.Time
	asked    int
	// failed reports that the latest question was not answered.
	failed bool
}

func newEvacuationPeers(seed uint64) evacuationPeers {
	return evacuationPeers{rng: rand.New(rand.NewPCG(seed, 4))}
}

// NextEvacuationCall returns a call to another proxy that asks for its evacuations. It
// returns false if none is due. Calls are due while the store does not answer this
// proxy, which may be the only one.
func (f *Follower) NextEvacuationCall(now time.Time) (Call, bool) {
	p := &f.evacuations.peers
	if p.inFlight || now.Before(p.nextAt) || !f.listed || !f.storeFails(now) {
		return Call{}, false
	}
	peer := f.nextEvacuationPeer()
	if peer == nil {
		return Call{}, false
	}
	p.inFlight, p.nextAt = true, now.Add(evacuationAskInterval)
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

// nextEvacuationPeer returns another proxy, by turns one of the own zone, where bytes
// cost nothing, and any: the whole zone may be cut off from the store.
func (f *Follower) nextEvacuationPeer() *Instance {
	p := &f.evacuations.peers
	p.asked++
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
	if p.asked%2 == 1 && len(near) > 0 {
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
	if cause == "" && r.Stale {
		cause = "it holds no list"
	}
	if cause != "" {
		if !p.failed {
			v.addNote("evacuations not read from another proxy", fmt.Sprintf("%s: %s", id, cause))
		}
		p.failed = true
		return v
	}
	p.failed = false
	f.applyRelayedEvacuations(r)
	f.updateEvacuations(now, &v)
	return v
}
