package node

// LoadPerSlot returns the number of requests that run at the local backend server
// or wait for it in this proxy, per slot.
func (n *Node) LoadPerSlot() float64 {
	slots := n.cfg.Admission.Slots
	if n.backend.Slots > 0 {
		slots = n.backend.Slots
	}
	running, waiting := n.admission.InFlight()
	return float64(running+waiting) / float64(max(1, slots))
}
