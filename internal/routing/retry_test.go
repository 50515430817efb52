package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/outcome"
)

func TestRefusalAfterUnknownAttemptIsUnknown(t *testing.T) {
	for _, second := range []outcome.Reason{outcome.Overload, outcome.InstanceLeaving, outcome.ConnectFailed} {
		is := is.New(t)
		r := newTestRouter(2)
		r.Step(start, read(1))
		effects := r.Step(start, ended(1, outcome.Unknown, outcome.ConnectionLost))
		_, sent := effects[0].(Send)
		is.True(sent)
		effects = r.Step(start, ended(1, outcome.NotRun, second))
		is.Equal(effects[0].(Refuse).Refusal.Outcome, outcome.Unknown) // the first attempt may have run
	}
}

func TestDeadlineAfterUnknownAttemptIsUnknown(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	r.Step(start, read(1))
	effects := r.Step(start.Add(2*time.Second), ended(1, outcome.Unknown, outcome.ConnectionLost))
	is.Equal(effects[0].(Refuse).Refusal.Outcome, outcome.Unknown)
}

func TestFinalReasonsEndTheRequest(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.Quarantined, outcome.DuplicateKey, outcome.Fenced, outcome.MalformedRequest, outcome.DeadlineExpired, outcome.BackendServerCrashed} {
		for _, o := range []outcome.Outcome{outcome.NotRun, outcome.Unknown} {
			is := is.New(t)
			r := newTestRouter(3)
			r.Step(start, read(1))
			effects := r.Step(start, ended(1, o, reason))
			is.Equal(len(effects), 1)
			is.Equal(effects[0].(Refuse).Refusal.Reason, reason)
			is.Equal(effects[0].(Refuse).Refusal.Outcome, o)
		}
	}
}

func TestOverloadIsRetriedOnceElsewhere(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(3)
	first := r.Step(start, write(1))[0].(Send)
	second := r.Step(start, ended(1, outcome.NotRun, outcome.Overload))[0].(Send)
	is.True(first.Instance != second.Instance)
	is.True(second.Retry)
	refusal := r.Step(start, ended(1, outcome.NotRun, outcome.Overload))[0].(Refuse).Refusal
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.True(refusal.RetryAfter > 0)
}

// A claim costs messages between proxies, so a further attempt after a failed
// claim must be charged like a retry.
func TestRetriesAfterFailedClaimsAreCharged(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(6)
	r.Step(start, write(1))
	_, ok := onlySend(r.Step(start, ended(1, outcome.NotRun, outcome.ClaimFailed)))
	is.True(ok)
	_, refused := r.Step(start, ended(1, outcome.NotRun, outcome.ClaimFailed))[0].(Refuse)
	is.True(refused)
	is.Equal(r.Stats().Retries, uint64(1))
}

func TestRetryByCallerIsNotRetriedAgain(t *testing.T) {
	is := is.New(t)
	for _, e := range []AttemptEnded{ended(1, outcome.Unknown, outcome.ConnectionLost), ended(1, outcome.NotRun, outcome.Overload)} {
		r := newTestRouter(3)
		arrived := read(1)
		arrived.Retry = true
		is.True(r.Step(start, arrived)[0].(Send).Retry)
		_, refused := r.Step(start, e)[0].(Refuse)
		is.True(refused)
	}
}

// After a number of successes every attempt fails: the retries must stay within
// the capacity of the budget and what the successes have credited.
func TestRetriesAreLimitedByBudget(t *testing.T) {
	const successes, failures = 200, 5000
	is := is.New(t)
	r := newTestRouter(6)
	for id := range uint64(successes) {
		r.Step(start, read(id))
		r.Step(start, answered(id, time.Millisecond))
	}
	for id := uint64(successes); id < successes+failures; id++ {
		effects := r.Step(start, read(id))
		for len(effects) == 1 {
			if _, sent := effects[0].(Send); !sent {
				break
			}
			effects = r.Step(start, ended(id, outcome.Unknown, outcome.ConnectionLost))
		}
	}
	limit := uint64(organisationRetryCapacity + retryTokensPerSuccess*successes)
	is.True(r.Stats().Retries <= limit) // retries stay within the budget
	is.True(r.Stats().RetryBudgetExhausted > 0)
}

func TestRetryWithTooLittleTimeIsNotSent(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	for id := range uint64(20) {
		r.Step(start, read(id))
		r.Step(start, answered(id, 200*time.Millisecond))
	}
	r.Step(start, read(100))
	late := start.Add(950 * time.Millisecond)
	_, refused := r.Step(late, ended(100, outcome.Unknown, outcome.ConnectionLost))[0].(Refuse)
	is.True(refused)
	is.Equal(r.Stats().ImplausibleRetries, uint64(1))
}

// modelCall is the expected state of one request.
type modelCall struct {
	repeatable, ended bool
	sends             int
	deadline          time.Time
	lastNotRun        bool
	mayHaveRun        bool
}

