package admission

import "time"

const (
	// meanWeight is the inverse weight of a new observation in the mean.
	meanWeight = 16
	// meanRise is the inverse weight of a longer run in the mean of a route.
	meanRise = 8
	// marginStep is the part of the mean by which a run that was cut at its
	// deadline raises the margin.
	marginStep = 8
	// cutTarget is the number of answered runs that make up for one cut.
	cutTarget = 32
	// marginLimit bounds the margin as a multiple of the mean.
	marginLimit = 2
)

// serviceTime estimates how long the backend server takes, and how much time
// a request must have left so that its run is seldom cut at its deadline.
type serviceTime struct {
	mean   time.Duration
	margin time.Duration
	// routes holds the means by route.
	routes map[string]time.Duration
	// begun is when a request of each route last ran.
	begun map[string]time.Time
}

// probeInterval is the time after which a request of a route is run although
// the estimate speaks against it, since only a run renews the estimate.
const probeInterval = 500 * time.Millisecond

// stale reports whether no request of the route ran of late.
func (s *serviceTime) stale(now time.Time, route string) bool {
	return now.Sub(s.begun[route]) >= probeInterval
}

// begin notes the start of a run.
func (s *serviceTime) begin(now time.Time, route string) {
	if s.begun == nil || len(s.begun) >= maxRoutes {
		s.begun = make(map[string]time.Time)
	}
	s.begun[route] = now
}

// maxRoutes bounds the routes whose means are kept.
const maxRoutes = 1024

// of returns the expected time of a request of the route.
func (s *serviceTime) of(route string) time.Duration {
	if mean, ok := s.routes[route]; ok {
		return mean
	}
	return s.mean
}

// observeRoute adds a complete run of a route.
func (s *serviceTime) observeRoute(route string, d time.Duration) {
	mean, ok := s.routes[route]
	switch {
	case ok:
		// A rise is bounded, so that one long run does not count for many,
		// and yet a few of them show a backend server that turned slow.
		s.routes[route] = mean + min((d-mean)/meanRise, mean/meanRise)
		if d < mean {
			s.routes[route] = mean + (d-mean)/meanWeight
		}
	case route == "":
	default:
		if s.routes == nil || len(s.routes) >= maxRoutes {
			s.routes = make(map[string]time.Duration)
		}
		s.routes[route] = d
	}
}

// answered adds a complete run.
func (s *serviceTime) answered(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
	}
	s.mean += (d - s.mean) / meanWeight
	s.margin = max(0, s.margin-s.mean/marginStep/cutTarget)
}

// cut adds a run that was cut after d, which tells only that it would have
// taken longer.
func (s *serviceTime) cut(d time.Duration) {
	if d > s.mean {
		s.mean += (d - s.mean) / meanWeight
	}
	s.margin = min(s.margin+s.mean/marginStep, s.mean*marginLimit)
}

// needed returns the time that a request with the budget must have left. It
// is at most half of the budget, so that each request can wait for a while.
func (s *serviceTime) needed(budget time.Duration) time.Duration {
	return min(s.margin, budget/2)
}
