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

// limitOwners returns the proxies that may own rate limits: those that are alive
// and ready.
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

// RequestStats holds the counters of routing and rate limiting.
type RequestStats struct {
	Routing       routing.Stats               `json:"routing"`
	Limit         limit.Stats                 `json:"limit"`
	Organisations []routing.OrganisationStats `json:"organisations,omitempty"`
}

// RequestStats returns the counters of routing and rate limiting. It leaves out
// the counters of single organisations, which are more expensive to collect.
func (n *Node) RequestStats() RequestStats {
	return RequestStats{Routing: n.router.Stats(), Limit: n.limiter.Stats()}
}

// detailedRequestStats returns RequestStats with the counters of each
// organisation.
func (n *Node) detailedRequestStats() RequestStats {
	stats := n.RequestStats()
	stats.Organisations = n.router.OrganisationStats()
	return stats
}
