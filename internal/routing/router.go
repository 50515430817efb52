package routing

import (
	"math/rand/v2"
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/warmup"
)

// Config configures a Router.
type Config struct {
	AvailabilityZone string
	// SelfAddress is the address of this proxy in the list of instances if the link of
	// its machine is known to be shared, otherwise empty. Downloads are offered to the
	// instance there first, whose responses do not use the link to reach this proxy.
	SelfAddress string
	// MaxAttempts limits the attempts of one request, unless its route sets a
	// limit.
	MaxAttempts int
	// Placement is the policy by which instances are chosen.
	Placement Placement
	// Retries limits the retries that each service gets from the whole fleet.
	Retries RetryBudget
	// ColdTolerance is by how much a cold backend server may receive more requests than
	// the rate that its service names.
	ColdTolerance warmup.Tolerance
	// Seed seeds the random number generator for the selection of instances and
	// for jitter.
	Seed uint64
}

// Limiter enforces the fleet-wide rate limits of organisations.
type Limiter interface {
	// Allow reports whether a request is within the limit, and if not, the time
	// after which the caller may retry.
	Allow(now time.Time, org string, requestsPerSecond int) (ok bool, retryAfter time.Duration)
	// Share returns the part of the limit that currently applies at this proxy.
	Share(now time.Time, org string, requestsPerSecond int) LimitShare
}

// LimitShare is the part of a fleet-wide rate limit that applies at this proxy.
type LimitShare struct {
	// Source is "static" while a static share of the limit applies, and
	// "credits" otherwise.
	Source string `json:"source"`
	// Owner is the proxy that divides the limit among the fleet.
	Owner string `json:"owner,omitempty"`
	// Demand is the rate of requests that arrive at this proxy, per second.
	Demand float64 `json:"demand"`
	// Credits is the number of requests that may be admitted immediately.
	Credits float64 `json:"credits"`
	// Scarce reports that the demand of the whole fleet exceeds the limit.
	Scarce bool `json:"scarce"`
	// RequestsPerSecond is the static share of the limit, 0 if it does not
	// apply.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
}

// organisationState is the router's state for one organisation.
type organisationState struct {
	OrganisationStats
	retryBudget retryBucket
}

// Router is the state machine of this package. The zero value is not usable;
// call New.
type Router struct {
	cfg Config
	// startedAt is the time of the first event.
	startedAt time.Time
	rng       *rand.Rand
	limiter   Limiter
	table     *Table
	pools     map[string]*pool
	// services holds the services of the version in force that name a warm-up.
	services  map[string]config.ServiceLimits
	instances map[string]*instance
	// departures holds the announced ends of instances by ID.
	departures map[string]departure
	// fleet is the number of proxies among which retry budgets are divided.
	fleet fleetSize
	orgs  map[string]*organisationState
	calls map[uint64]*call
	// starting holds the requests that wait for the first version.
	starting []startingRequest
	// stopSince and stopsAt are when the proxy was told to stop and when it ends requests
	// in flight, zero if it does not stop.
	stopSince, stopsAt time.Time
	// durations holds what the requests of each route take, by route name.
	durations map[string]*durations
	// versionRefused means that the only version known cannot be put in force.
	versionRefused bool
	// retryBudget is the retry budget of this proxy, for all organisations.
	retryBudget retryBucket
	// serviceBudgets holds the retry budgets by service.
	serviceBudgets map[string]*serviceBudget
	stats          Stats
	split          trafficSplit
	// meanResponseBytes holds the mean response length by route name.
	meanResponseBytes map[string]float64
	// majorityBudgets holds the time budget that most callers set, by route
	// name.
	majorityBudgets map[string]*majorityBudget
	// candidates holds the result of the last collectCandidates.
	candidates candidates
	effects    []Effect
}

// New returns a router without a configuration.
func New(cfg Config) *Router {
	rng := rand.New(rand.NewPCG(cfg.Seed, 2))
	return &Router{
		cfg:               cfg,
		rng:               rng,
		pools:             make(map[string]*pool),
		instances:         make(map[string]*instance),
		departures:        make(map[string]departure),
		orgs:              make(map[string]*organisationState),
		calls:             make(map[uint64]*call),
		split:             newTrafficSplit(rng),
		meanResponseBytes: make(map[string]float64),
		durations:         make(map[string]*durations),
		majorityBudgets:   make(map[string]*majorityBudget),
		retryBudget:       newRetryBucket(proxyRetryCapacity, proxyRetryRefill),
		serviceBudgets:    make(map[string]*serviceBudget),
	}
}

// SetLimiter sets the rate limiter. Without one, rates are not limited.
func (r *Router) SetLimiter(l Limiter) {
	r.limiter = l
}

// Step applies an event at the given time and returns its effects.
func (r *Router) Step(now time.Time, e Event) []Effect {
	r.effects = nil
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	switch e := e.(type) {
	case Arrived:
		r.arrived(now, e)
	case AttemptEnded:
		r.attemptEnded(now, e)
	case Reported:
		r.reported(now, e)
	case BodySent:
		r.bodySent(now, e)
	case Withheld:
		r.withheld(now, e)
	case Abandoned:
		r.abandoned(now, e)
	case Stopping:
		r.stop(now, e)
	case VersionRefused:
		r.expectNoVersion(now)
	case SnapshotEnforced:
		r.enforce(e.Snapshot)
		r.routeStarting(now)
	case InstancesChanged:
		r.setInstances(now, e.Instances)
	case Tick:
		r.refuseStarting(now)
	}
	return r.effects
}

