package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// fixedLimiter admits a fixed number of requests.
type fixedLimiter struct{ left int }

func (f *fixedLimiter) Allow(time.Time, string, int) (bool, time.Duration) {
	f.left--
	return f.left >= 0, time.Second
}

func (f *fixedLimiter) Share(_ time.Time, _ string, limit int) LimitShare {
	return LimitShare{Source: "credits", Credits: float64(f.left), Owner: "p-1", Demand: float64(limit)}
}

func TestRequestsBeyondRateLimitAreRefused(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	r.SetLimiter(&fixedLimiter{left: 1})
	_, ok := onlySend(r.Step(start, write(1)))
	is.True(ok)
	refusal := r.Step(start, write(2))[0].(Refuse).Refusal
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.Equal(refusal.Reason, outcome.RateLimit)
	is.Equal(refusal.Status, 429)
	is.True(refusal.RetryAfter > time.Second && refusal.RetryAfter <= 2*time.Second)
	is.Equal(r.Stats().RateLimited, uint64(1))
	is.Equal(r.OrganisationStats()[0].RateLimited, uint64(1))
	is.Equal(r.InFlight(), 1)
}

func TestExplainReportsLimitsAndStates(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(0)
	r.SetLimiter(&fixedLimiter{left: 1000})
	list := testInstances("desk", 4)
	list[0].Leaving = true
	list[1].Suspect = true
	r.Step(start, InstancesChanged{Instances: list})
	id := uint64(0)
	for range 100 {
		id++
		s, _ := onlySend(r.Step(start, write(id)))
		if s.Instance == "desk-03" {
			r.Step(start, AttemptEnded{ID: id, Outcome: outcome.NotRun, Reason: outcome.BackendServerShed, RetryAfter: time.Minute})
		}
	}
	e := r.Explain(start, "acme", "POST", "/write")
	is.Equal(e.Limits.RequestsPerSecond, 1000)
	is.Equal(e.Share.Owner, "p-1")
	is.Equal(e.InFlight, r.orgs["acme"].InFlight)
	states := make(map[string]State)
	for _, c := range e.Candidates {
		states[c.ID] = c.State
		is.Equal(c.Usable, c.State == Usable)
	}
	is.Equal(states, map[string]State{"desk-00": Leaving, "desk-01": Suspect, "desk-02": Usable, "desk-03": Held})
	is.Equal(e.Candidates[3].Until, start.Add(maxRetryAfterHold)) // Retry-After is bounded
	is.Equal(r.Explain(start, "nobody", "GET", "/").Refused, outcome.NoOrganisation)
	is.Equal(r.Explain(start, "acme", "GET", "/none").Refused, outcome.NoRoute)
}
