package config

import "encoding/json"

// MarshalJSON encodes the snapshot as a Delta without a base.
func (s *Snapshot) MarshalJSON() ([]byte, error) {
	return json.Marshal(Diff(nil, s, nil))
}

// UnmarshalJSON decodes a snapshot, computes the hashes of its slices and checks
// it with Consistent. The snapshot may hold only some of the sets in its index.
func (s *Snapshot) UnmarshalJSON(data []byte) error {
	var d Delta
	if err := json.Unmarshal(data, &d); err != nil {
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
