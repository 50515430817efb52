package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

// Explanation describes how the router would handle a request. For a route with
// parts, Group and Candidates are those of the first part.
type Explanation struct {
	Version uint64 `json:"version"`
	// Refused is the reason for which the request would be refused before an
	// instance is selected or because all instances are evacuated, empty if it has a
	// route. Limits are not checked.
	Refused    outcome.Reason `json:"refused,omitempty"`
	Route      *config.Route  `json:"route,omitempty"`
	Group      *config.Group  `json:"group,omitempty"`
	Limits     *config.Limits `json:"limits,omitempty"`
	Deadline   time.Duration  `json:"deadline_ns,omitempty"`
	Candidates []Candidate    `json:"candidates,omitempty"`
	// Share is the part of the rate limit that currently applies at this proxy.
	Share *LimitShare `json:"share,omitempty"`
	// InFlight counts the organisation's requests in progress at this proxy.
	InFlight int `json:"in_flight"`
	// RetriesLeft and ProxyRetriesLeft are the tokens in the retry budgets of
	// the organisation and of the proxy.
	RetriesLeft      float64 `json:"retries_left"`
	ProxyRetriesLeft float64 `json:"proxy_retries_left"`
}

// Candidate is an instance of the service to which the request is routed.
type Candidate struct {
	Instance
	// InFlight is the number of requests in flight from this proxy to the
	// instance.
	InFlight int   `json:"in_flight"`
	Usable   bool  `json:"usable"`
	State    State `json:"state"`
	// Until is the end of the state Held, Ejected or Limited, zero for other states.
	Until time.Time `json:"until,omitzero"`
	// Saturated reports that requests spill over to other availability zones.
	Saturated bool `json:"saturated"`
	// Latency is the expected latency.
	Latency time.Duration `json:"latency_ns"`
	// SlowStart is the share of its full load that the instance may get.
	SlowStart float64 `json:"slow_start"`
	// Score ranks the candidates; lower is better.
	Score float64 `json:"score"`
	// Estimate and FinishScore are what ranks them while requests of the service are
	// placed by expected finish, absent otherwise.
	Estimate    *Estimate `json:"estimate,omitempty"`
	FinishScore float64   `json:"finish_score,omitempty"`
}

// Explain describes how a request would be handled at the given time, without
// running it.
func (r *Router) Explain(now time.Time, org, method, path string) Explanation {
	if r.table == nil {
		return Explanation{Refused: outcome.NoVersion}
	}
	out := Explanation{Version: r.table.Version}
	match, known, ok := r.table.Lookup(org, method, path)
	switch {
	case !known:
		out.Refused = outcome.NoOrganisation
		return out
	case !ok:
		out.Refused = outcome.NoRoute
		return out
	}
	out.Route = &match.Route
	out.Group = &match.Group
	out.Limits = &match.Limits
	out.Deadline = time.Duration(match.Route.Deadline)
	r.explainOrganisation(now, org, match, &out)
	var counted candidates
	if p, ok := r.pools[match.Group.Service]; ok {
		for _, i := range p.instances {
			candidate := i.explain(now, &match.Group)
			if r.placesByFinish(now, p) {
				e := i.estimate(now, match.Route.Name)
				candidate.Estimate, candidate.FinishScore = &e, i.finishScore(now, e)
			}
			counted.count(candidate.State)
			out.Candidates = append(out.Candidates, candidate)
		}
	}
	if counted.allEvacuated() {
		out.Refused = outcome.Evacuated
	}
	return out
}

func (r *Router) explainOrganisation(now time.Time, org string, m *RouteMatch, out *Explanation) {
	out.RetriesLeft = organisationRetryCapacity / 2
	out.ProxyRetriesLeft = r.retryBudget.tokens
	if state, ok := r.orgs[org]; ok {
		out.InFlight = state.InFlight
		out.RetriesLeft = state.retryBudget.tokens
	}
	if r.limiter != nil {
		share := r.limiter.Share(now, org, m.Limits.RequestsPerSecond)
		out.Share = &share
	}
}

func (i *instance) explain(now time.Time, g *config.Group) Candidate {
	c := Candidate{
		Instance:  i.Instance,
		InFlight:  i.inFlight,
		State:     i.state(now, g),
		Saturated: i.saturated(now),
		Latency:   i.expectedLatency(now),
		SlowStart: i.slowStartShare(now),
		Score:     i.score(now),
	}
	c.Usable = c.State == Usable
	switch c.State {
	case Held:
		c.Until = i.heldUntil
	case Ejected:
		c.Until = i.ejectedUntil
	case Limited:
		c.Until = i.limitedUntil
	}
	return c
}
