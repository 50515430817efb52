package node

import (
	"time"

	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/routing"
)

func (n *Node) stepLimit(now time.Time, e limit.Event, out *Effects) {
	out.Limit = append(out.Limit, n.limiter.Step(now, e)...)
}

// limitOwners returns the proxies that may own limits.
func limitOwners(view []member.Record) []limit.Member {
	list := make([]limit.Member, 0, len(view))
	for _, r := range view {
		if r.State != member.Alive || !r.Ready {
			continue
		}
		list = append(list, limit.Member{ID: r.ID, AvailabilityZone: r.AvailabilityZone, Address: r.PeerAddress})
	}
	return list
}

// Load is what the proxy counted about requests and limits.
type Load struct {
	Routing       routing.Stats               `json:"routing"`
	Limit         limit.Stats                 `json:"limit"`
	Organisations []routing.OrganisationStats `json:"organisations,omitempty"`
}

// Load returns the counters of requests and limits without those of
// organisations, which cost more to collect.
func (n *Node) Load() Load {
	return Load{Routing: n.router.Stats(), Limit: n.limiter.Stats()}
}

func (n *Node) dumpLoad() Load {
	load := n.Load()
	load.Organisations = n.router.OrganisationStats()
	return load
}
