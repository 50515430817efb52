package node

import (
	"time"

	"heatherlift.example/heatherlift/internal/admission"
)

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

// CostReport returns what this proxy reports of the local backend server on a request,
// and false if it reports nothing.
func (n *Node) CostReport(now time.Time, e admission.Arrived) (admission.CostReport, bool) {
	return n.admission.CostReport(now, e)
}
