package routing_test

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

const (
	simLength = 10 * time.Second
	// simCapacity is the capacity of the 12 servers in requests per second.
	simCapacity = float64(simProxies*simSlots) / 0.05
	// stormLevels is the number of services in the call chain of the retry storm.
	stormLevels = 4
)

// scenario describes the load and the faults of one simulation.
type scenario struct {
	name string
	// load is the load by organisation, as a share of simCapacity.
	load map[string]float64
	// concurrency is the concurrency limit of the flooding organisation at one
	// proxy, 0 stands for no limit.
	concurrency int
	// levels is the number of services in the call chain, 0 stands for 1.
	levels int
	// prepare injects faults into the servers.
	prepare func(s *sim)
	// joins is the number of servers that are added at joinAt.
	joins  int
	joinAt time.Duration
	// mustBeatNaive requires fewer failed requests than with the naive policy.
	mustBeatNaive bool
}

func between(at, from, to time.Duration) bool { return at >= from && at < to }

func scenarios() []scenario {
	steady := map[string]float64{"other": 0.6}
	return []scenario{
		{name: "steady, 60 %", load: steady},
		{name: "overload, 150 %", load: map[string]float64{"other": 1.5}},
		{name: "one slow instance", mustBeatNaive: true, load: steady, prepare: func(s *sim) {
			s.servers["s0-03"].slowdown = func(time.Duration) float64 { return 10 }
		}},
		{name: "one resets connections", load: steady, prepare: func(s *sim) {
			s.servers["s0-03"].fault = func(time.Duration) fault { return loseResponse }
		}},
		{name: "cold starts", mustBeatNaive: true, load: steady, joins: 4, joinAt: 3 * time.Second, prepare: func(s *sim) {
			for n := 8; n < 12; n++ {
				s.servers[fmt.Sprintf("s0-%02d", n)].slowdown = func(at time.Duration) float64 {
					return max(1, 10-2*(at-3*time.Second).Seconds())
				}
			}
		}},
		{name: "zone down, still listed", load: steady, prepare: func(s *sim) {
			for n := 0; n < simProxies; n += simZones {
				s.servers[fmt.Sprintf("s0-%02d", n)].fault = func(at time.Duration) fault {
					if between(at, 3*time.Second, 6*time.Second) {
						return refuseConnection
					}
					return healthy
				}
			}
		}},
		{name: "flooding organisation", mustBeatNaive: true, load: map[string]float64{"other": 0.4, "flood": 3}, concurrency: 5},
		{name: "retry storm, 4 levels", load: map[string]float64{"other": 0.15}, levels: stormLevels, prepare: func(s *sim) {
			for n := range simProxies {
				s.servers[fmt.Sprintf("s%d-%02d", stormLevels-1, n)].fault = func(at time.Duration) fault {
					if between(at, 3*time.Second, 6*time.Second) {
						return loseResponse
					}
					return healthy
				}
			}
		}},
	}
}

// results sums up the results that the callers of one organisation saw. The
// attempts and runs are those of all organisations.
type results struct {
	sent, answered, refused, unknown int
	// violations counts writes that ran more than once and requests reported as
	// not run that did run.
	violations int
	// attempts is the mean number of attempts per request and level.
	attempts float64
	// p50 and p99 count the deadline as the latency of a request without a
	// response.
	p50, p99 time.Duration
	// leafRuns counts the runs at the last level.
	leafRuns int
}

func simulate(sc scenario, newPolicy func(zone string, services map[string]string, concurrency int) policy) results {
	s := newSim()
	sc.levels = max(sc.levels, 1)
	if sc.concurrency == 0 {
		sc.concurrency = 1_000_000
	}
	services := map[string]string{"other": "s0", "flood": "s0"}
	for l := 1; l < sc.levels; l++ {
		services[fmt.Sprintf("level-%d", l)] = fmt.Sprintf("s%d", l)
	}
	var policies []policy
	addPolicy := func(n int) policy {
		p := newPolicy(zone(n), services, sc.concurrency)
		policies = append(policies, p)
		return p
	}
	var list []routing.Instance
	for l := range sc.levels {
		for n := range simProxies {
			v := s.newServer(fmt.Sprintf("s%d", l), n)
			if l+1 < sc.levels {
				v.nextOrganisation = fmt.Sprintf("level-%d", l+1)
				v.nextPolicy = addPolicy(n)
			}
			list = append(list, v.Instance)
		}
	}
	if sc.prepare != nil {
		sc.prepare(s)
	}
	entries := make([]policy, simProxies)
	for n := range entries {
		entries[n] = addPolicy(n)
	}
	setInstances := func(instances []routing.Instance) {
		for _, p := range policies {
			p.Step(s.now(), routing.InstancesChanged{Instances: instances})
		}
	}
	setInstances(list[:len(list)-sc.joins])
	if sc.joins > 0 {
		s.after(sc.joinAt, func() { setInstances(list) })
	}
	for n, org := range slices.Sorted(maps.Keys(sc.load)) {
		s.arrivals(entries, org, sc.load[org]*simCapacity, rand.New(rand.NewPCG(uint64(n), 3)))
	}
	s.run(simLength + 2*simDeadline)
	return s.summarize("other", sc.levels)
}

