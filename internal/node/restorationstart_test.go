package node

import (
	"testing"
	"time"
)

// Half of the fleet is restarted while the store comes back from a copy: a proxy that starts
// must not enforce the copy's version, since the other half knows better.
func TestRestartsBesideARestorationDoNotBringTheCopysVersion(t *testing.T) {
	t.Parallel()
	for n, drills := range map[int]uint64{12: 100, 40: 20} {
		f := newStoreFleet(uint64(n), n)
		for drill := range drills {
			older := f.content.clone()
			version := 6 + drill
			f.publish(version)
			f.run(3 * time.Second)
			f.down = true
			f.run(300 * time.Millisecond)
			f.restore(older)
			f.down = false
			for _, i := range f.rng.Perm(n)[:n/2] {
				f.after(f.jitter(500*time.Millisecond), func() { f.start(i) })
			}
			for range 30 {
				f.run(100 * time.Millisecond)
				for i, node := range f.nodes {
					if v := node.Head().Version; v > 0 && v < version {
						t.Fatalf("%d proxies, drill %d: %s enforces version %d, want %d", n, drill, f.id(i), v, version)
					}
				}
			}
			f.publish(version) // written again
			f.run(2 * time.Second)
		}
		if d := f.difference(); d != "" {
			t.Errorf("%d proxies: %s", n, d)
		}
	}
}