// Table returns the routing table in force, nil before the first snapshot.
func (r *Router) Table() *Table {
	return r.table
}

// Zone returns the availability zone of this proxy.
func (r *Router) Zone() string { return r.cfg.AvailabilityZone }

// InFlight returns the number of requests in progress.
func (r *Router) InFlight() int {
	return len(r.calls) + len(r.starting)
}

// Fingerprint returns the Fingerprint and KnownCrashes of a request in progress, or
// false if there is no such request.
func (r *Router) Fingerprint(id uint64) (fingerprint uint64, knownCrashes uint32, ok bool) {
	c, ok := r.calls[id]
	if !ok {
		return 0, 0, false
	}
	return c.fingerprint, c.knownCrashes, true
}

func (r *Router) emit(e Effect) {
	r.effects = append(r.effects, e)
}

// enforce puts a snapshot in force. It resets the state kept by route, and drops
// the state of organisations that the snapshot lacks and that have no request
// in flight.
func (r *Router) enforce(s *config.Snapshot) {
	r.table = NewTable(s, r.table)
	r.enforceServices(s.Services)
	r.split = newTrafficSplit(r.rng)
	clear(r.meanResponseBytes)
	clear(r.majorityBudgets)
	for name, org := range r.orgs {
		if _, ok := r.table.organisations[name]; !ok && org.InFlight == 0 {
			delete(r.orgs, name)
		}
	}
}

func (r *Router) organisation(name string) *organisationState {
	org, ok := r.orgs[name]
	if !ok {
		org = &organisationState{retryBudget: newRetryBucket(organisationRetryCapacity, organisationRetryRefill)}
		org.Organisation = name
		r.orgs[name] = org
	}
	return org
}

func (r *Router) arrived(now time.Time, e Arrived) {
	r.stats.Arrived++
	if r.table == nil {
		r.awaitVersion(now, e)
		return
	}
	r.route(now, e)
}

// route routes a request under the version in force.
func (r *Router) route(now time.Time, e Arrived) {
	match, refusal, ok := r.lookup(e.Organisation, e.Method, e.Path)
	if !ok {
		r.refuse(e.ID, refusal)
		return
	}
	org := r.organisation(e.Organisation)
	if !r.checkLimits(now, e.ID, org, match) {
		return
	}
	budget := time.Duration(match.Route.Deadline)
	if e.Budget > 0 {
		budget = min(budget, e.Budget)
	}
	arrived := now.Add(-e.Elapsed)
	deadline := arrived.Add(budget)
	if !e.NotAfter.IsZero() {
		deadline = earlier(deadline, e.NotAfter)
	}
	c := &call{id: e.ID, org: org, match: match, group: r.split.nextGroup(match), version: r.table.Version, arrived: arrived, deadline: deadline, retry: e.Retry, fingerprint: e.Fingerprint, knownCrashes: e.KnownCrashes}
	c.callerDeadline = deadline
	if e.Budget > 0 {
		c.callerDeadline = arrived.Add(e.Budget)
	}
	c.priorElapsed = r.estimatePriorElapsed(match, e.Budget)
	r.calls[e.ID] = c
	org.InFlight++
	r.countRequest(now, c.group.Service)
	r.attempt(now, c, sendUncharged, notRunRefusal(outcome.NoBackendServer, http.StatusServiceUnavailable, time.Second))
}

// lookup returns the route of a request, or the refusal of one that has none.
func (r *Router) lookup(organisation, method, path string) (*RouteMatch, outcome.Refusal, bool) {
	match, known, ok := r.table.Lookup(organisation, method, path)
	switch {
	case !known:
		return nil, notRunRefusal(outcome.NoOrganisation, http.StatusNotFound, 0), false
	case !ok:
		return nil, notRunRefusal(outcome.NoRoute, http.StatusNotFound, 0), false
	}
	return match, outcome.Refusal{}, true
}

// Unroutable returns the refusal of a request that the version in force gives no route, or
// false if there is a route or no version.
func (r *Router) Unroutable(organisation, method, path string) (outcome.Refusal, bool) {
	if r.table == nil {
		return outcome.Refusal{}, false
	}
	_, refusal, ok := r.lookup(organisation, method, path)
	return refusal, !ok
}

// checkLimits reports whether a request is within the limits of its
// organisation, and refuses it otherwise.
func (r *Router) checkLimits(now time.Time, id uint64, org *organisationState, m *RouteMatch) bool {
	if org.InFlight >= m.Limits.Concurrency {
		r.stats.ConcurrencyLimited++
		org.ConcurrencyLimited++
		r.refuse(id, notRunRefusal(outcome.ConcurrencyLimit, http.StatusTooManyRequests, r.withJitter(time.Second)))
		return false
	}
	if r.limiter == nil {
		return true
	}
	ok, wait := r.limiter.Allow(now, org.Organisation, m.Limits.RequestsPerSecond)
	if !ok {
		r.stats.RateLimited++
		org.RateLimited++
		r.refuse(id, notRunRefusal(outcome.RateLimit, http.StatusTooManyRequests, r.withJitter(wait)))
	}
	return ok
}

func (r *Router) refuse(id uint64, refusal outcome.Refusal) {
	r.emit(Refuse{ID: id, Refusal: refusal})
}

// withJitter returns a random duration between d and twice d, so that callers
// that were refused together do not retry together.
func (r *Router) withJitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + r.jitter(d)
}
