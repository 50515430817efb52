package admission

import "time"

const (
	// meanDivisor is the inverse weight of a new observation in the moving
	// average.
	meanDivisor = 16
	// routeRiseDivisor is the inverse weight of an observation above the mean
	// of a route.
	routeRiseDivisor = 8
	// A request that reaches its deadline while it runs raises the margin by
	// mean/marginStepDivisor.
	marginStepDivisor = 8
	// answersPerTimeout is the number of answered requests that offset one
	// deadline reached during a run.
	answersPerTimeout = 32
	// maxMarginFactor limits the margin to a multiple of the mean.
	maxMarginFactor = 2
)

// serviceTimeEstimator estimates the service time of the backend server, and the
// time that a request must have left at its start so that it seldom reaches its
// deadline while it runs.
type serviceTimeEstimator struct {
	mean time.Duration
	// margin is the time that a request must have left at its start.
	margin time.Duration
	// routeMeans holds the mean service time of each route.
	routeMeans map[string]time.Duration
	// lastStart is the time at which a request of each route last started.
	lastStart map[string]time.Time
}

// estimateTTL is the time without a run after which the estimate of a route is
// stale. A request of the route is then run although the estimate speaks against
// it, since only a run updates the estimate.
const estimateTTL = 500 * time.Millisecond

// stale reports whether no request of the route started within estimateTTL.
func (s *serviceTimeEstimator) stale(now time.Time, route string) bool {
	return now.Sub(s.lastStart[route]) >= estimateTTL
}

// recordStart records the start of a request of the route.
func (s *serviceTimeEstimator) recordStart(now time.Time, route string) {
	if s.lastStart == nil || len(s.lastStart) >= maxRoutes {
		s.lastStart = make(map[string]time.Time)
	}
	s.lastStart[route] = now
}

// maxRoutes bounds the routes for which estimates are kept. A map that is full is
// cleared.
const maxRoutes = 1024

// expected returns the expected service time of a request of the route: the mean of
// the route if known, or else that of all requests.
func (s *serviceTimeEstimator) expected(route string) time.Duration {
	if mean, ok := s.routeMeans[route]; ok {
		return mean
	}
	return s.mean
}

// recordRouteAnswer adds the service time of an answered request to the mean of its
// route.
func (s *serviceTimeEstimator) recordRouteAnswer(route string, d time.Duration) {
	mean, ok := s.routeMeans[route]
	switch {
	case ok:
		// The weight of a long service time is bounded, so that a single one
		// has little effect, while a few show that the backend server has
		// become slow.
		s.routeMeans[route] = mean + min((d-mean)/routeRiseDivisor, mean/routeRiseDivisor)
		if d < mean {
			s.routeMeans[route] = mean + (d-mean)/meanDivisor
		}
	case route == "":
	default:
		if s.routeMeans == nil || len(s.routeMeans) >= maxRoutes {
			s.routeMeans = make(map[string]time.Duration)
		}
		s.routeMeans[route] = d
	}
}

// recordAnswer adds the service time of an answered request.
func (s *serviceTimeEstimator) recordAnswer(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
	}
	s.mean += (d - s.mean) / meanDivisor
	s.margin = max(0, s.margin-s.mean/marginStepDivisor/answersPerTimeout)
}

// recordTimeout adds a request that reached its deadline after running for d. Its
// full service time is unknown but longer than d.
func (s *serviceTimeEstimator) recordTimeout(d time.Duration) {
	if d > s.mean {
		s.mean += (d - s.mean) / meanDivisor
	}
	s.margin = min(s.margin+s.mean/marginStepDivisor, s.mean*maxMarginFactor)
}

// requiredTime returns the time that a request must have left at its start, given
// its time budget. It is at most half of the budget, so that every request may
// wait for a while.
func (s *serviceTimeEstimator) requiredTime(budget time.Duration) time.Duration {
	return min(s.margin, budget/2)
}
