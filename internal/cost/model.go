// Package cost estimates what requests cost: the work of each route of a service, as
// the time that its requests take on an instance of usual speed, and the slowness of
// each instance, as the factor by which they take longer there.
//
// Both are estimated together from the same observations, so that a slow instance does
// not make a route look expensive, nor the reverse. The package is pure: it does no I/O
// and reads no clock.
package cost

import (
	"math"
	"time"
)

const (
	// maxRoutes and maxInstances bound the memory of a model. The entry that was
	// observed longest ago is replaced.
	maxRoutes    = 256
	maxInstances = 1024

	// initialWorkVariance is the variance of the logarithm of the work of a route
	// about its service's mean before it is observed: routes of one service cost
	// between a fifth and five times the mean.
	initialWorkVariance = 0.8
	// workVariancePerSecond is how fast the work of a route may change. At 24
	// requests a second a new value is known within 2 s.
	workVariancePerSecond = 0.03
	// initialSpread is the variance of the logarithm of single requests of a route
	// before it is observed.
	initialSpread = 0.25
	// minSpread and maxSpread bound this variance, so that equal requests do not
	// make the model certain, nor a few long ones make it ignore the rest.
	minSpread, maxSpread = 0.02, 1.0
	// spreadWeight is the weight of a new observation in the spread and in the mean of
	// the service.
	spreadWeight = 1.0 / 32
	// maxSpreadRatio bounds the square of a deviation, relative to the spread: a change
	// of the mean must not look like a wide spread, which would delay its detection.
	maxSpreadRatio = 4.0
	// maxDeviation bounds the effect of one observation, as a difference of
	// logarithms: a factor of 4.5. One request in 100 takes 5 to 7 times the mean.
	maxDeviation = 1.5
	// anchorInterval is the number of observations between two corrections of the
	// mean slowness.
	anchorInterval = 8
)

// Config describes how the slowness of instances varies.
type Config struct {
	// HalfLife is the time in which a slowness that is not observed any more returns
	// half of the way to 1.
	HalfLife time.Duration
	// Deviation is the standard deviation of the logarithm of the slowness, over
	// instances and over time.
	Deviation float64
}

// Model holds the estimates for the instances of one service. It is a Kalman filter
// that keeps the variance of each estimate but not the covariances, so that an
// observation mostly corrects what is less certain.
type Model struct {
	cfg       Config
	routes    map[string]*route
	instances map[string]*instance
	// mean is the moving average of the logarithm of the work of all requests.
	mean     float64
	observed uint64
}

// route holds the normal distribution of the logarithm of the work, in seconds, of a
// route's requests.
type route struct {
	mean float64
	// variance is that of the estimate of the mean, spread that of single requests.
	variance, spread float64
	observedAt       time.Time
}

// instance holds the logarithm of the slowness of an instance and the variance of its
// estimate.
type instance struct {
	slowness, variance float64
	observedAt         time.Time
}

// New returns a model without observations.
func New(cfg Config) *Model {
	return &Model{cfg: cfg, routes: make(map[string]*route), instances: make(map[string]*instance)}
}

// Observe adds the service time of a request of a route at an instance.
func (m *Model) Observe(now time.Time, routeName, instanceID string, serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	x := math.Log(serviceTime.Seconds())
	i := m.instance(now, instanceID)
	if m.observed == 0 {
		m.mean = x - i.slowness
	}
	r := m.route(now, routeName)
	m.age(now, r, i)
	d := min(max(x-r.mean-i.slowness, -maxDeviation), maxDeviation)
	total := r.variance + i.variance + r.spread
	routeGain, instanceGain := r.variance/total, i.variance/total
	r.mean += routeGain * d
	i.slowness += instanceGain * d
	r.variance *= 1 - routeGain
	i.variance *= 1 - instanceGain
	r.spread = min(max(r.spread+spreadWeight*(min(d*d, maxSpreadRatio*r.spread)-r.spread), minSpread), maxSpread)
	m.mean += spreadWeight * (x - i.slowness - m.mean)
	m.observed++
	if m.observed%anchorInterval == 0 {
		m.anchor()
	}
}

