package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

// Explanation tells what applies to a request.
type Explanation struct {
	Version    uint64         `json:"version"`
	Refused    outcome.Reason `json:"refused,omitempty"`
	Route      *config.Route  `json:"route,omitempty"`
	Group      *config.Group  `json:"group,omitempty"`
	Limits     *config.Limits `json:"limits,omitempty"`
	Deadline   time.Duration  `json:"deadline_ns,omitempty"`
	Candidates []Candidate    `json:"candidates,omitempty"`
}

// Candidate is a backend server that the request may reach.
type Candidate struct {
	Instance
	InFlight int  `json:"in_flight"`
	Usable   bool `json:"usable"`
}

// Explain returns what applies to a request, without running it.
func (r *Router) Explain(org, method, path string) Explanation {
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
	for _, i := range r.instances[match.Group.Service] {
		out.Candidates = append(out.Candidates, Candidate{Instance: i, InFlight: r.inFlight[i.ID], Usable: !i.Leaving && !i.Suspect})
	}
	return out
}
