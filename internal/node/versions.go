package node

import "heatherlift.example/heatherlift/internal/source"

// VersionStats holds the metrics of configuration versions.
type VersionStats struct {
	Ready bool
	// Refused is the refused version above the one held, 0 if none.
	Refused uint64
	// Violations counts messages that violated the version protocol.
	Violations uint64
	// Store is nil if the proxy does not follow a store.
	Store *source.EraStats
}

// VersionStats returns the metrics of configuration versions.
func (n *Node) VersionStats() VersionStats {
	refused, _ := n.dist.RefusedVersion()
	return VersionStats{Ready: n.Ready(), Refused: refused, Violations: n.dist.Violations(), Store: n.storeStats()}
}

func (n *Node) storeStats() *source.EraStats {
	if n.follower == nil {
		return nil
	}
	s := n.follower.EraStats()
	return &s
}
