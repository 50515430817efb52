package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

const (
	// Callers try three times. Between two tries they wait for the time that they were
	// told, and at least for callerBackoff; impatient ones repeat at once.
	callerTries     = 3
	callerBackoff   = 200 * time.Millisecond
	impatientShare  = 0.2
	burstStart      = time.Second
	burstEnd        = 2500 * time.Millisecond
	burstFactor     = 2.4
	promptReturn    = 100 * time.Millisecond
	returningLength = 4 * time.Second
	// mostUnserved is the largest number of requests without an answer, relative to that
	// of prompt returns, that counts as a gain.
	mostUnserved = 0.9
)

// promptReturns tells callers to return as soon as the next slots are free.
type promptReturns struct {
	policy
	rng *rand.Rand
}

func (p promptReturns) Step(now time.Time, e routing.Event) []routing.Effect {
	effects := p.policy.Step(now, e)
	for k, effect := range effects {
		if refuse, ok := effect.(routing.Refuse); ok {
			refuse.Refusal.RetryAfter = promptReturn + time.Duration(p.rng.Int64N(int64(promptReturn)))
			effects[k] = refuse
		}
	}
	return effects
}

// tryRequest sends a request of a caller that returns when it is refused.
func (s *sim) tryRequest(entry policy, r *request, tries int, impatient bool) {
	s.call(entry, r, "o", false, func(o outcome.Outcome, status int) {
		r.outcome, r.status, r.latency = o, status, s.at-r.arrivedAt
		wait := max(s.retryAfter, callerBackoff)
		if impatient {
			wait = 0
		}
		if o == outcome.NotRun && tries < callerTries && s.at+wait < r.waitsUntil {
			s.after(wait, func() { s.tryRequest(entry, r, tries+1, impatient) })
		}
	})
}

type returns struct{ sent, inTime, late, unserved int }

// value is what callers get from the answers: three tenths from late ones.
func (r returns) value() float64 { return (float64(r.inTime) + 0.3*float64(r.late)) / float64(r.sent) }

// simulateBurst offers 0.58 of the capacity, and burstFactor times as much for a time, in
// which the servers may be cold instead.
func simulateBurst(sc costScenario, cold, prompt bool) (out returns) {
	s, entries := newCostFleet(sc)
	if cold {
		s.losePower(entries, burstStart, burstEnd)
	}
	rng := rand.New(rand.NewPCG(sc.seed, 8))
	if prompt {
		for i, e := range entries {
			entries[i] = promptReturns{e, rand.New(rand.NewPCG(sc.seed, uint64(100+i)))}
		}
	}
	rate := 0.58 * sc.capacity()
	for at := time.Duration(0); at < returningLength; {
		step := rng.ExpFloat64() / rate * float64(time.Second)
		if !cold && at >= burstStart && at < burstEnd {
			step /= burstFactor
		}
		at += time.Duration(step)
		route := costRoutes[1+rng.IntN(2)]
		r := &request{
			org: "o", method: "GET", path: "/" + route.name, arrivedAt: at, target: route.target, waitsUntil: at + 3*route.deadline/2,
			work: time.Duration((0.5 + rng.ExpFloat64()/2) * float64(route.work)),
		}
		s.requests = append(s.requests, r)
		entry, impatient := entries[rng.IntN(len(entries))], rng.Float64() < impatientShare
		s.after(at, func() { s.tryRequest(entry, r, 1, impatient) })
	}
	s.run(returningLength + 5*time.Second)
	for _, r := range s.requests {
		out.sent++
		switch {
		case r.outcome != outcome.Answered:
			out.unserved++
		case r.latency <= r.target:
			out.inTime++
		default:
			out.late++
		}
	}
	return out
}

// losePower makes all servers cold from a time until another one, as their entries state.
func (s *sim) losePower(entries []policy, from, until time.Duration) {
	var list []routing.Instance
	for _, v := range s.servers {
		v.slowdown = func(at time.Duration) float64 {
			if at >= from && at < until {
				return 2
			}
			return 1
		}
		i := v.Instance
		i.ColdUntil = simStart.Add(until)
		list = append(list, i)
	}
	s.after(from, func() {
		for _, e := range entries {
			e.Step(s.now(), routing.InstancesChanged{Instances: list})
		}
	})
}

// Callers get more when those that are late in any case come back over the time that they
// have left than when all come back as soon as slots are free.
func TestLateRequestsGiveWayToThoseInTime(t *testing.T) {
	for _, fleet := range fleets {
		for _, cold := range []bool{false, true} {
			fleet.seed = 1
			all, naive := simulateBurst(fleet, cold, false), simulateBurst(fleet, cold, true)
			t.Logf("%3d proxies, cold %v: %+v, value %.3f; prompt returns %+v, value %.3f", fleet.proxies, cold, all, all.value(), naive, naive.value())
			if all.value() < naive.value() || float64(all.unserved) > mostUnserved*float64(naive.unserved) {
				t.Errorf("%d proxies, cold %v: value %.3f with %d unserved, %.3f with %d if all return at once",
					fleet.proxies, cold, all.value(), all.unserved, naive.value(), naive.unserved)
			}
		}
	}
}
