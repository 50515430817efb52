package node

// Versions holds the metrics of configuration versions.
type Versions struct {
	Ready bool
	// Refused is the refused version above the one held, 0 if none.
	Refused    uint64
	Violations uint64
}

// Versions returns the metrics of configuration versions.
func (n *Node) Versions() Versions {
	refused, _ := n.dist.RefusedVersion()
	return Versions{Ready: n.Ready(), Refused: refused, Violations: n.dist.Violations()}
}
