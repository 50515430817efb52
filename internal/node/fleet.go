package node

import "heatherlift.example/heatherlift/internal/member"

// fleetNames bounds each list of names in a Fleet.
const fleetNames = 50

// Fleet sums up which versions are in force where, as far as this proxy knows.
type Fleet struct {
	// InForce is the highest version that every instance which is not dead has
	// reported in force; 0 while an instance on the platform's list has
	// reported nothing.
	InForce uint64 `json:"in_force"`
	// Newest is the highest version in force at any instance.
	Newest uint64 `json:"newest"`
	// Everywhere reports that every instance is reachable and has Newest in
	// force.
	Everywhere bool `json:"everywhere"`
	// Live, Suspect, Partitioned and Unknown count instances. Unknown ones
	// are on the platform's list but were never heard.
	Live        int `json:"live"`
	Suspect     int `json:"suspect"`
	Partitioned int `json:"partitioned"`
	Unknown     int `json:"unknown"`
	// Lagging names live instances below Newest, Unreachable those that do
	// not answer or were never heard, and RefusedAt those that refused a
	// version above the one they have in force. Each list is cut off.
	Lagging     []string `json:"lagging,omitempty"`
	Unreachable []string `json:"unreachable,omitempty"`
	RefusedAt   []string `json:"refused_at,omitempty"`
	// Partition is set while a large share of the fleet is out of reach.
	Partition *member.Partition `json:"partition,omitempty"`
}

// summarise returns the state of a fleet that holds the records, and of the
// instances that are only listed.
func summarise(records []member.Record, unknown []string) Fleet {
	f := Fleet{Unknown: len(unknown)}
	for i, r := range records {
		f.Newest = max(f.Newest, r.Version)
		if i == 0 || r.Version < f.InForce {
			f.InForce = r.Version
		}
	}
	for _, r := range records {
		f.add(r)
	}
	for _, id := range unknown {
		f.InForce = 0
		f.Unreachable = addName(f.Unreachable, id)
	}
	f.Everywhere = f.InForce == f.Newest && f.Suspect+f.Partitioned+f.Unknown == 0
	return f
}

func (f *Fleet) add(r member.Record) {
	switch r.State {
	case member.Suspect:
		f.Suspect++
		f.Unreachable = addName(f.Unreachable, r.ID)
	case member.Partitioned:
		f.Partitioned++
		f.Unreachable = addName(f.Unreachable, r.ID)
	default:
		f.Live++
		if r.Version < f.Newest {
			f.Lagging = addName(f.Lagging, r.ID)
		}
	}
	if r.Refused > r.Version {
		f.RefusedAt = addName(f.RefusedAt, r.ID)
	}
}

func addName(names []string, id string) []string {
	if len(names) >= fleetNames {
		return names
	}
	return append(names, id)
}
