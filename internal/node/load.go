package node

// LoadPerSlot returns the number of requests running and queued at the local
// backend server, per slot.
func (n *Node) LoadPerSlot() float64 {
	slots := n.cfg.Admission.Slots
	if n.backend.Slots > 0 {
		slots = n.backend.Slots
	}
	running, waiting := n.admission.InFlight()
	return float64(running+waiting) / float64(max(1, slots))
}
