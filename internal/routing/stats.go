package routing

import (
	"maps"
	"slices"
)

// Stats counts decisions since the start of the process.
type Stats struct {
	Arrived uint64 `json:"arrived"`
	// Attempts counts Send effects.
	Attempts uint64 `json:"attempts"`
	// Redirects counts attempts after one that no backend server worked on.
	Redirects uint64 `json:"redirects"`
	// Retries counts attempts that were charged to the retry budgets.
	Retries uint64 `json:"retries"`
	// RetryBudgetExhausted counts retries that the budgets forbade.
	RetryBudgetExhausted uint64 `json:"retry_budget_exhausted"`
	// ImplausibleRetries counts retries left out for want of time.
	ImplausibleRetries uint64 `json:"implausible_retries"`
	Ejections          uint64 `json:"ejections"`
	// EjectionsDenied counts ejections that the floor forbade.
	EjectionsDenied uint64 `json:"ejections_denied"`
	// Spills counts attempts that left the availability zone under load.
	Spills uint64 `json:"spills"`
	// RateLimited and ConcurrencyLimited count requests beyond a limit.
	RateLimited        uint64 `json:"rate_limited"`
	ConcurrencyLimited uint64 `json:"concurrency_limited"`
}

// OrganisationStats counts decisions for one organisation. Only organisations
// of the version in force are counted, which bounds their number.
type OrganisationStats struct {
	Organisation         string `json:"organisation"`
	InFlight             int    `json:"in_flight"`
	Retries              uint64 `json:"retries"`
	RetryBudgetExhausted uint64 `json:"retry_budget_exhausted"`
	RateLimited          uint64 `json:"rate_limited"`
	ConcurrencyLimited   uint64 `json:"concurrency_limited"`
}

// Stats returns the counters.
func (r *Router) Stats() Stats {
	return r.stats
}

// OrganisationStats returns the counters of the organisations seen, by name.
func (r *Router) OrganisationStats() []OrganisationStats {
	out := make([]OrganisationStats, 0, len(r.orgs))
	for _, name := range slices.Sorted(maps.Keys(r.orgs)) {
		out = append(out, r.orgs[name].OrganisationStats)
	}
	return out
}
