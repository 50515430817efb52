package config

import "encoding/json"

// MarshalJSON writes the snapshot as the delta that makes it from nothing.
func (s *Snapshot) MarshalJSON() ([]byte, error) {
	return json.Marshal(Diff(nil, s, nil))
}

// UnmarshalJSON reads a snapshot and computes the hashes of its slices. The
// snapshot may hold fewer sets than its index names.
func (s *Snapshot) UnmarshalJSON(text []byte) error {
	var d Delta
	if err := json.Unmarshal(text, &d); err != nil {
		return err
	}
	s.Version = d.Version
	s.Root = d.Root
	s.Rejected = d.Rejected
	s.Index = applyIndex(&Snapshot{}, &d)
	sets, err := applySets(&Snapshot{}, &d, s.Index, nil)
	if err != nil {
		return err
	}
	s.Sets = sets
	return s.Consistent()
}
