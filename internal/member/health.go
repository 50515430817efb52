package member

import (
	"maps"
	"slices"
)

// Partition describes the part of the fleet that this proxy cannot reach.
type Partition struct {
	// Unreachable counts suspect and partitioned instances, Known all that are
	// not dead. AvailabilityZones names the zones with partitioned instances.
	Unreachable       int      `json:"unreachable"`
	Known             int      `json:"known"`
	AvailabilityZones []string `json:"availability_zones"`
	// CutOff reports that at least half of the known instances are unreachable,
	// or that no peer has been heard from, so that the fault is likely on this
	// proxy's side.
	CutOff bool `json:"cut_off"`
}

// Partition returns nil unless an instance is partitioned or this proxy is
// isolated.
func (m *Members) Partition() *Partition {
	p := Partition{}
	zones := make(map[string]bool)
	for _, e := range m.table.sorted {
		s := e.state()
		if s == Dead {
			continue
		}
		p.Known++
		if s >= Suspect {
			p.Unreachable++
		}
		if s == Partitioned {
			zones[e.AvailabilityZone] = true
		}
	}
	isolated := m.isolated(m.lastTick)
	if len(zones) == 0 && !isolated {
		return nil
	}
	p.AvailabilityZones = slices.Sorted(maps.Keys(zones))
	p.CutOff = isolated || 2*p.Unreachable >= p.Known
	return &p
}

// RumourStats counts rumours.
type RumourStats struct {
	Held int `json:"held"`
	// Dropped counts rumours evicted before they expired to make room for newer
	// ones.
	Dropped uint64 `json:"dropped"`
}

// Rumours returns the number of rumours held and dropped here.
func (m *Members) Rumours() RumourStats {
	return RumourStats{Held: len(m.rumours.held), Dropped: m.rumours.dropped}
}

// UnknownInstances returns the IDs of instances that are on the platform's
// instance list but have no record here, sorted.
func (m *Members) UnknownInstances() []string {
	var unknown []string
	for id := range m.listed {
		if _, known := m.table.byID[id]; !known {
			unknown = append(unknown, id)
		}
	}
	slices.Sort(unknown)
	return unknown
}