// ObserveAtLeast adds a request that was ended after running for some time, so that its
// service time is known to be longer. It is ignored if that was to be expected.
func (m *Model) ObserveAtLeast(now time.Time, routeName, instanceID string, ran time.Duration) {
	if float64(ran) > float64(m.Work(routeName))*m.Slowness(now, instanceID) {
		m.Observe(now, routeName, instanceID, ran)
	}
}

// age raises the variances of a route and an instance by what may have changed since
// their last observation, and lets the slowness return towards 1.
func (m *Model) age(now time.Time, r *route, i *instance) {
	passed := max(0, now.Sub(r.observedAt).Seconds())
	r.variance = min(r.variance+workVariancePerSecond*passed, initialWorkVariance)
	kept := m.kept(now, i)
	i.slowness *= kept
	usual := m.cfg.Deviation * m.cfg.Deviation
	i.variance = usual + (i.variance-usual)*kept*kept
	r.observedAt, i.observedAt = now, now
}

// kept returns the part of an instance's slowness that is left since it was observed.
func (m *Model) kept(now time.Time, i *instance) float64 {
	passed := max(0, now.Sub(i.observedAt))
	return math.Exp2(-float64(passed) / float64(max(m.cfg.HalfLife, 1)))
}

// anchor makes the (geometric) mean slowness 1. Without it, slowness and work could
// drift in opposite directions. A single instance has no other to compare it with: its
// slowness is that relative to its own past, since it returns to 1 by itself.
func (m *Model) anchor() {
	if len(m.instances) < 2 {
		return
	}
	sum := 0.0
	for _, i := range m.instances {
		sum += i.slowness
	}
	excess := sum / float64(len(m.instances))
	for _, i := range m.instances {
		i.slowness -= excess
	}
	for _, r := range m.routes {
		r.mean += excess
	}
	m.mean += excess
}

// route returns the state of a route. A new one starts from the mean of the service.
func (m *Model) route(now time.Time, name string) *route {
	r, ok := m.routes[name]
	if !ok {
		if len(m.routes) >= maxRoutes {
			evictOldest(m.routes, func(r *route) time.Time { return r.observedAt })
		}
		r = &route{mean: m.mean, variance: initialWorkVariance, spread: initialSpread, observedAt: now}
		m.routes[name] = r
	}
	return r
}

func (m *Model) instance(now time.Time, id string) *instance {
	i, ok := m.instances[id]
	if !ok {
		if len(m.instances) >= maxInstances {
			evictOldest(m.instances, func(i *instance) time.Time { return i.observedAt })
		}
		i = &instance{variance: m.cfg.Deviation * m.cfg.Deviation, observedAt: now}
		m.instances[id] = i
	}
	return i
}

// evictOldest removes the entry that was observed longest ago.
func evictOldest[T any](entries map[string]T, observedAt func(T) time.Time) {
	oldest, found := "", false
	for name, e := range entries {
		at := observedAt(e)
		if !found || at.Before(observedAt(entries[oldest])) || at.Equal(observedAt(entries[oldest])) && name < oldest {
			oldest, found = name, true
		}
	}
	delete(entries, oldest)
}

// Forget removes an instance, whose backend server was replaced or has left.
func (m *Model) Forget(instanceID string) { delete(m.instances, instanceID) }

// Known reports whether there are any observations.
func (m *Model) Known() bool { return m.observed > 0 }

// Slowness returns the factor by which requests take longer at an instance, 1 if it is
// not known.
func (m *Model) Slowness(now time.Time, instanceID string) float64 {
	i, ok := m.instances[instanceID]
	if !ok {
		return 1
	}
	return math.Exp(i.slowness * m.kept(now, i))
}

// Work returns the expected work of a request of a route: the mean of the route if it
// is known, or else that of the service, 0 without observations.
func (m *Model) Work(routeName string) time.Duration {
	mean, spread, ok := m.distribution(routeName)
	if !ok {
		return 0
	}
	return seconds(math.Exp(mean + spread/2))
}

// Deviation returns the standard deviation of the logarithm of a route's work.
func (m *Model) Deviation(routeName string) float64 {
	_, spread, _ := m.distribution(routeName)
	return math.Sqrt(spread)
}

func (m *Model) distribution(routeName string) (mean, spread float64, ok bool) {
	if r, known := m.routes[routeName]; known {
		return r.mean, r.spread, true
	}
	return m.mean, initialSpread, m.observed > 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
