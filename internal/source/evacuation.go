package source

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxLoggedEvacuationKeys bounds the keys that are remembered because they were logged.
const maxLoggedEvacuationKeys = 64

// Evacuation states that nothing is to be sent to the backend servers of an availability
// zone.
type Evacuation struct {
	Zone string `json:"zone"`
	// Era is the era of the answer that held the evacuation. The follower sets it.
	Era uint64 `json:"era,omitempty"`
	// Revision is that of the write or, with Ended, of the removal.
	Revision uint64 `json:"revision"`
	// Ended is set in changes only.
	Ended bool `json:"ended,omitempty"`
}

// Position returns the position of the write or the removal.
func (e Evacuation) Position() Position { return Position{e.Era, e.Revision} }

// EvacuationStats counts keys of evacuations without effect.
type EvacuationStats struct {
	// Malformed counts the keys that name no availability zone, and Unknown those of
	// zones of which no instance was listed when they were read.
	Malformed uint64 `json:"malformed,omitempty"`
	Unknown   uint64 `json:"unknown,omitempty"`
}

// heldEvacuation is an evacuation that the operator has not ended.
type heldEvacuation struct {
	Evacuation
	// zoneKnown is set once an instance of the zone is listed.
	zoneKnown bool
	// doubtedUntil is when the evacuation ends if the store, restored from an older
	// copy that lacks it, does not name it again; zero if there is no doubt.
	doubtedUntil time.Time
}

// evacuationState holds the evacuations and the position up to which they are complete.
// Answers of several calls update them, in any order. An answer takes effect only as far
// as it is newer than that position, so that none undoes what a newer one said.
type evacuationState struct {
	position Position
	held     map[string]*heldEvacuation
	// inForce is the last value of Update.Evacuations.
	inForce []Evacuation
	// logged holds the malformed keys and unknown zones that were logged.
	logged map[string]bool
	stats  EvacuationStats
}

func newEvacuationState() evacuationState {
	return evacuationState{held: make(map[string]*heldEvacuation), logged: make(map[string]bool)}
}

// put stores an evacuation unless a newer one of the zone is held.
func (s *evacuationState) put(e Evacuation) {
	h, ok := s.held[e.Zone]
	switch {
	case !ok:
		s.held[e.Zone] = &heldEvacuation{Evacuation: e}
	case h.Position().Before(e.Position()):
		h.Evacuation, h.doubtedUntil = e, time.Time{}
	}
}

// replace stores the complete set of evacuations at a position. An evacuation that the
// set lacks has ended, unless it is newer than the set or of an older era: a restored
// copy may lack it.
func (s *evacuationState) replace(at Position, set []Evacuation) {
	if !s.position.Before(at) {
		return
	}
	if s.position.Era < at.Era {
		for _, h := range s.held {
			h.doubtedUntil = time.Time{} // the period begins again with each restoration
		}
	}
	present := make(map[string]bool, len(set))
	for _, e := range set {
		present[e.Zone] = true
		s.put(e)
	}
	for zone, h := range s.held {
		mayBeLost := h.Era > 0 && h.Era < at.Era
		if !present[zone] && h.Position().Before(at) && !mayBeLost {
			delete(s.held, zone)
		}
	}
	s.position = at
}

// change applies changes that are complete up to a position. Those of another era than
// the known one are left to the complete read that follows.
func (s *evacuationState) change(at Position, changes []Evacuation) {
	if at.Era != s.position.Era {
		return
	}
	for _, e := range changes {
		switch h, ok := s.held[e.Zone]; {
		case !s.position.Before(e.Position()):
		case !e.Ended:
			s.put(e)
		case ok && h.Position().Before(e.Position()):
			delete(s.held, e.Zone)
		}
	}
	if s.position.Before(at) {
		s.position = at
	}
}

// list returns the held evacuations, sorted by zone.
func (s *evacuationState) list() []Evacuation {
	out := make([]Evacuation, 0, len(s.held))
	for _, zone := range slices.Sorted(maps.Keys(s.held)) {
		out = append(out, s.held[zone].Evacuation)
	}
	return out
}

