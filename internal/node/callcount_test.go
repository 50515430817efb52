package node

import (
	"math/rand/v2"
	"testing"
	"time"
)

// callsDuring returns the calls of the store that the fleet makes in the given time.
func (f *storeFleet) callsDuring(d time.Duration) int {
	before := len(f.calls)
	f.run(d)
	return len(f.calls) - before
}

// Versions that come in quick succession cost a call of each reader for each of them. Each
// reader had read every version twice: once in a watch, and then as the newest one.
func TestVersionsInQuickSuccessionAreReadOnce(t *testing.T) {
	t.Parallel()
	const versions, gap = 40, 200 * time.Millisecond
	for _, n := range []int{77, 295} {
		f := newStoreFleet(5, n)
		f.run(5 * time.Second)
		rest := f.callsDuring(versions * gap)
		for k := range versions {
			f.after(time.Duration(k)*gap, func() { f.publish(f.content.version + 1) })
		}
		got := f.callsDuring(versions * gap)
		most := rest + versions*2*fleetZones
		t.Logf("%d proxies: %d calls, %d at rest", n, got, rest)
		if got > most {
			t.Errorf("%d proxies: %d calls of the store for %d versions, want %d at most", n, got, versions, most)
		}
		f.run(versionBound)
		if d := f.difference(); d != "" {
			t.Error(d)
		}
	}
}

// A third of the machines, readers among them, lose the store. The others of their zones ask
// the next proxies there. Each of them had called the store itself, four times as often as
// all together at rest.
func TestOthersTakeThePlaceOfReadersThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	for _, n := range []int{77, 295} {
		f := newStoreFleet(5, n)
		f.run(5 * time.Second)
		rest := f.callsDuring(6 * time.Second)
		rng := rand.New(rand.NewPCG(3, 3))
		for _, i := range rng.Perm(n)[:n*35/100] {
			f.cutOff[i] = true
		}
		got := f.callsDuring(6 * time.Second)
		t.Logf("%d proxies: %d calls, %d at rest", n, got, rest)
		if got > 2*rest {
			t.Errorf("%d proxies: %d calls of the store while a third of the machines do not reach it, %d at rest", n, got, rest)
		}
		f.publish(f.content.version + 1)
		f.run(versionBound)
		if d := f.difference(); d != "" {
			t.Error(d)
		}
	}
}
