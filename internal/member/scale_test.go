package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

var sizes = []int{100, 200, 400, 770}

// fleet returns a measured network whose tables agree.
func fleet(b *testing.B, size int) *network {
	n := newNetwork(1, size, 7)
	n.list()
	n.settle(b, 2*time.Minute)
	n.run(20 * time.Second)
	n.measure = true
	return n
}

// bytesPerNode runs f over the given time and reports the mean and the highest
// number of bytes sent and received by an instance in a second.
func (n *network) bytesPerNode(b *testing.B, f func()) {
	start := n.now
	for _, t := range n.nodes {
		t.sent, t.received, t.messages = 0, 0, 0
	}
	f()
	seconds := n.now.Sub(start).Seconds()
	var sent, received, messages, highest float64
	for _, t := range n.nodes {
		sent += float64(t.sent)
		received += float64(t.received)
		messages += float64(t.messages)
		highest = max(highest, float64(t.sent+t.received))
	}
	count := float64(len(n.nodes))
	b.ReportMetric(sent/count/seconds, "sentB/s")
	b.ReportMetric(received/count/seconds, "recvB/s")
	b.ReportMetric(highest/seconds, "maxB/s")
	b.ReportMetric(messages/count/seconds, "messages/s")
	b.ReportMetric(0, "ns/op")
}

func version(v uint64) InForce {
	return InForce{Version: v, Root: config.HashOf(fmt.Append(nil, v)), Ready: true}
}

// enforce puts a version in force at every instance within the spread.
func (n *network) enforce(v uint64, spread time.Duration) {
	for _, t := range n.nodes {
		n.after(time.Duration(n.rng.Int64N(int64(spread)+1)), func() { t.step(version(v)) })
	}
}

func benchmarkSizes(b *testing.B, f func(b *testing.B, n *network)) {
	for _, size := range sizes {
		b.Run(fmt.Sprint("n=", size), func(b *testing.B) {
			for b.Loop() {
				f(b, fleet(b, size))
			}
		})
	}
}

func BenchmarkSteadyState(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		n.bytesPerNode(b, func() { n.run(30 * time.Second) })
	})
}

// BenchmarkVersionInForce has every instance report a new version within two
// seconds and reports bytes over ten.
func BenchmarkVersionInForce(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		var took time.Duration
		n.bytesPerNode(b, func() {
			start := n.now
			n.enforce(1, 2*time.Second)
			n.run(2 * time.Second)
			took = 2*time.Second + n.settle(b, time.Minute)
			if rest := 10*time.Second - n.now.Sub(start); rest > 0 {
				n.run(rest)
			}
		})
		b.ReportMetric(took.Seconds(), "s-to-agree")
	})
}

// BenchmarkRestart kills an instance, starts it again after ten seconds, and
// reports bytes over a minute, to be compared with BenchmarkSteadyState.
func BenchmarkRestart(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		n.bytesPerNode(b, func() {
			n.nodes[3].kill()
			n.run(10 * time.Second)
			n.nodes[3].restart(0)
			n.list()
			n.run(50 * time.Second)
		})
		if !n.agreed() {
			b.Fatal("tables differ")
		}
	})
}

// BenchmarkRumour reports how long a rumour and a leaving instance take to be
// known everywhere, with a latency of 1 to 2 ms.
func BenchmarkRumour(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		n.measure = false
		n.nodes[7].step(Publish{Rumour: rumour("k", time.Minute)})
		took, _ := n.runUntil(time.Minute, func() bool { return n.learntBy("k") == len(n.nodes) })
		b.ReportMetric(took.Seconds(), "s-rumour")
		n.nodes[9].step(Leave{})
		took, _ = n.runUntil(time.Minute, func() bool { return n.seenAs(Leaving, n.nodes[9]) })
		b.ReportMetric(took.Seconds(), "s-leaving")
		b.ReportMetric(0, "ns/op")
	})
}

func (n *network) learntBy(key string) int {
	count := 0
	for _, t := range n.nodes {
		count += t.learnt[key]
	}
	return count
}

// BenchmarkZoneLost loses an availability zone and reports bytes over a minute,
// and the time until all that remain see all of it as partitioned.
func BenchmarkZoneLost(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		var lost []*testNode
		for _, t := range n.nodes {
			if zoneOf(t) == "zone-2" {
				lost = append(lost, t)
				t.kill()
			}
		}
		var took time.Duration
		n.bytesPerNode(b, func() {
			took, _ = n.runUntil(time.Minute, func() bool { return n.seenAs(Partitioned, lost...) })
			n.run(time.Minute - took)
		})
		b.ReportMetric(took.Seconds(), "s-to-see")
	})
}

// BenchmarkStep reports the processor time that the state machine of one
// instance takes for a second of its life, at rest and during a new version.
func BenchmarkStep(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		n.measure = false
		perNode := func(seconds float64, f func()) float64 {
			start := time.Now()
			f()
			return float64(time.Since(start).Microseconds()) / seconds / float64(len(n.nodes))
		}
		b.ReportMetric(perNode(30, func() { n.run(30 * time.Second) }), "us/s-rest")
		b.ReportMetric(perNode(10, func() {
			n.enforce(1, 2*time.Second)
			n.run(10 * time.Second)
		}), "us/s-version")
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkTable reports the memory held by the table of one instance.
func BenchmarkTable(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint("n=", size), func(b *testing.B) {
			records := newNetwork(1, size, 7).nodes
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := newTable()
				for _, node := range records {
					t.put(node.cfg.Self)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(t)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size), "B/record")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkWholeTable reports the size of a message with the whole table, which
// the naive protocol sends in every round.
func BenchmarkWholeTable(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint("n=", size), func(b *testing.B) {
			g := Gossip{From: "service-0-0"}
			for _, node := range newNetwork(1, size, 7).nodes {
				g.Records = append(g.Records, node.cfg.Self)
			}
			for b.Loop() {
				b.ReportMetric(float64(frameSize("gossip", g)), "B/message")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
