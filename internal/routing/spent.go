package routing

import "time"

// usualConfidence bounds the votes for a usual budget, so that a new one takes
// its place soon.
const usualConfidence = 64

// usualBudget finds the time that most callers of a route allow for a first
// attempt, by majority vote in constant space. Callers that come back allow
// what is left, which differs each time; a few allow more.
type usualBudget struct {
	budget time.Duration
	votes  int
}

// observe takes the time that a caller allows.
func (u *usualBudget) observe(budget time.Duration) {
	switch {
	case budget == u.budget:
		u.votes = min(u.votes+1, usualConfidence)
	case u.votes > 0:
		u.votes--
	default:
		u.budget, u.votes = budget, 1
	}
}

// spent estimates how long a caller has tried already. The value of an answer
// falls with the time since the first attempt, so a request that comes back
// must not count as a new one.
func (r *Router) spent(m *Match, budget time.Duration) time.Duration {
	if m.Route.Target == 0 || budget <= 0 {
		return 0
	}
	u, ok := r.usual[m.Route.Name]
	if !ok {
		u = &usualBudget{}
		r.usual[m.Route.Name] = u
	}
	u.observe(budget)
	return max(0, u.budget-budget)
}
