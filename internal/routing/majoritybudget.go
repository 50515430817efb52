package routing

import "time"

// maxBudgetVotes caps the votes for a budget, so that a new majority replaces
// it soon.
const maxBudgetVotes = 64

// majorityBudget finds the time that most callers of a route allow for a first
// attempt, by a majority vote in constant space (Boyer-Moore). Callers that
// retry allow the time that is left, which differs each time; a few allow more.
type majorityBudget struct {
	budget time.Duration
	votes  int
}

// observe adds the vote of a caller that allows the given time.
func (b *majorityBudget) observe(budget time.Duration) {
	switch {
	case budget == b.budget:
		b.votes = min(b.votes+1, maxBudgetVotes)
	case b.votes > 0:
		b.votes--
	default:
		b.budget, b.votes = budget, 1
	}
}

// estimatePriorElapsed estimates how long a caller has been trying already. The
// value of a response falls with the time since the first attempt, so a
// caller's retry must not count as a new request.
func (r *Router) estimatePriorElapsed(m *RouteMatch, budget time.Duration) time.Duration {
	if m.Route.Target == 0 || budget <= 0 {
		return 0
	}
	majority, ok := r.majorityBudgets[m.Route.Name]
	if !ok {
		majority = &majorityBudget{}
		r.majorityBudgets[m.Route.Name] = majority
	}
	majority.observe(budget)
	return max(0, majority.budget-budget)
}
