package routing

import (
	"maps"
	"slices"
)

// Stats counts routing decisions since the start of the process.
type Stats struct {
	Arrived uint64 `json:"arrived"`
	// WaitedForVersion counts requests that waited for the first version.
	WaitedForVersion uint64 `json:"waited_for_version"`
	// Attempts counts Send effects.
	Attempts uint64 `json:"attempts"`
	// Redirects counts uncharged further attempts, after ones that no backend
	// server processed, of requests that are not marked as retries.
	Redirects uint64 `json:"redirects"`
	// Retries counts attempts that were charged to the retry budgets.
	Retries uint64 `json:"retries"`
	// RetryBudgetExhausted counts retries denied by the retry budgets.
	RetryBudgetExhausted uint64 `json:"retry_budget_exhausted"`
	// ImplausibleRetries counts retries not made because too little time was
	// left.
	ImplausibleRetries uint64 `json:"implausible_retries"`
	// RefusedByStop counts requests refused because they would not have been answered
	// before the end of a stop of this proxy.
	RefusedByStop uint64 `json:"refused_by_stop,omitempty"`
	Ejections     uint64 `json:"ejections"`
	// EjectionsDenied counts ejections denied by the limit on ejected
	// instances.
	EjectionsDenied uint64 `json:"ejections_denied"`
	// ZoneSpills counts attempts that left the availability zone because instances
	// there were saturated, slow or failing. Routes with a target are not
	// counted.
	ZoneSpills uint64 `json:"spills"`
	// PlacedByFinish counts attempts whose instance was chosen by expected finish,
	// PlacedForTarget those that left the availability zone because only the instance
	// elsewhere was expected to meet the target. CostReports counts the reports on costs
	// of other proxies.
	PlacedByFinish  uint64 `json:"placed_by_finish"`
	PlacedForTarget uint64 `json:"placed_for_target"`
	CostReports     uint64 `json:"cost_reports"`
	// LateReturns counts refused requests that are late in any case, whose callers were
	// told to return over a part of the time that they have left.
	LateReturns uint64 `json:"late_returns"`
	// RateLimited and ConcurrencyLimited count requests refused by a limit.
	RateLimited        uint64 `json:"rate_limited"`
	ConcurrencyLimited uint64 `json:"concurrency_limited"`
}

// OrganisationStats counts decisions for one organisation. The counters are
// dropped when a new version lacks the organisation and it has no request in
// flight, which bounds their number.
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

// OrganisationStats returns the counters of the organisations seen, sorted by
// name.
func (r *Router) OrganisationStats() []OrganisationStats {
	out := make([]OrganisationStats, 0, len(r.orgs))
	for _, name := range slices.Sorted(maps.Keys(r.orgs)) {
		out = append(out, r.orgs[name].OrganisationStats)
	}
	return out
}
