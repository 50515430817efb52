package source

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
	if r.AllowStale || r.OperatorOnly || f.evacuationsDiffer(r) {
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
