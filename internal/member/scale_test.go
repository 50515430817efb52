package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

var fleetSizes = []int{100, 200, 400, 770}

// newBenchmarkNetwork returns a converged network that counts messages and bytes.
func newBenchmarkNetwork(b *testing.B, size int) *network {
	n := newNetwork(1, size, 7)
	n.publishList()
	n.awaitConvergence(b, 2*time.Minute)
	n.run(20 * time.Second)
	n.measureTraffic = true
	return n
}

// reportTraffic runs f and reports the traffic of an instance per second of virtual
// time: the mean numbers of bytes sent, bytes received and messages sent, and the
// highest sum of bytes sent and received.
func (n *network) reportTraffic(b *testing.B, f func()) {
	start := n.now
	for _, t := range n.nodes {
		t.sentBytes, t.receivedBytes, t.sentMessages = 0, 0, 0
	}
	f()
	seconds := n.now.Sub(start).Seconds()
	var sent, received, messages, highest float64
	for _, t := range n.nodes {
		sent += float64(t.sentBytes)
		received += float64(t.receivedBytes)
		messages += float64(t.sentMessages)
		highest = max(highest, float64(t.sentBytes+t.receivedBytes))
	}
	count := float64(len(n.nodes))
	b.ReportMetric(sent/count/seconds, "sentB/s")
	b.ReportMetric(received/count/seconds, "recvB/s")
	b.ReportMetric(highest/seconds, "maxB/s")
	b.ReportMetric(messages/count/seconds, "messages/s")
	b.ReportMetric(0, "ns/op")
}

func versionHeld(v uint64) VersionHeld {
	return VersionHeld{Version: v, Root: config.HashOf(fmt.Append(nil, v)), Ready: true}
}

// putInForce puts a version in force at every instance, at random times within
// the spread.
func (n *network) putInForce(v uint64, spread time.Duration) {
	for _, t := range n.nodes {
		n.after(time.Duration(n.rng.Int64N(int64(spread)+1)), func() { t.step(versionHeld(v)) })
	}
}

func benchmarkSizes(b *testing.B, f func(b *testing.B, n *network)) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint("n=", size), func(b *testing.B) {
			for b.Loop() {
				f(b, newBenchmarkNetwork(b, size))
			}
		})
	}
}

func BenchmarkSteadyState(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		n.reportTraffic(b, func() { n.run(30 * time.Second) })
	})
}

// BenchmarkVersionInForce has every instance put a new version in force within
// two seconds. It reports the traffic over at least ten seconds, and the time
// until all tables agree.
func BenchmarkVersionInForce(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		var took time.Duration
		n.reportTraffic(b, func() {
			start := n.now
			n.putInForce(1, 2*time.Second)
			n.run(2 * time.Second)
			took = 2*time.Second + n.awaitConvergence(b, time.Minute)
			if rest := 10*time.Second - n.now.Sub(start); rest > 0 {
				n.run(rest)
			}
		})
		b.ReportMetric(took.Seconds(), "s-to-agree")
	})
}

// BenchmarkRestart stops an instance, restarts it after ten seconds, and reports
// the traffic over a minute, to be compared with BenchmarkSteadyState.
func BenchmarkRestart(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		n.reportTraffic(b, func() {
			n.nodes[3].kill()
			n.run(10 * time.Second)
			n.nodes[3].restart(0)
			n.publishList()
			n.run(50 * time.Second)
		})
		if !n.converged() {
			b.Fatal("not converged 50 s after the restart")
		}
	})
}

// BenchmarkRumour reports the time until all instances know a rumour, and until
// all know that an instance is leaving, with a latency of 1 to 2 ms.
func BenchmarkRumour(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		n.measureTraffic = false
		n.nodes[7].step(Publish{Rumour: rumour("k", time.Minute)})
		took, _ := n.runUntil(time.Minute, func() bool { return n.countLearnt("k") == len(n.nodes) })
		b.ReportMetric(took.Seconds(), "s-rumour")
		n.nodes[9].step(Leave{})
		took, _ = n.runUntil(time.Minute, func() bool { return n.seenAs(Leaving, n.nodes[9]) })
		b.ReportMetric(took.Seconds(), "s-leaving")
		b.ReportMetric(0, "ns/op")
	})
}

func (n *network) countLearnt(key string) int {
	count := 0
	for _, t := range n.nodes {
		count += t.learnt[key]
	}
	return count
}

// BenchmarkZoneLost stops all instances of an availability zone. It reports the
// traffic over a minute, and the time until all other instances see the whole zone
// as partitioned.
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
		n.reportTraffic(b, func() {
			took, _ = n.runUntil(time.Minute, func() bool { return n.seenAs(Partitioned, lost...) })
			n.run(time.Minute - took)
		})
		b.ReportMetric(took.Seconds(), "s-to-see")
	})
}

// BenchmarkStep reports the real time that one instance takes per second of
// virtual time, without changes and while a new version comes into force. It
// includes the simulation of the network.
func BenchmarkStep(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, n *network) {
		n.measureTraffic = false
		microsPerInstance := func(seconds float64, f func()) float64 {
			start := time.Now()
			f()
			return float64(time.Since(start).Microseconds()) / seconds / float64(len(n.nodes))
		}
		b.ReportMetric(microsPerInstance(30, func() { n.run(30 * time.Second) }), "us/s-rest")
		b.ReportMetric(microsPerInstance(10, func() {
			n.putInForce(1, 2*time.Second)
			n.run(10 * time.Second)
		}), "us/s-version")
		b.ReportMetric(0, "ns/op")
	})
}

// BenchmarkTable reports the memory per record of an instance's table.
func BenchmarkTable(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint("n=", size), func(b *testing.B) {
			nodes := newNetwork(1, size, 7).nodes
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				t := newTable()
				for _, node := range nodes {
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

// BenchmarkWholeTable reports the size of a message with the full table, as the
// reference model exchanges it in every round.
func BenchmarkWholeTable(b *testing.B) {
	for _, size := range fleetSizes {
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