// arrivals schedules the requests of an organisation, one in four of them a
// write. They depend on rng alone, so that both policies get the same.
func (s *sim) arrivals(entries []policy, org string, rate float64, rng *rand.Rand) {
	for at := time.Duration(0); at < simLength; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		r := &request{org: org, method: "GET"}
		if rng.IntN(4) == 0 {
			r.method = "POST"
		}
		entry := entries[rng.IntN(len(entries))]
		s.requests = append(s.requests, r)
		s.after(at, func() {
			r.arrivedAt = s.at
			s.call(entry, r, org, false, func(o outcome.Outcome, status int) {
				r.outcome, r.status, r.latency = o, status, s.at-r.arrivedAt
			})
		})
	}
}

func (s *sim) summarize(org string, levels int) results {
	var f results
	var latencies []time.Duration
	for _, r := range s.requests {
		if r.org != org {
			continue
		}
		f.sent++
		seen := simDeadline
		switch {
		case r.outcome == outcome.Answered && r.status < 500:
			f.answered++
			seen = r.latency
		case r.outcome == outcome.NotRun:
			f.refused++
		default:
			f.unknown++
		}
		if r.method == "POST" && r.runs > 1 || r.outcome == outcome.NotRun && r.runs > 0 {
			f.violations++
		}
		latencies = append(latencies, seen)
	}
	f.attempts = float64(s.sends) / float64(len(s.requests)*levels)
	for _, v := range s.servers {
		f.leafRuns += v.runs
	}
	slices.SortFunc(latencies, cmp.Compare)
	f.p50, f.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	return f
}

func routerPolicy(zone string, services map[string]string, concurrency int) policy {
	r := routing.New(routing.Config{AvailabilityZone: zone, MaxAttempts: simMaxAttempts, Seed: uint64(len(zone) + int(zone[1]))})
	r.Step(simStart, routing.SnapshotEnforced{Snapshot: simSnapshot(services, concurrency)})
	return r
}

func naivePolicy(_ string, services map[string]string, _ int) policy {
	return &naive{services: services, calls: make(map[uint64]*naiveCall)}
}

// Bounds of the comparison with the naive policy.
const (
	// minAnsweredRatio is the lowest ratio of requests answered with the router
	// to those answered with the naive policy.
	minAnsweredRatio = 0.98
	// maxP99Ratio is the highest ratio of the router's p99 latency to that of
	// the naive policy.
	maxP99Ratio = 1.05
	// maxStormRunsPerRequest limits the runs at the last level of a call chain
	// for each request.
	maxStormRunsPerRequest = 1.2
)

// TestPolicyAgainstNaive compares both policies in the simulated scenarios. Run
// it with -v for the table of docs/design/load.md.
func TestPolicyAgainstNaive(t *testing.T) {
	t.Logf("%-24s %-7s %6s %8s %7s %7s %6s %8s %7s %7s %6s", "trace", "policy", "sent", "answered", "refused", "unknown", "broken", "attempts", "p50 ms", "p99 ms", "runs")
	for _, sc := range scenarios() {
		router, naive := simulate(sc, routerPolicy), simulate(sc, naivePolicy)
		router.log(t, sc.name, "router")
		naive.log(t, sc.name, "naive")
		if router.violations > 0 {
			t.Errorf("%s: %d requests run twice or falsely reported as not run", sc.name, router.violations)
		}
		if float64(router.p99) > maxP99Ratio*float64(naive.p99) {
			t.Errorf("%s: p99 latency of %v is too far above the %v of the naive policy", sc.name, router.p99, naive.p99)
		}
		if router.attempts > naive.attempts {
			t.Errorf("%s: %v attempts per request are more than the %v of the naive policy", sc.name, router.attempts, naive.attempts)
		}
		if sc.levels > 1 {
			if float64(router.leafRuns) > maxStormRunsPerRequest*float64(router.sent) {
				t.Errorf("%s: %d runs at the last level are too many for %d requests", sc.name, router.leafRuns, router.sent)
			}
			continue // by running requests twice, the naive policy gets additional late responses
		}
		if float64(router.answered) < minAnsweredRatio*float64(naive.answered) {
			t.Errorf("%s: %d requests answered, too few compared with %d by the naive policy", sc.name, router.answered, naive.answered)
		}
		if sc.mustBeatNaive && router.refused+router.unknown >= naive.refused+naive.unknown {
			t.Errorf("%s: %d requests failed, want fewer than the %d of the naive policy", sc.name, router.refused+router.unknown, naive.refused+naive.unknown)
		}
	}
}

func (f results) log(t *testing.T, scenario, policy string) {
	t.Logf("%-24s %-7s %6d %8d %7d %7d %6d %8.2f %7d %7d %6d", scenario, policy, f.sent, f.answered, f.refused, f.unknown,
		f.violations, f.attempts, f.p50.Milliseconds(), f.p99.Milliseconds(), f.leafRuns)
}

// A flood of one organisation must not slow another one down: its results are
// compared with those of a run without the flood.
func TestFloodDoesNotSlowOthers(t *testing.T) {
	is := is.New(t)
	calm := simulate(scenario{load: map[string]float64{"other": 0.4}}, routerPolicy)
	flooded := simulate(scenario{load: map[string]float64{"other": 0.4, "flood": 3}, concurrency: 5}, routerPolicy)
	is.Equal(calm.answered, calm.sent)
	is.True(flooded.answered*100 >= flooded.sent*99)
	is.True(flooded.p99 <= 2*calm.p99)
}
