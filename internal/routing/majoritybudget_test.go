package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
)

// Most callers of a route allow the same time for a first attempt, a few allow
// more, and those that were refused retry with the time that is left.
func TestPriorElapsedIsMeasuredFromMajorityBudget(t *testing.T) {
	is := is.New(t)
	r := New(Config{})
	m := &RouteMatch{Route: config.Route{Name: "r", Target: config.Duration(400 * time.Millisecond)}}
	const usual = 2500 * time.Millisecond
	is.Equal(r.estimatePriorElapsed(m, 4*usual), time.Duration(0)) // no earlier budgets
	for i := range 100 {
		if i%10 == 3 {
			r.estimatePriorElapsed(m, 4*usual)
		}
		r.estimatePriorElapsed(m, usual)
	}
	is.Equal(r.estimatePriorElapsed(m, usual), time.Duration(0))
	is.Equal(r.estimatePriorElapsed(m, 4*usual), time.Duration(0))
	is.Equal(r.estimatePriorElapsed(m, usual-700*time.Millisecond), 700*time.Millisecond)
}

func TestMajorityBudgetFollowsChange(t *testing.T) {
	is := is.New(t)
	var b majorityBudget
	for range 10 * maxBudgetVotes {
		b.observe(time.Second)
	}
	for range 2*maxBudgetVotes + 1 {
		b.observe(2 * time.Second)
	}
	is.Equal(b.budget, 2*time.Second)
}
