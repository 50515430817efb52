package routing

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Config sets the router's parameters.
type Config struct {
	AvailabilityZone string
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// Seed seeds the choice among instances.
	Seed uint64
}

// call is a request in progress.
type call struct {
	organisation string
	match        Match
	version      uint64
	deadline     time.Time
	attempts     int
	instance     string
	tried        []string
}

// Router is the state machine. The zero value is not usable.
type Router struct {
	cfg       Config
	rng       *rand.Rand
	table     *Table
	instances map[string][]Instance
	inFlight  map[string]int
	orgs      map[string]int
	calls     map[uint64]*call
	effects   []Effect
}

// New returns a router without a version.
func New(cfg Config) *Router {
	return &Router{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 2)),
		instances: make(map[string][]Instance),
		inFlight:  make(map[string]int),
		orgs:      make(map[string]int),
		calls:     make(map[uint64]*call),
	}
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
		r.abandoned(e)
	case Enforced:
		r.table = NewTable(e.Snapshot)
	case InstancesChanged:
		r.setInstances(e.Instances)
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

func (r *Router) setInstances(list []Instance) {
	clear(r.instances)
	for _, i := range list {
		r.instances[i.Service] = append(r.instances[i.Service], i)
	}
}

func (r *Router) arrived(now time.Time, e Arrived) {
	if r.table == nil {
		r.refuse(e.ID, notRun(outcome.NoVersion, http.StatusServiceUnavailable, time.Second))
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
	case r.orgs[e.Organisation] >= match.Limits.Concurrency:
		r.refuse(e.ID, notRun(outcome.Concurrency, http.StatusTooManyRequests, time.Second))
		return
	}
	budget := time.Duration(match.Route.Deadline)
	if e.Budget > 0 {
		budget = min(budget, e.Budget)
	}
	c := &call{organisation: e.Organisation, match: match, version: r.table.Version, deadline: now.Add(budget)}
	r.calls[e.ID] = c
	r.orgs[e.Organisation]++
	r.attempt(now, e.ID, c, notRun(outcome.NoBackendServer, http.StatusServiceUnavailable, time.Second))
}

// attempt sends the request to an instance, or refuses it with last.
func (r *Router) attempt(now time.Time, id uint64, c *call, last outcome.Refusal) {
	if !now.Before(c.deadline) {
		r.finish(id, c)
		r.refuse(id, notRun(outcome.DeadlineExpired, http.StatusGatewayTimeout, time.Second))
		return
	}
	target, ok := r.choose(c)
	if !ok || c.attempts >= r.cfg.MaxAttempts {
		r.finish(id, c)
		r.refuse(id, last)
		return
	}
	c.attempts++
	c.instance = target.ID
	c.tried = append(c.tried, target.ID)
	r.inFlight[target.ID]++
	r.emit(Send{
		ID:         id,
		Instance:   target.ID,
		Address:    target.Address,
		Route:      c.match.Route.Name,
		Version:    c.version,
		Repeatable: c.match.Route.Repeatable,
		Deadline:   c.deadline,
		Attempt:    c.attempts,
	})
}

// choose picks the less loaded of two random instances not tried yet.
func (r *Router) choose(c *call) (Instance, bool) {
	var near, far []Instance
	for _, i := range r.instances[c.match.Group.Service] {
		zones := c.match.Group.AvailabilityZones
		allowed := len(zones) == 0 || slices.Contains(zones, i.AvailabilityZone)
		if !allowed || i.Leaving || i.Suspect || slices.Contains(c.tried, i.ID) {
			continue
		}
		if i.AvailabilityZone == r.cfg.AvailabilityZone {
			near = append(near, i)
		} else {
			far = append(far, i)
		}
	}
	candidates := near
	if len(near) == 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return Instance{}, false
	}
	a := candidates[r.rng.IntN(len(candidates))]
	b := candidates[r.rng.IntN(len(candidates))]
	if r.inFlight[b.ID] < r.inFlight[a.ID] {
		a = b
	}
	return a, true
}

func (r *Router) attemptEnded(now time.Time, e AttemptEnded) {
	c, ok := r.calls[e.ID]
	if !ok {
		return
	}
	r.release(c)
	switch {
	case e.Outcome == outcome.Answered:
		r.finish(e.ID, c)
	case e.Outcome == outcome.NotRun:
		r.attempt(now, e.ID, c, notRun(e.Reason, http.StatusServiceUnavailable, retryAfter(e)))
	case c.match.Route.Repeatable && e.Reason != outcome.Crashed:
		r.attempt(now, e.ID, c, unknown(e.Reason))
	default:
		r.finish(e.ID, c)
		r.refuse(e.ID, unknown(e.Reason))
	}
}

func (r *Router) abandoned(e Abandoned) {
	if c, ok := r.calls[e.ID]; ok {
		r.release(c)
		r.finish(e.ID, c)
	}
}

// release returns the place that the attempt took at its instance.
func (r *Router) release(c *call) {
	if c.instance == "" {
		return
	}
	r.inFlight[c.instance]--
	if r.inFlight[c.instance] == 0 {
		delete(r.inFlight, c.instance)
	}
	c.instance = ""
}

func (r *Router) finish(id uint64, c *call) {
	delete(r.calls, id)
	r.orgs[c.organisation]--
	if r.orgs[c.organisation] == 0 {
		delete(r.orgs, c.organisation)
	}
}

func (r *Router) refuse(id uint64, refusal outcome.Refusal) {
	r.emit(Refuse{ID: id, Refusal: refusal})
}

func notRun(reason outcome.Reason, status int, retryAfter time.Duration) outcome.Refusal {
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Status: status, RetryAfter: retryAfter}
}

func unknown(reason outcome.Reason) outcome.Refusal {
	return outcome.Refusal{Outcome: outcome.Unknown, Reason: reason, Status: http.StatusBadGateway}
}

func retryAfter(e AttemptEnded) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return time.Second
}
