package host

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

// pollInstances polls the platform's instance list until the host stops. The
// interval grows with the size of the fleet. It is shorter while no configuration
// version is in force at this proxy, and for proxies in the role reader.
func (h *Host) pollInstances() {
	p := h.settings.Platform
	schedule := source.NewPollSchedule(time.Duration(p.InstancesInterval), p.FleetSize, xxhash.Sum64String(h.runID))
	wait := schedule.InitialDelay()
	for h.sleep(wait) {
		list, transferred, err := h.instances.Read(h.ctx)
		if err != nil {
			wait = schedule.FailureDelay()
			continue
		}
		h.step(member.Listed{Instances: list})
		switch head := h.Head(); {
		case head.Version == 0:
			wait = schedule.EarlyReadDelay()
		case head.Role == dist.Reader.String():
			wait = schedule.NextWatcherDelay(len(list), transferred)
		default:
			wait = schedule.NextDelay(len(list))
		}
	}
}
