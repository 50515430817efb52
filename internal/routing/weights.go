package routing

import (
	"math"

	"heatherlift.example/heatherlift/internal/config"
)

// goldenStep is the fraction of the golden ratio. Its multiples spread evenly
// over the unit interval after any number of steps, so that each part's share
// of the requests is close to its weight at every moment.
const goldenStep = 0.6180339887498949

// weights divides the requests of routes among their parts.
type weights struct {
	// counts holds the requests of each route so far, by its match. A new
	// version begins anew.
	counts map[*Match]uint64
}

func newWeights() weights {
	return weights{counts: make(map[*Match]uint64)}
}

// group returns where the next request of a route goes.
func (w *weights) group(m *Match) *config.Group {
	if len(m.parts) == 0 {
		return &m.Group
	}
	w.counts[m]++
	_, at := math.Modf(float64(w.counts[m]) * goldenStep)
	return m.part(at)
}

// part returns the part at a place of the unit interval.
func (m *Match) part(at float64) *config.Group {
	total := 0
	for _, p := range m.Route.Parts {
		total += p.Weight
	}
	at *= float64(total)
	for i, p := range m.Route.Parts {
		if at -= float64(p.Weight); at < 0 {
			return &m.parts[i]
		}
	}
	return &m.Group
}