var drawnReasons = []outcome.Reason{
	outcome.Overload, outcome.BackendServerShed, outcome.RateLimit, outcome.ConcurrencyLimit, outcome.InstanceLeaving,
	outcome.ConnectFailed, outcome.ConnectionLost, outcome.DeadlineExpired, outcome.Quarantined,
	outcome.DuplicateKey, outcome.Fenced, outcome.MalformedRequest, outcome.NoVersion, outcome.BackendServerCrashed,
	outcome.ClaimFailed, outcome.MalformedAnswer, "",
}

// Random events must not lead to a request that ends twice, is sent again
// although it may have run and is not repeatable, or is reported as not run
// although it may have run; nor to counts of requests in flight that never
// return to 0.
func TestRequestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRouter(rapid.IntRange(0, 6).Draw(t, "instances"))
		now := start
		calls := make(map[uint64]*modelCall)
		var open []uint64
		next := uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			kind := rapid.IntRange(0, 9).Draw(t, "kind")
			var e Event
			switch {
			case kind < 4 || len(open) == 0 && kind < 9:
				next++
				arrived := read(next)
				if rapid.Bool().Draw(t, "write") {
					arrived = write(next)
				}
				arrived.Budget = time.Duration(rapid.IntRange(0, 2000).Draw(t, "budget")) * time.Millisecond
				limit := time.Second
				if arrived.Budget > 0 {
					limit = min(limit, arrived.Budget)
				}
				calls[next] = &modelCall{repeatable: arrived.Method == "GET", deadline: now.Add(limit)}
				open = append(open, next)
				e = arrived
			case kind < 8:
				id := rapid.SampledFrom(open).Draw(t, "id")
				o := rapid.SampledFrom([]outcome.Outcome{outcome.Answered, outcome.NotRun, outcome.Unknown}).Draw(t, "outcome")
				attempt := ended(id, o, rapid.SampledFrom(drawnReasons).Draw(t, "reason"))
				attempt.RetryAfter = time.Duration(rapid.IntRange(0, 3).Draw(t, "after")) * time.Second
				calls[id].lastNotRun = o == outcome.NotRun
				calls[id].mayHaveRun = calls[id].mayHaveRun || o == outcome.Unknown
				calls[id].ended = o == outcome.Answered
				e = attempt
			case kind == 8:
				id := rapid.SampledFrom(open).Draw(t, "id")
				calls[id].ended = true
				e = Abandoned{ID: id}
			default:
				list := testInstances("desk", rapid.IntRange(0, 6).Draw(t, "view"))
				for i := range list {
					list[i].Leaving = rapid.Bool().Draw(t, "leaving")
					list[i].Suspect = rapid.Bool().Draw(t, "suspect")
				}
				e = InstancesChanged{Instances: list}
			}
			checkEffects(t, r, now, r.Step(now, e), calls)
			open = open[:0]
			for id := uint64(1); id <= next; id++ {
				if !calls[id].ended {
					open = append(open, id)
				}
			}
			if r.InFlight() != len(open) {
				t.Fatalf("%d requests in flight, want %d", r.InFlight(), len(open))
			}
			for _, p := range r.pools {
				if p.ejected(now) > len(p.instances)/3 {
					t.Fatalf("%d of %d instances ejected", p.ejected(now), len(p.instances))
				}
			}
		}
		for _, id := range open {
			r.Step(now, Abandoned{ID: id})
		}
		for _, i := range r.instances {
			if i.inFlight != 0 {
				t.Fatalf("%d attempts left in flight at %s", i.inFlight, i.ID)
			}
		}
		if org, ok := r.orgs["acme"]; ok && org.InFlight != 0 {
			t.Fatalf("%d requests left in flight", org.InFlight)
		}
	})
}

func checkEffects(t *rapid.T, r *Router, now time.Time, effects []Effect, calls map[uint64]*modelCall) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Send:
			c := calls[effect.ID]
			c.sends++
			i := r.instances[effect.Instance]
			switch {
			case c.ended:
				t.Fatalf("request %d sent after its end", effect.ID)
			case c.sends > 1 && !c.repeatable && !c.lastNotRun:
				t.Fatalf("request %d is not repeatable and was sent again", effect.ID)
			case c.sends > r.cfg.MaxAttempts:
				t.Fatalf("request %d sent %d times", effect.ID, c.sends)
			case !now.Before(effect.Deadline) || !effect.Deadline.Equal(c.deadline):
				t.Fatalf("request %d sent at %v with deadline %v, want %v", effect.ID, now, effect.Deadline, c.deadline)
			case i.Leaving || now.Before(i.heldUntil) || i.Suspect && !c.repeatable:
				t.Fatalf("request %d sent to an unusable instance: %+v", effect.ID, i.Instance)
			}
		case Refuse:
			c := calls[effect.ID]
			if c.ended {
				t.Fatalf("request %d ended twice", effect.ID)
			}
			c.ended = true
			if c.mayHaveRun && effect.Refusal.Outcome != outcome.Unknown {
				t.Fatalf("request %d may have run but was refused as %s", effect.ID, effect.Refusal.Outcome)
			}
		}
	}
}
