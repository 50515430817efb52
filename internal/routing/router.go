package routing

import (
	"math/rand/v2"
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

// Config sets the router's parameters.
type Config struct {
	AvailabilityZone string
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// Retries bounds the retries of the fleet.
	Retries RetryBudget
	// Seed seeds the choice among instances.
	Seed uint64
}

// Limiter enforces the rate limits of organisations over the fleet.
type Limiter interface {
	// Take reports whether a request is within the limit, and otherwise when
	// the caller may come back.
	Take(now time.Time, org string, requestsPerSecond int) (ok bool, retryAfter time.Duration)
	// Share returns what is allowed here at present.
	Share(now time.Time, org string, requestsPerSecond int) Share
}

// Share is the part of a fleet-wide rate limit that applies at this proxy.
type Share struct {
	// Source is "credits" or "static".
	Source string `json:"source"`
	// Owner is the proxy that divides the limit.
	Owner string `json:"owner,omitempty"`
	// Demand is the requests per second that arrive here.
	Demand float64 `json:"demand"`
	// Credits is the number of requests that may be admitted at once.
	Credits float64 `json:"credits"`
	// Scarce reports that the fleet's demand exceeds the limit.
	Scarce bool `json:"scarce"`
	// RequestsPerSecond is the static share, 0 if it does not apply.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
}

// organisationState is what the router keeps of an organisation.
type organisationState struct {
	OrganisationStats
	budget budget
}

// Router is the state machine. The zero value is not usable.
type Router struct {
	cfg     Config
	rng     *rand.Rand
	limiter Limiter
	table   *Table
	pools   map[string]*pool
	known   map[string]*instance
	orgs    map[string]*organisationState
	calls   map[uint64]*call
	budget  budget
	// budgets holds the retry budgets by service.
	budgets map[string]*serviceBudget
	stats   Stats
	weights weights
	// answerBytes is the mean length of the answers of each route.
	answerBytes map[string]float64
	// usual is the time that callers of each route usually allow.
	usual   map[string]*usualBudget
	scratch candidates
	effects []Effect
}

// New returns a router without a version.
func New(cfg Config) *Router {
	return &Router{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 2)),
		pools:       make(map[string]*pool),
		known:       make(map[string]*instance),
		orgs:        make(map[string]*organisationState),
		calls:       make(map[uint64]*call),
		weights:     newWeights(),
		answerBytes: make(map[string]float64),
		usual:       make(map[string]*usualBudget),
		budget:      newBudget(proxyRetries, proxyRefill),
		budgets:     make(map[string]*serviceBudget),
	}
}

// UseLimiter sets the limiter of rates; without one, rates are not limited.
func (r *Router) UseLimiter(l Limiter) {
	r.limiter = l
}

// Step applies an event at the given time and returns its effects.
func (r *Router) Step(now time.Time, e Event) []Effect {
	r.effects = nil
	switch e := e.(type) {
	case Arrived:
		r.arrived(now, e)
	case AttemptEnded:
		r.attemptEnded(now, e)
	case Abandoned:
		r.abandoned(now, e)
	case Enforced:
		r.enforce(e.Snapshot)
	case InstancesChanged:
		r.setInstances(now, e.Instances)
	case Tick:
	}
	return r.effects
}

// Table returns the routes in force, nil before the first version.
func (r *Router) Table() *Table {
	return r.table
}

// InFlight returns the number of requests in progress.
func (r *Router) InFlight() int {
	return len(r.calls)
}

func (r *Router) emit(e Effect) {
	r.effects = append(r.effects, e)
}

// enforce takes a new version and forgets organisations that it lacks.
func (r *Router) enforce(s *config.Snapshot) {
	r.table = NewTable(s, r.table)
	r.weights = newWeights()
	clear(r.answerBytes)
	clear(r.usual)
	for name, org := range r.orgs {
		if _, ok := r.table.organisations[name]; !ok && org.InFlight == 0 {
			delete(r.orgs, name)
		}
	}
}

func (r *Router) organisation(name string) *organisationState {
	org, ok := r.orgs[name]
	if !ok {
		org = &organisationState{budget: newBudget(organisationRetries, organisationRefill)}
		org.Organisation = name
		r.orgs[name] = org
	}
	return org
}

func (r *Router) arrived(now time.Time, e Arrived) {
	r.stats.Arrived++
	if r.table == nil {
		r.refuse(e.ID, notRun(outcome.NoVersion, http.StatusServiceUnavailable, r.later(time.Second)))
		return
	}
	match, known, ok := r.table.Lookup(e.Organisation, e.Method, e.Path)
	switch {
	case !known:
		r.refuse(e.ID, notRun(outcome.NoOrganisation, http.StatusNotFound, 0))
		return
	case !ok:
		r.refuse(e.ID, notRun(outcome.NoRoute, http.StatusNotFound, 0))
		return
	}
	org := r.organisation(e.Organisation)
	if !r.withinLimits(now, e.ID, org, match) {
		return
	}
	budget := time.Duration(match.Route.Deadline)
	if e.Budget > 0 {
		budget = min(budget, e.Budget)
	}
	c := &call{id: e.ID, org: org, match: match, group: r.weights.group(match), version: r.table.Version, arrived: now, deadline: now.Add(budget), retry: e.Retry}
	c.spent = r.spent(match, e.Budget)
	r.calls[e.ID] = c
	org.InFlight++
	r.countRequest(now, c.group.Service)
	r.attempt(now, c, free, notRun(outcome.NoBackendServer, http.StatusServiceUnavailable, time.Second))
}

// withinLimits refuses a request beyond the limits of its organisation.
func (r *Router) withinLimits(now time.Time, id uint64, org *organisationState, m *Match) bool {
	if org.InFlight >= m.Limits.Concurrency {
		r.stats.ConcurrencyLimited++
		org.ConcurrencyLimited++
		r.refuse(id, notRun(outcome.Concurrency, http.StatusTooManyRequests, r.later(time.Second)))
		return false
	}
	if r.limiter == nil {
		return true
	}
	ok, wait := r.limiter.Take(now, org.Organisation, m.Limits.RequestsPerSecond)
	if !ok {
		r.stats.RateLimited++
		org.RateLimited++
		r.refuse(id, notRun(outcome.RateLimit, http.StatusTooManyRequests, r.later(wait)))
	}
	return ok
}

func (r *Router) refuse(id uint64, refusal outcome.Refusal) {
	r.emit(Refuse{ID: id, Refusal: refusal})
}

// later returns a time between d and twice d, so that callers refused together
// do not come back together.
func (r *Router) later(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + r.jitter(d)
}
