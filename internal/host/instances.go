package host

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/source"
)

// readInstances reads the platform's list at the pace of the fleet's size, and
// sooner until the proxy has a version.
func (h *Host) readInstances() {
	p := h.settings.Platform
	pace := source.NewPace(time.Duration(p.InstancesInterval), p.FleetSize, xxhash.Sum64String(h.origin))
	wait := pace.First()
	for h.sleep(wait) {
		list, err := h.instances.Instances(h.ctx)
		if err != nil {
			wait = pace.Failed()
			continue
		}
		h.step(member.Listed{Instances: list})
		wait = pace.Read(len(list))
		if !h.hasVersion() {
			wait = pace.Soon()
		}
	}
}

func (h *Host) hasVersion() bool {
	has := false
	h.view(func(n *node.Node) { has = n.Head().Version > 0 })
	return has
}
