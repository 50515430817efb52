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
	// controlBytes is the stated bound of all control traffic per proxy.
	controlBytes = 26 << 10
)

type scenario struct {
	name  string
	trace []arrival
	// partition splits the fleet in halves from 10 s to 20 s.
	partition bool
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
		{name: "flood at 3, others 50 %", trace: merge(poisson(4, 1000, 0, length, 0, 3), poisson(5, 50, 0, length, 3, 60))},
		{name: "quiet, then 10 times", trace: merge(poisson(6, 10, 0, length, 0, fleetSize), poisson(7, 1000, length/2, length, 0, fleetSize))},
		{name: "flood at all, split view", trace: poisson(8, 1000, 0, length, 0, fleetSize), partition: true},
	}
}

// split gives each half of the fleet a view of itself only.
type split struct {
	*fleet
	whole []Member
}

func (s *split) advance(now time.Time) {
	at := now.Sub(start)
	if at == 10*time.Second || at == 20*time.Second {
		for i, l := range s.limiters {
			members := s.whole
			if at == 10*time.Second {
				members = s.whole[:fleetSize/2]
				if i >= fleetSize/2 {
					members = s.whole[fleetSize/2:]
				}
			}
			l.Step(now, View{Members: members})
		}
	}
	s.fleet.advance(now)
}

// TestCreditsAgainstOtherPolicies replays recorded traces. Run it with -v for
// the table of docs/design/limits.md.
func TestCreditsAgainstOtherPolicies(t *testing.T) {
	t.Logf("%-26s %-8s %8s %8s %9s %7s %9s", "trace", "policy", "arrived", "admitted", "excess", "msg/s", "B/s worst")
	for _, s := range scenarios() {
		reference := replay(&central{limit: fleetLimit, tokens: fleetLimit}, s.trace, traceSeconds*time.Second)
		f := newFleet(fleetSize, fleetLimit)
		var p policy = f
		if s.partition {
			p = &split{fleet: f, whole: f.limiters[0].view.members}
		}
		credits := replay(p, s.trace, traceSeconds*time.Second)
		gossip := &counts{limit: fleetLimit, rounds: 10, rng: rand.New(rand.NewPCG(1, 1))}
		worst := slices.Max(f.bytes) / traceSeconds
		row(t, s, "central", reference, "")
		row(t, s, "credits", credits, fmt.Sprintf("%7d %9d", f.messages/traceSeconds, worst))
		row(t, s, "static", replay(newStatic(fleetSize, fleetLimit), s.trace, traceSeconds*time.Second), "")
		row(t, s, "counts", replay(gossip, s.trace, traceSeconds*time.Second), "")
		views := 1
		if s.partition {
			views = 2
		}
		if e := excess(credits, views*fleetLimit); e > bound(fleetSize, views*fleetLimit) {
			t.Errorf("%s: %v requests over the limit, bound %v", s.name, e, bound(fleetSize, views*fleetLimit))
		}
		if len(credits)*10 < len(reference)*9 {
			t.Errorf("%s: %d admitted of %d", s.name, len(credits), len(reference))
		}
		if worst > controlBytes {
			t.Errorf("%s: %d bytes a second", s.name, worst)
		}
	}
}

func row(t *testing.T, s scenario, name string, admitted []arrival, cost string) {
	t.Logf("%-26s %-8s %8d %8d %9.0f %s", s.name, name, len(s.trace), len(admitted), excess(admitted, fleetLimit), cost)
}

// BenchmarkTake measures a request that has credits.
func BenchmarkTake(b *testing.B) {
	l := newFleet(fleetSize, 1).limiters[0]
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprintf("org-%04d", i)
		l.Take(start, names[i], 1_000_000)
		l.shares[names[i]].add(batch{credits: 1e12, until: start.Add(time.Hour)})
	}
	now := start
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		now = now.Add(20 * time.Microsecond)
		l.Take(now, names[n*7919%len(names)], 1_000_000)
	}
}

// BenchmarkAnswer measures an ask of one of 770 proxies at the owner.
func BenchmarkAnswer(b *testing.B) {
	l := newFleet(fleetSize, 1).limiters[0]
	now := start
	b.ReportAllocs()
	for n := range b.N {
		now = now.Add(time.Millisecond)
		l.answer(now, Request{From: fmt.Sprint(n % fleetSize), Asks: []Ask{{Organisation: org, Limit: 100, Rate: 1}}})
	}
}

// BenchmarkTick measures ticks with 40 asks a second and a new view each second.
func BenchmarkTick(b *testing.B) {
	f := newFleet(fleetSize, 1)
	l := f.limiters[0]
	now := start
	for n := range b.N {
		now = now.Add(simTick)
		if n%50 == 0 {
			l.Step(now, View{Members: l.view.members})
		}
		l.Take(now, fmt.Sprint(n), 100)
		l.Step(now, Tick{})
	}
}
