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
	// capacity of 12 servers, in requests per second.
	simCapacity = float64(simProxies*simSlots) / 0.05
	levels      = 4
)

// trace describes a recorded trace of arrivals and faults.
type trace struct {
	name string
	// load is the load by organisation, as a share of the capacity.
	load map[string]float64
	// concurrency is the limit of the flooding organisation at one proxy.
	concurrency int
	levels      int
	// prepare puts faults into the servers.
	prepare func(s *sim)
	// joins is the number of servers that come at joinAt.
	joins  int
	joinAt time.Duration
	// better demands fewer requests without an answer than the naive policy.
	better bool
}

func between(at, from, to time.Duration) bool { return at >= from && at < to }

func traces() []trace {
	steady := map[string]float64{"other": 0.6}
	return []trace{
		{name: "steady, 60 %", load: steady},
		{name: "overload, 150 %", load: map[string]float64{"other": 1.5}},
		{name: "one slow instance", better: true, load: steady, prepare: func(s *sim) {
			s.servers["s0-03"].slow = func(time.Duration) float64 { return 10 }
		}},
		{name: "one lying instance", load: steady, prepare: func(s *sim) {
			s.servers["s0-03"].fault = func(time.Duration) fault { return cut }
		}},
		{name: "cold starts", better: true, load: steady, joins: 4, joinAt: 3 * time.Second, prepare: func(s *sim) {
			for n := 8; n < 12; n++ {
				s.servers[fmt.Sprintf("s0-%02d", n)].slow = func(at time.Duration) float64 {
					return max(1, 10-2*(at-3*time.Second).Seconds())
				}
			}
		}},
		{name: "dead zone, still listed", load: steady, prepare: func(s *sim) {
			for n := 0; n < simProxies; n += simZones {
				s.servers[fmt.Sprintf("s0-%02d", n)].fault = func(at time.Duration) fault {
					if between(at, 3*time.Second, 6*time.Second) {
						return dead
					}
					return healthy
				}
			}
		}},
		{name: "flooding organisation", better: true, load: map[string]float64{"other": 0.4, "flood": 3}, concurrency: 5},
		{name: "retry storm, 4 levels", load: map[string]float64{"other": 0.15}, levels: levels, prepare: func(s *sim) {
			for n := range simProxies {
				s.servers[fmt.Sprintf("s%d-%02d", levels-1, n)].fault = func(at time.Duration) fault {
					if between(at, 3*time.Second, 6*time.Second) {
						return cut
					}
					return healthy
				}
			}
		}},
	}
}

// figures sums up what the callers saw.
type figures struct {
	sent, answered, refused, unknown int
	// broken counts writes that ran twice and false claims of "not run".
	broken   int
	attempts float64
	// p50 and p99 count the deadline for a request without an answer.
	p50, p99 time.Duration
	leafRuns int
}

func play(tr trace, policy func(zone string, services map[string]string, concurrency int) stepper) figures {
	s := newSim()
	tr.levels = max(tr.levels, 1)
	if tr.concurrency == 0 {
		tr.concurrency = 1_000_000
	}
	services := map[string]string{"other": "s0", "flood": "s0"}
	for l := 1; l < tr.levels; l++ {
		services[fmt.Sprintf("level-%d", l)] = fmt.Sprintf("s%d", l)
	}
	var all []stepper
	make1 := func(n int) stepper {
		p := policy(zone(n), services, tr.concurrency)
		all = append(all, p)
		return p
	}
	var list []routing.Instance
	for l := range tr.levels {
		for n := range simProxies {
			v := s.newServer(fmt.Sprintf("s%d", l), n)
			if l+1 < tr.levels {
				v.next = fmt.Sprintf("level-%d", l+1)
				v.router = make1(n)
			}
			list = append(list, v.Instance)
		}
	}
	if tr.prepare != nil {
		tr.prepare(s)
	}
	entries := make([]stepper, simProxies)
	for n := range entries {
		entries[n] = make1(n)
	}
	view := func(instances []routing.Instance) {
		for _, p := range all {
			p.Step(s.now(), routing.InstancesChanged{Instances: instances})
		}
	}
	view(list[:len(list)-tr.joins])
	if tr.joins > 0 {
		s.after(tr.joinAt, func() { view(list) })
	}
	for n, org := range slices.Sorted(maps.Keys(tr.load)) {
		s.arrivals(entries, org, tr.load[org]*simCapacity, rand.New(rand.NewPCG(uint64(n), 3)))
	}
	s.run(simLength + 2*simDeadline)
	return s.sum("other", tr.levels)
}

