package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
)

// Replays callers of one route: most allow the same time at first, a few allow
// more, and those that were refused come back with what is left.
func TestTimeSpentIsMeasuredFromTheUsualBudget(t *testing.T) {
	is := is.New(t)
	r := New(Config{})
	m := &Match{Route: config.Route{Name: "r", Target: config.Duration(400 * time.Millisecond)}}
	const usual = 2500 * time.Millisecond
	is.Equal(r.spent(m, 4*usual), time.Duration(0)) // nothing to compare with
	for i := range 100 {
		if i%10 == 3 {
			r.spent(m, 4*usual)
		}
		r.spent(m, usual)
	}
	is.Equal(r.spent(m, usual), time.Duration(0))
	is.Equal(r.spent(m, 4*usual), time.Duration(0))
	is.Equal(r.spent(m, usual-700*time.Millisecond), 700*time.Millisecond)
}

func TestNewUsualBudgetIsLearnt(t *testing.T) {
	is := is.New(t)
	var u usualBudget
	for range 10 * usualConfidence {
		u.observe(time.Second)
	}
	for range 2*usualConfidence + 1 {
		u.observe(2 * time.Second)
	}
	is.Equal(u.budget, 2*time.Second)
}
