package host

import (
	"math/rand/v2"
	"time"

	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/node"
)

const (
	// shortestList is the shortest mean time between two readings of the
	// platform's list.
	shortestList = time.Second
	// listPerInstance bounds the readings of the whole fleet and the bytes of
	// one proxy: a long list is read less often.
	listPerInstance = 10 * time.Millisecond
)

// readInstances reads the platform's list at random intervals.
func (h *Host) readInstances() {
	known := 0
	for {
		list, err := h.instances.Instances(h.ctx)
		if err == nil {
			known = len(list)
			h.step(member.Listed{Instances: list})
		}
		interval := h.listInterval(known)
		if !h.sleep(interval/2 + rand.N(interval)) {
			return
		}
	}
}

// listInterval returns the mean time until the next reading. It is the
// shortest until the proxy has a version: the list lags behind its start.
func (h *Host) listInterval(known int) time.Duration {
	if !h.hasVersion() {
		known = 0
	}
	interval := max(shortestList, time.Duration(known)*listPerInstance)
	return min(interval, time.Duration(h.settings.Platform.InstancesInterval))
}

func (h *Host) hasVersion() bool {
	has := false
	h.view(func(n *node.Node) { has = n.Head().Version > 0 })
	return has
}
