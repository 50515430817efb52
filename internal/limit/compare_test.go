package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	fleetSize    = 770
	fleetLimit   = 100
	traceSeconds = 30
	// maxControlBytesPerSecond is the documented bound on the control traffic of
	// one proxy.
	maxControlBytesPerSecond = 26 << 10
)

type scenario struct {
	name  string
	trace []arrival
	// splitViews gives each half of the fleet a membership list of itself only,
	// from 10 s to 20 s.
	splitViews bool
}

func scenarios() []scenario {
	const length = traceSeconds * time.Second
	var moving []arrival
	for n := range 3 {
		begin := time.Duration(n) * 10 * time.Second
		moving = append(moving, poisson(uint64(n), 80, begin, begin+10*time.Second, n*100, n*100+5)...)
	}
	return []scenario{
		{name: "even, half the limit", trace: poisson(1, 50, 0, length, 0, fleetSize)},
		{name: "at 5 proxies, 80 %", trace: poisson(2, 80, 0, length, 0, 5)},
		{name: "moving every 10 s, 80 %", trace: moving},
		{name: "flood at all, 10 times", trace: poisson(3, 1000, 0, length, 0, fleetSize)},
		{name: "flood at 3, others 50 %", trace: mergeTraces(poisson(4, 1000, 0, length, 0, 3), poisson(5, 50, 0, length, 3, 60))},
		{name: "quiet, then 10 times", trace: mergeTraces(poisson(6, 10, 0, length, 0, fleetSize), poisson(7, 1000, length/2, length, 0, fleetSize))},
		{name: "flood at all, split view", trace: poisson(8, 1000, 0, length, 0, fleetSize), splitViews: true},
	}
}

// splitViewFleet is a fleet in which, from 10 s to 20 s, the membership list of
// each proxy names only the proxies of its own half.
type splitViewFleet struct {
	*fleet
	allMembers []Member
}

func (s *splitViewFleet) advance(now time.Time) {
	at := now.Sub(start)
	if at == 10*time.Second || at == 20*time.Second {
		for i, l := range s.limiters {
			members := s.allMembers
			if at == 10*time.Second {
				members = s.allMembers[:fleetSize/2]
				if i >= fleetSize/2 {
					members = s.allMembers[fleetSize/2:]
				}
			}
			l.Step(now, MembersChanged{Members: members})
		}
	}
	s.fleet.advance(now)
}

// TestCreditsAgainstOtherPolicies replays generated traces against each policy. It
// checks over-admission, utilisation and control traffic of this package's policy,
// which the table names credits. With -v it prints the table of
// docs/design/limits.md.
func TestCreditsAgainstOtherPolicies(t *testing.T) {
	t.Logf("%-26s %-8s %8s %8s %9s %7s %9s", "trace", "policy", "arrived", "admitted", "excess", "msg/s", "B/s worst")
	for _, s := range scenarios() {
		reference := replay(&centralBucket{limit: fleetLimit, tokens: fleetLimit}, s.trace, traceSeconds*time.Second)
		f := newFleet(fleetSize, fleetLimit)
		var p limitPolicy = f
		if s.splitViews {
			p = &splitViewFleet{fleet: f, allMembers: f.limiters[0].view.members}
		}
		credits := replay(p, s.trace, traceSeconds*time.Second)
		gossip := &gossipedCounts{limit: fleetLimit, rounds: 10, rng: rand.New(rand.NewPCG(1, 1))}
		worst := slices.Max(f.bytes) / traceSeconds
		logRow(t, s, "central", reference, "")
		logRow(t, s, "credits", credits, fmt.Sprintf("%7d %9d", f.messages/traceSeconds, worst))
		logRow(t, s, "static", replay(newStaticShares(fleetSize, fleetLimit), s.trace, traceSeconds*time.Second), "")
		logRow(t, s, "counts", replay(gossip, s.trace, traceSeconds*time.Second), "")
		views := 1 // each view has its own owner, which grants the whole limit
		if s.splitViews {
			views = 2
		}
		if e := excess(credits, views*fleetLimit); e > maxExcess(fleetSize, views*fleetLimit) {
			t.Errorf("%s: %v requests over the sum of the limits of all views, want at most %v", s.name, e, maxExcess(fleetSize, views*fleetLimit))
		}
		if len(credits)*10 < len(reference)*9 {
			t.Errorf("%s: %d requests admitted, want at least 90 %% of the %d that the central bucket admits", s.name, len(credits), len(reference))
		}
		if worst > maxControlBytesPerSecond {
			t.Errorf("%s: %d bytes per second of control traffic at one proxy, more than maxControlBytesPerSecond", s.name, worst)
		}
	}
}

func logRow(t *testing.T, s scenario, name string, admitted []arrival, cost string) {
	t.Logf("%-26s %-8s %8d %8d %9.0f %s", s.name, name, len(s.trace), len(admitted), excess(admitted, fleetLimit), cost)
}

// BenchmarkAllow measures the admission of a request of an organisation that has
// credits.
func BenchmarkAllow(b *testing.B) {
	l := newFleet(fleetSize, 1).limiters[0]
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("org-%04d", i)
		l.Allow(start, names[i], 1_000_000)
		l.shares[names[i]].addCredits(creditBatch{credits: 1e12, expiresAt: start.Add(time.Hour)})
	}
	now := start
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		now = now.Add(20 * time.Microsecond)
		l.Allow(now, names[n*7919%len(names)], 1_000_000)
	}
}

// BenchmarkAnswerRequest measures the owner's answer to a CreditRequest from
// one of 770 proxies.
func BenchmarkAnswerRequest(b *testing.B) {
	l := newFleet(fleetSize, 1).limiters[0]
	now := start
	b.ReportAllocs()
	for n := range b.N {
		now = now.Add(time.Millisecond)
		l.answer(now, Request{From: fmt.Sprint(n % fleetSize), CreditRequests: []CreditRequest{{Organisation: org, Limit: 100, Rate: 1}}})
	}
}

// BenchmarkTick measures ticks, with a new view each second. Requests for credits
// are queued for 50 organisations a second, more than maxSentPerSecond.
func BenchmarkTick(b *testing.B) {
	f := newFleet(fleetSize, 1)
	l := f.limiters[0]
	now := start
	for n := range b.N {
		now = now.Add(simTick)
		if n%50 == 0 {
			l.Step(now, MembersChanged{Members: l.view.members})
		}
		l.Allow(now, fmt.Sprint(n), 100)
		l.Step(now, Tick{})
	}
}
