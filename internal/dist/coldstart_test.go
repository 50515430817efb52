package dist

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

const (
	// sourceCallLimit is the rate limit of the source in calls per second.
	sourceCallLimit = 2000
	// coldStartBlobs is the number of blobs that a proxy fetches for its
	// first version.
	coldStartBlobs   = 2000
	coldStartTimeout = time.Minute
)

// coldStart starts all proxies of 7 availability zones at once with empty
// state, and returns the peak rate of source calls per second and the time to
// convergence. Gossip starts after 3 seconds.
func coldStart(fail func(string, ...any), perZone int, naive bool) (peak int, took time.Duration, converged bool) {
	n := newNetwork(11, 7, perZone, fail)
	n.source.limit = sourceCallLimit
	n.source.coldBlobs = coldStartBlobs
	n.sharedView = true
	n.nextGossip = n.now.Add(3 * time.Second)
	n.source.publish("a-desk", 1)
	if naive {
		for _, p := range n.proxies {
			p.naive = true
			n.start(p)
			p.pollSchedule = source.NewPollSchedule(testListInterval, 1, n.rng.Uint64())
			p.listAt = n.now
		}
	}
	begin := n.now
	for n.now.Sub(begin) < coldStartTimeout {
		n.run(time.Second)
		if divergence(n) == "" {
			return n.source.peak, n.now.Sub(begin), true
		}
	}
	return n.source.peak, n.now.Sub(begin), false
}

func TestColdStartStaysWithinSourceLimit(t *testing.T) {
	is := is.New(t)
	peak, took, converged := coldStart(t.Fatalf, 110, false)
	t.Logf("770 proxies: peak %d source calls per second, converged %v after %v", peak, converged, took)
	is.True(converged)
	is.True(peak <= sourceCallLimit)
	naivePeak, _, _ := coldStart(t.Fatalf, 10, true)
	is.True(naivePeak > sourceCallLimit) // 70 proxies in naive mode already exceed the limit
}

// TestProxyWithoutPeersOrListDelaysReading guards against a proxy that becomes a
// reader because its view is still empty, as in the first seconds after a
// restart of the whole fleet.
func TestProxyWithoutPeersOrListDelaysReading(t *testing.T) {
	n := newNetwork(5, 1, 1, t.Fatalf)
	p := n.proxies[0]
	p.listAt = n.now.Add(time.Hour)
	n.source.publish("a-desk", 1)
	n.run(listTimeout - time.Second)
	is.New(t).Equal(n.source.calls, 0)
	n.run(3 * time.Second)
	is.New(t).True(n.source.calls > 0)
}

// TestNumberOfReadersDoesNotGrowWithTheFleet checks that the number of readers
// stays constant while the fleet grows tenfold, and that the number of peers to
// which each full replica announces is bounded.
func TestNumberOfReadersDoesNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, perZone := range []int{110, 1100} {
		var records []member.Record
		for z := range 7 {
			for i := range perZone {
				records = append(records, member.Record{ID: fmt.Sprintf("p-%d-%d", z, i), AvailabilityZone: fmt.Sprintf("zone-%d", z)})
			}
		}
		f := newFleet(records, nil)
		is.Equal(len(f.readers), 7*readersPerZone)
		targets := make(map[string]int)
		for _, r := range records {
			targets[f.upstreamOf(r.ID, r.AvailabilityZone)]++
		}
		delete(targets, "")
		for id, n := range targets {
			is.True(n <= 2*instancesPerRelay)
			is.True(f.roles[id] != Leaf)
		}
	}
}

func BenchmarkColdStart(b *testing.B) {
	cases := []struct {
		name    string
		perZone int
		naive   bool
	}{{"770", 110, false}, {"770naive", 110, true}, {"2100", 300, false}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				peak, took, converged := coldStart(b.Fatalf, c.perZone, c.naive)
				b.ReportMetric(float64(peak), "peak_calls/s")
				b.ReportMetric(took.Seconds(), "converged_s")
				if !converged {
					b.ReportMetric(0, "converged")
				}
			}
		})
	}
}

// gossipShared gives every proxy the same view of all instances.
func (n *network) gossipShared() {
	records := make([]member.Record, 0, len(n.proxies))
	for _, p := range n.proxies {
		records = append(records, p.record)
	}
	sortByID(records)
	for _, p := range n.proxies {
		n.step(p, MembershipChanged{Records: records})
	}
}
