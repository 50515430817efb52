package host

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

// readInstances reads the platform's list at the pace of the fleet's size,
// sooner until the proxy has a version, and more often at readers.
func (h *Host) readInstances() {
	p := h.settings.Platform
	pace := source.NewPace(time.Duration(p.InstancesInterval), p.FleetSize, xxhash.Sum64String(h.origin))
	wait := pace.First()
	for h.sleep(wait) {
		list, transferred, err := h.instances.Read(h.ctx)
		if err != nil {
			wait = pace.Failed()
			continue
		}
		h.step(member.Listed{Instances: list})
		switch head := h.Head(); {
		case head.Version == 0:
			wait = pace.Soon()
		case head.Role == dist.Reader.String():
			wait = pace.ReadOften(len(list), transferred)
		default:
			wait = pace.Read(len(list))
		}
	}
}
