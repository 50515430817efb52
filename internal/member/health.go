package member

import (
	"maps"
	"slices"
)

// Partition is what this proxy cannot reach of the fleet.
type Partition struct {
	// Unreachable and Known count instances that are not dead; AvailabilityZones
	// names those with partitioned instances.
	Unreachable       int      `json:"unreachable"`
	Known             int      `json:"known"`
	AvailabilityZones []string `json:"availability_zones"`
	// CutOff reports that this proxy reaches less than half of the fleet, or
	// hears nobody, so that the fault is likely on its own side.
	CutOff bool `json:"cut_off"`
}

// Partition returns nil while the fleet is not partitioned.
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

// RumourCount counts rumours.
type RumourCount struct {
	Held int `json:"held"`
	// Dropped counts those that made way for newer ones.
	Dropped uint64 `json:"dropped"`
}

// Rumours returns the number of rumours held and dropped here.
func (m *Members) Rumours() RumourCount {
	return RumourCount{Held: len(m.rumours.held), Dropped: m.rumours.dropped}
}

// Unknown returns the instances on the platform's list of which nothing has
// been heard, sorted.
func (m *Members) Unknown() []string {
	var unknown []string
	for id := range m.listed {
		if _, known := m.table.byID[id]; !known {
			unknown = append(unknown, id)
		}
	}
	slices.Sort(unknown)
	return unknown
}
