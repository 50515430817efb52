package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// maxOverloadSends is the number of sends that a request may cost on average while a service
// is asked for more than it can run: half of those that a request may make.
const maxOverloadSends = 4

// Guards against proxies that are busy with offers: above the capacity each request was
// offered to seven instances, and each offer took 20 to 90 ms on a machine with 0.16 of a
// core; the answers fell to half of what the backend servers could give.
func TestRequestsCostFewSendsInOverload(t *testing.T) {
	for _, sc := range fleets[1:] {
		sc.seed = 1
		s, entries := newCostFleet(sc)
		rng := rand.New(rand.NewPCG(sc.seed, 9))
		route := costRoutes[len(costRoutes)-1]
		rate := 1.8 * float64(sc.servers*costSlots) / route.work.Seconds()
		for at := time.Duration(0); at < sc.length; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			r := &request{org: "o", method: "GET", path: "/" + route.name, arrivedAt: at, work: time.Duration((0.5 + rng.ExpFloat64()/2) * float64(route.work))}
			s.requests = append(s.requests, r)
			entry := entries[rng.IntN(len(entries))]
			s.after(at, func() {
				s.call(entry, r, "o", false, func(o outcome.Outcome, _ int) { r.outcome, r.latency = o, s.at-r.arrivedAt })
			})
		}
		s.run(sc.length + 3*time.Second)
		inTime := 0
		for _, r := range s.requests {
			if r.outcome == outcome.Answered && r.latency <= route.target {
				inTime++
			}
		}
		sends := float64(s.sends) / float64(len(s.requests))
		t.Logf("%3d proxies: %.2f sends a request, %d of %d in time", sc.proxies, sends, inTime, len(s.requests))
		if sends > maxOverloadSends {
			t.Errorf("%d proxies: %.2f sends a request, want %d at most", sc.proxies, sends, maxOverloadSends)
		}
	}
}
