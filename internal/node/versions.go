package node

// Versions is what is counted about versions.
type Versions struct {
	Ready bool
	// Refused is the refused version above the one held, 0 if there is none.
	Refused    uint64
	Violations uint64
}

// Versions returns what is counted about versions.
func (n *Node) Versions() Versions {
	refused, _ := n.dist.RefusedVersion()
	return Versions{Ready: n.Ready(), Refused: refused, Violations: n.dist.Violations()}
}
