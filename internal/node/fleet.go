package node

import "heatherlift.example/heatherlift/internal/member"

// maxFleetNames bounds each list of instance identifiers in a FleetSummary.
const maxFleetNames = 50

// FleetSummary summarises which configuration versions are in force in the
// fleet, as known to this proxy.
type FleetSummary struct {
	// InForce is the lowest version in force at any instance that is not dead; 0
	// while the version of an instance on the platform's list is not known.
	InForce uint64 `json:"in_force"`
	// Newest is the highest version in force at any instance.
	Newest uint64 `json:"newest"`
	// Everywhere reports whether every instance is reachable and has Newest in
	// force.
	Everywhere bool `json:"everywhere"`
	// Live, Suspect, Partitioned and Unknown count instances by state. Live
	// includes leaving instances. Unknown instances are on the platform's list,
	// but there is no membership record of them.
	Live        int `json:"live"`
	Suspect     int `json:"suspect"`
	Partitioned int `json:"partitioned"`
	Unknown     int `json:"unknown"`
	// Lagging lists live instances whose version is below Newest, Unreachable
	// those that are suspect, partitioned or unknown, and RefusedAt those that
	// refused a version above the one they have in force. Each list is
	// truncated to maxFleetNames.
	Lagging     []string `json:"lagging,omitempty"`
	Unreachable []string `json:"unreachable,omitempty"`
	RefusedAt   []string `json:"refused_at,omitempty"`
	// Partition is set while a large share of the fleet is unreachable.
	Partition *member.Partition `json:"partition,omitempty"`
}

// summariseFleet returns the summary of the instances with a membership record
// and of the unknown ones, which are only on the platform's list.
func summariseFleet(records []member.Record, unknown []string) FleetSummary {
	f := FleetSummary{Unknown: len(unknown)}
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
		f.Unreachable = appendBounded(f.Unreachable, id)
	}
	f.Everywhere = f.InForce == f.Newest && f.Suspect+f.Partitioned+f.Unknown == 0
	return f
}

func (f *FleetSummary) add(r member.Record) {
	switch r.State {
	case member.Suspect:
		f.Suspect++
		f.Unreachable = appendBounded(f.Unreachable, r.ID)
	case member.Partitioned:
		f.Partitioned++
		f.Unreachable = appendBounded(f.Unreachable, r.ID)
	default:
		f.Live++
		if r.Version < f.Newest {
			f.Lagging = appendBounded(f.Lagging, r.ID)
		}
	}
	if r.Refused > r.Version {
		f.RefusedAt = appendBounded(f.RefusedAt, r.ID)
	}
}

// appendBounded appends id unless the list has reached maxFleetNames.
func appendBounded(names []string, id string) []string {
	if len(names) >= maxFleetNames {
		return names
	}
	return append(names, id)
}
