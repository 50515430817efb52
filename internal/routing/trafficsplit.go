package routing

import (
	"math"
	"math/rand/v2"

	"heatherlift.example/heatherlift/internal/config"
)

// goldenRatioConjugate is the fractional part of the golden ratio. The
// fractional parts of its multiples are spread evenly over the unit interval
// after any number of steps, so that each part's share of the requests is
// always close to its weight.
const goldenRatioConjugate = 0.6180339887498949

// trafficSplit distributes the requests of routes among their parts by weight.
type trafficSplit struct {
	rng *rand.Rand
	// points holds the latest point of each route with a request since the version
	// came into force. The first one is random: proxies that all began at the same
	// point would send their first requests to the same part.
	points map[*RouteMatch]float64
}

func newTrafficSplit(rng *rand.Rand) trafficSplit {
	return trafficSplit{rng: rng, points: make(map[*RouteMatch]float64)}
}

// nextGroup returns the group for the next request of a route.
func (s *trafficSplit) nextGroup(m *RouteMatch) *config.Group {
	if len(m.partGroups) == 0 {
		return &m.Group
	}
	point, ok := s.points[m]
	if !ok {
		point = s.rng.Float64()
	}
	_, point = math.Modf(point + goldenRatioConjugate)
	s.points[m] = point
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