// hash returns a hash of the held evacuations, 0 if there are none.
func (s *evacuationState) hash() uint64 {
	if len(s.held) == 0 {
		return 0
	}
	hash := xxhash.New()
	for _, e := range s.list() {
		fmt.Fprintf(hash, "%q %d %d\n", e.Zone, e.Era, e.Revision)
	}
	return hash.Sum64()
}

// logOnce reports whether a key is seen for the first time, as far as keys are
// remembered.
func (s *evacuationState) logOnce(key string) bool {
	if s.logged[key] || len(s.logged) >= maxLoggedEvacuationKeys {
		return false
	}
	s.logged[key] = true
	return true
}

// noteMalformedKeys counts and logs keys that name no availability zone.
func (f *Follower) noteMalformedKeys(keys []string, v *Update) {
	for _, key := range keys {
		if f.evacuations.logOnce("key " + key) {
			f.evacuations.stats.Malformed++
			v.addNote("evacuation ignored", fmt.Sprintf("key %q names no availability zone", key))
		}
	}
}

// updateEvacuations returns the evacuations that are in force if they have changed, with
// the instances, whose use depends on them. An evacuation of a zone without a known
// instance has no effect yet.
func (f *Follower) updateEvacuations(now time.Time, v *Update) {
	s := &f.evacuations
	inForce := []Evacuation{}
	for _, zone := range slices.Sorted(maps.Keys(s.held)) {
		h := s.held[zone]
		if h.doubtedUntil.IsZero() && h.Era > 0 && h.Era < s.position.Era {
			h.doubtedUntil = now.Add(doubtPeriod)
			v.addNote("evacuation kept", fmt.Sprintf("zone %s; the restored store lacks it", zone))
		}
		h.zoneKnown = h.zoneKnown || f.listed && f.knowsZone(zone)
		switch {
		case h.zoneKnown:
			inForce = append(inForce, h.Evacuation)
		case f.listed && s.logOnce("zone "+zone):
			s.stats.Unknown++
			v.addNote("evacuation without effect", fmt.Sprintf("no instance of the availability zone %q is known", zone))
		}
	}
	if slices.Equal(inForce, s.inForce) {
		return
	}
	s.inForce, v.Evacuations = inForce, inForce
	if v.Instances == nil {
		f.setInstances(v)
	}
}

// knowsZone reports whether the settings or the list of instances name a zone.
func (f *Follower) knowsZone(zone string) bool {
	if zone == f.cfg.AvailabilityZone {
		return true
	}
	for _, e := range f.known {
		if e.Instance.AvailabilityZone == zone {
			return true
		}
	}
	return false
}

// endDoubtedEvacuations ends those that a restored store still lacks after doubtPeriod.
// They are kept while the store is away.
func (f *Follower) endDoubtedEvacuations(now time.Time) {
	for zone, h := range f.evacuations.held {
		if !h.doubtedUntil.IsZero() && !now.Before(h.doubtedUntil) && f.Reachable() {
			delete(f.evacuations.held, zone)
		}
	}
}

// EvacuationStats returns the counters of keys without effect.
func (f *Follower) EvacuationStats() EvacuationStats { return f.evacuations.stats }

// evacuationsInEra returns the evacuations with the era of the answer that held them.
func evacuationsInEra(list []Evacuation, era uint64) []Evacuation {
	out := make([]Evacuation, len(list))
	for i, e := range list {
		e.Era = era
		out[i] = e
	}
	return out
}

// applyEvacuationChanges applies the evacuations in the answer of a watch or, if it is
// complete, of a read of the operator's part of the store.
func (f *Follower) applyEvacuationChanges(c Changes, v *Update) {
	f.noteMalformedKeys(c.MalformedKeys, v)
	list := evacuationsInEra(c.Evacuations, c.Era)
	switch {
	case c.Complete:
		f.evacuations.replace(c.Position(), list)
	case c.Part != InstancesOnly:
		f.evacuations.change(c.Position(), list)
	}
}
