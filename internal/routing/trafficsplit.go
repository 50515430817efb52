package routing

import (
	"math"

	"heatherlift.example/heatherlift/internal/config"
)

// goldenRatioConjugate is the fractional part of the golden ratio. The
// fractional parts of its multiples are spread evenly over the unit interval
// after any number of steps, so that each part's share of the requests is
// always close to its weight.
const goldenRatioConjugate = 0.6180339887498949

// trafficSplit distributes the requests of routes among their parts by weight.
type trafficSplit struct {
	// counts holds the number of requests of each route since the version came
	// into force.
	counts map[*RouteMatch]uint64
}

func newTrafficSplit() trafficSplit {
	return trafficSplit{counts: make(map[*RouteMatch]uint64)}
}

// nextGroup returns the group for the next request of a route.
func (s *trafficSplit) nextGroup(m *RouteMatch) *config.Group {
	if len(m.partGroups) == 0 {
		return &m.Group
	}
	s.counts[m]++
	_, point := math.Modf(float64(s.counts[m]) * goldenRatioConjugate)
	return m.groupAt(point)
}

// groupAt returns the group whose part of the unit interval contains the point.
func (m *RouteMatch) groupAt(point float64) *config.Group {
	total := 0
	for _, p := range m.Route.Parts {
		total += p.Weight
	}
	point *= float64(total)
	for i, p := range m.Route.Parts {
		if point -= float64(p.Weight); point < 0 {
			return &m.partGroups[i]
		}
	}
	return &m.Group
}
