package node

import (
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/source"
)

const (
	// contactBound is the time after a disturbance of its connections from which on the
	// platform's bounds apply to a proxy, drainBound that in which a removal must count.
	contactBound = 3 * time.Second
	drainBound   = 2 * time.Second
)

// runUntil runs the fleet until the given time.
func (f *storeFleet) runUntil(t time.Time) { f.run(t.Sub(f.now)) }

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against versions that are late because a connection to the store fell silent just
// after a change, while the next watch was still to begin.
func TestVersionCountsInTimeAfterConnectionsFellSilent(t *testing.T) {
	for _, n := range []int{12} {
		f := newStoreFleet(uint64(n), n)
		for version := range uint64(6) {
			f.run(4*time.Second + f.jitter(4*time.Second))
			f.put(1, source.InstanceLive)
			f.run(100 * time.Millisecond)
			silent := f.now
			f.connections++
			f.run(700 * time.Millisecond)
			f.publish(6 + version)
			f.runUntil(later(silent.Add(contactBound), f.now.Add(drainBound)))
			if d := f.difference(); d != "" {
				t.Errorf("%d proxies: %s", n, d)
			}
		}
	}
}
