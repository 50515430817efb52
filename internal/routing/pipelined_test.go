package routing_test

import "testing"

// Load pattern: callers that pipeline send a request when most of the time to its target has
// passed. No instance expects to answer it within its target, so that each declines the
// offer, and a service with many instances had refused it after eight of them although
// three tenths of all slots were free: one in a hundred requests of a calm fleet.
func TestRequestsWithLittleTimeToTheirTargetAreServed(t *testing.T) {
	for _, sc := range []costScenario{
		{proxies: 12, servers: 12},
		{proxies: 75, servers: 60},
		{proxies: 295, servers: 137},
	} {
		sc.load, sc.length, sc.seed, sc.pipelined = 0.6, 2*costWarmUp, 1, 0.1
		got := simulateCosts(sc)
		t.Logf("%3d proxies, %3d servers: %d refused; %v", sc.proxies, sc.servers, got.refused, got)
		if got.refused > 0 {
			t.Errorf("%d proxies: %d requests refused at a load of %.1f", sc.proxies, got.refused, sc.load)
		}
	}
}
