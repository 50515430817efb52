package node

import (
	"fmt"
	"testing"
	"time"
)

// While the store refused all calls, each proxy of a large fleet called it more than four
// times a second, as often as the readers did. Proxies that follow readers need less, as
// they learn from these that the store is back.
func TestOutageOfTheStoreCostsFewCalls(t *testing.T) {
	t.Parallel()
	const noticed, outage = 2 * time.Second, 6 * time.Second // the first retries are quick
	for _, n := range []int{77, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newStoreFleet(5, n)
			f.publish(1)
			for i := range n {
				f.start(i)
			}
			f.run(10 * time.Second)
			f.down = true
			f.run(noticed)
			before := len(f.calls)
			f.run(outage)
			perSecond := float64(len(f.calls)-before) / outage.Seconds() / float64(n)
			t.Logf("%.2f calls a second for each proxy", perSecond)
			if perSecond > 1 {
				t.Errorf("%.2f calls a second for each proxy during the outage, want 1 at most", perSecond)
			}
			f.down = false
			f.publish(2)
			back := f.now
			for f.now.Sub(back) < 10*time.Second && !f.allAt(2) {
				f.run(20 * time.Millisecond)
			}
			t.Logf("in force everywhere %v after the store was back", f.now.Sub(back))
			if f.now.Sub(back) > 3*time.Second {
				t.Errorf("a version was in force everywhere %v after the store was back, want 3 s", f.now.Sub(back))
			}
		})
	}
}

// allAt reports whether the version is in force at all proxies.
func (f *storeFleet) allAt(version uint64) bool {
	for _, n := range f.nodes {
		if n.Head().Version != version {
			return false
		}
	}
	return true
}

// Guards against versions that wait for the end of the grace period of instances: readers
// that retained entries answered only that they are out of date.
func TestVersionDoesNotWaitForExpiredEntries(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		for _, n := range []int{28, 77} {
			f := newStoreFleet(seed, n)
			f.run(5*time.Second + f.jitter(2*time.Second))
			f.down = true
			f.run(6 * time.Second)
			for i := range 3 {
				f.remove(i) // expired
			}
			f.run(f.jitter(time.Second))
			f.down = false
			back := f.now
			f.publish(6)
			for f.now.Sub(back) < 10*time.Second && !f.allAt(6) {
				f.run(20 * time.Millisecond)
			}
			t.Logf("seed %d, %d proxies: in force everywhere %v after the store was back", seed, n, f.now.Sub(back))
			if f.now.Sub(back) > contactBound {
				t.Errorf("seed %d, %d proxies: a version was in force everywhere %v after the store was back, want %v", seed, n, f.now.Sub(back), contactBound)
			}
		}
	}
}
