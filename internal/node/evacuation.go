package node

import (
	"fmt"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/source"
	"heatherlift.example/heatherlift/internal/warmup"
)

// Evacuation is an evacuated availability zone, as known to this proxy.
type Evacuation struct {
	Zone string `json:"zone"`
	// Position is that of the operator's write in the store.
	Position source.Position `json:"position"`
	// Since is when it took effect at this proxy.
	Since time.Time `json:"since"`
}

func (e Evacuation) String() string {
	return fmt.Sprintf("zone %s, %v, since %s", e.Zone, e.Position, e.Since.UTC().Format(time.RFC3339Nano))
}

// applyEvacuations records which availability zones are evacuated. The list of instances
// that follows passes them on.
func (n *Node) applyEvacuations(now time.Time, list []source.Evacuation, out *Effects) {
	former := n.evacuations
	n.evacuations = make([]Evacuation, 0, len(list))
	for _, e := range list {
		evacuation := Evacuation{Zone: e.Zone, Position: e.Position(), Since: now}
		if known, ok := findEvacuation(former, e.Zone); ok {
			evacuation.Since = known.Since
		} else {
			n.journal.add(now, "availability zone evacuated", evacuation.String())
		}
		n.evacuations = append(n.evacuations, evacuation)
	}
	for _, e := range former {
		if !n.evacuated(e.Zone) {
			n.journal.add(now, "evacuation ended", e.String())
		}
	}
}

func findEvacuation(list []Evacuation, zone string) (Evacuation, bool) {
	for _, e := range list {
		if e.Zone == zone {
			return e, true
		}
	}
	return Evacuation{}, false
}

// evacuated reports whether an availability zone is evacuated.
func (n *Node) evacuated(zone string) bool {
	_, ok := findEvacuation(n.evacuations, zone)
	return ok
}

// updateLocalEvacuation tells admission whether the local backend server is in an
// evacuated availability zone.
func (n *Node) updateLocalEvacuation(now time.Time, out *Effects) {
	zone := n.backend.AvailabilityZone
	if n.backend.ID == "" {
		zone = n.cfg.Dist.AvailabilityZone
	}
	evacuated := n.evacuated(zone)
	if evacuated == n.locallyEvacuated {
		return
	}
	n.locallyEvacuated = evacuated
	n.stepAdmission(now, admission.Evacuated{Evacuated: evacuated}, out)
	if !evacuated {
		n.stepAdmission(now, admission.MayBeCold{Cause: string(warmup.Evacuation)}, out)
	}
}

// EvacuationStats holds the metrics of evacuations.
type EvacuationStats struct {
	source.EvacuationStats
	// Evacuations are those in force, sorted by zone.
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

// EvacuationStats returns the metrics of evacuations, nil if the proxy does not follow a
// store.
func (n *Node) EvacuationStats() *EvacuationStats {
	if n.follower == nil {
		return nil
	}
	return &EvacuationStats{EvacuationStats: n.follower.EvacuationStats(), Evacuations: n.evacuations}
}