// arrivals sends requests of an organisation, every fourth of them a write.
// The trace depends on rng alone.
func (s *sim) arrivals(entries []stepper, org string, rate float64, rng *rand.Rand) {
	for at := time.Duration(0); at < simLength; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		r := &request{org: org, method: "GET"}
		if rng.IntN(4) == 0 {
			r.method = "POST"
		}
		entry := entries[rng.IntN(len(entries))]
		s.all = append(s.all, r)
		s.after(at, func() {
			r.began = s.at
			s.call(entry, r, org, false, func(o outcome.Outcome, status int) {
				r.final, r.status, r.latency = o, status, s.at-r.began
			})
		})
	}
}

func (s *sim) sum(org string, levels int) figures {
	var f figures
	var latencies []time.Duration
	for _, r := range s.all {
		if r.org != org {
			continue
		}
		f.sent++
		seen := simDeadline
		switch {
		case r.final == outcome.Answered && r.status < 500:
			f.answered++
			seen = r.latency
		case r.final == outcome.NotRun:
			f.refused++
		default:
			f.unknown++
		}
		if r.method == "POST" && r.runs > 1 || r.final == outcome.NotRun && r.runs > 0 {
			f.broken++
		}
		latencies = append(latencies, seen)
	}
	f.attempts = float64(s.sends) / float64(len(s.all)*levels)
	for _, v := range s.servers {
		f.leafRuns += v.runs
	}
	slices.SortFunc(latencies, cmp.Compare)
	f.p50, f.p99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	return f
}

func ours(zone string, services map[string]string, concurrency int) stepper {
	r := routing.New(routing.Config{AvailabilityZone: zone, MaxAttempts: simMaxTries, Seed: uint64(len(zone) + int(zone[1]))})
	r.Step(simStart, routing.Enforced{Snapshot: simSnapshot(services, concurrency)})
	return r
}

func theirs(_ string, services map[string]string, _ int) stepper {
	return &naive{services: services, calls: make(map[uint64]*naiveCall)}
}

// Bounds of the comparison, as shares.
const (
	// answeredShare is the least share of the answers of the naive policy.
	answeredShare = 0.98
	// latencyShare is the largest share of its tail latency.
	latencyShare = 1.05
	// stormRuns bounds the runs of the last level for each request, through
	// all levels.
	stormRuns = 1.2
)

// TestPolicyAgainstNaive replays recorded traces. Run it with -v for the table
// of docs/design/load.md.
func TestPolicyAgainstNaive(t *testing.T) {
	t.Logf("%-24s %-7s %6s %8s %7s %7s %6s %8s %7s %7s %6s", "trace", "policy", "sent", "answered", "refused", "unknown", "broken", "attempts", "p50 ms", "p99 ms", "runs")
	for _, tr := range traces() {
		a, b := play(tr, ours), play(tr, theirs)
		a.log(t, tr.name, "router")
		b.log(t, tr.name, "naive")
		if a.broken > 0 {
			t.Errorf("%s: %d promises broken", tr.name, a.broken)
		}
		if float64(a.p99) > latencyShare*float64(b.p99) {
			t.Errorf("%s: p99 %v, naive %v", tr.name, a.p99, b.p99)
		}
		if a.attempts > b.attempts {
			t.Errorf("%s: %v attempts, naive %v", tr.name, a.attempts, b.attempts)
		}
		if tr.levels > 1 {
			if float64(a.leafRuns) > stormRuns*float64(a.sent) {
				t.Errorf("%s: %d runs for %d requests", tr.name, a.leafRuns, a.sent)
			}
			continue // the naive policy gets late answers at the price of double runs
		}
		if float64(a.answered) < answeredShare*float64(b.answered) {
			t.Errorf("%s: %d answered, naive %d", tr.name, a.answered, b.answered)
		}
		if tr.better && a.refused+a.unknown >= b.refused+b.unknown {
			t.Errorf("%s: %d failed, naive %d", tr.name, a.refused+a.unknown, b.refused+b.unknown)
		}
	}
}

func (f figures) log(t *testing.T, trace, policy string) {
	t.Logf("%-24s %-7s %6d %8d %7d %7d %6d %8.2f %7d %7d %6d", trace, policy, f.sent, f.answered, f.refused, f.unknown,
		f.broken, f.attempts, f.p50.Milliseconds(), f.p99.Milliseconds(), f.leafRuns)
}

// TestFloodDoesNotSlowOthers compares the other organisation's figures with
// those of a trace without the flood.
func TestFloodDoesNotSlowOthers(t *testing.T) {
	is := is.New(t)
	calm := play(trace{load: map[string]float64{"other": 0.4}}, ours)
	flooded := play(trace{load: map[string]float64{"other": 0.4, "flood": 3}, concurrency: 5}, ours)
	is.Equal(calm.answered, calm.sent)
	is.True(flooded.answered*100 >= flooded.sent*99)
	is.True(flooded.p99 <= 2*calm.p99)
}
