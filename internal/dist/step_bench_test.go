package dist

import (
	"testing"
	"time"
)

// BenchmarkStep measures the cost of a step on a proxy in a converged fleet of
// 770: an idle tick, an unchanged view, and a view in which a rank changed.
func BenchmarkStep(b *testing.B) {
	n := newNetwork(1, 7, 110, b.Fatalf)
	n.sharedView = true
	n.source.publish("a-desk", 1)
	n.run(20 * time.Second)
	requireConverged(n)
	p := n.proxies[5]
	records := p.d.fleet.records
	other := append(records[:0:0], records...)
	other[9].SourceFailing = true
	views := []MembershipChanged{{Records: records}, {Records: other}}
	run := func(name string, event func(i int) Event) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				p.d.Step(n.now, event(i))
			}
		})
	}
	run("tick", func(int) Event { return Tick{} })
	run("same_view", func(int) Event { return views[0] })
	run("changed_view", func(i int) Event { return views[i%2] })
}
