package node

import (
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

// applyInstances passes the list to routing, and the entry of the local backend
// server to admission. If the list lacks this entry, admission refuses all
// requests.
func (n *Node) applyInstances(now time.Time, list []source.Instance, out *Effects) {
	backend, listed := n.localBackend(list)
	entryIsNew := n.listWarmUps(now, list, backend.ID)
	instances := make([]routing.Instance, 0, len(list))
	for _, i := range list {
		instances = append(instances, routing.Instance{
			ID:               i.ID,
			Service:          i.Service,
			AvailabilityZone: i.AvailabilityZone,
			Address:          i.Address,
			Slots:            i.Slots,
			Leaving:          i.State == source.InstanceLeaving,
			Evacuated:        n.evacuated(i.AvailabilityZone),
			Incarnation:      i.Incarnation,
			ColdUntil:        n.coldUntil(i.ID),
		})
	}
	if listed {
		n.updateBackend(now, backend, out)
		if entryIsNew {
			n.stepAdmission(now, admission.WarmUpListed{Left: backend.WarmUpLeft}, out)
		}
	} else {
		n.stepAdmission(now, admission.Draining{Draining: true}, out)
	}
	n.updateLocalEvacuation(now, out)
	n.stepRouting(now, routing.InstancesChanged{Instances: instances}, out)
	n.stepQuarantine(now, n.listedPeers(list), out)
}

// localBackend returns the entry of the local backend server.
func (n *Node) localBackend(list []source.Instance) (backend source.Instance, ok bool) {
	for _, i := range list {
		if i.BackendAddress == n.cfg.BackendAddress && i.Service == n.cfg.Member.Self.Service {
			return i, true
		}
	}
	return source.Instance{}, false
}

// updateBackend passes the listed state of the local backend server to admission.
func (n *Node) updateBackend(now time.Time, i source.Instance, out *Effects) {
	if n.backend.ID != i.ID || n.backend.Incarnation != i.Incarnation || n.backend.State != i.State {
		n.journal.add(now, "backend server "+string(i.State), i.ID+" with "+strconv.Itoa(i.Slots)+" slots")
	}
	restarted := n.backend.ID != i.ID || n.backend.Incarnation != i.Incarnation
	n.backend = i
	n.stepAdmission(now, admission.Assigned{
		Slots:      i.Slots,
		Restarted:  restarted,
		Instance:   i.ID,
		Superseded: n.follower.Superseded(i.BackendAddress),
	}, out)
	n.stepAdmission(now, admission.Draining{Draining: i.State == source.InstanceLeaving}, out)
}
