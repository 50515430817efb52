package node

import (
	"testing"
	"time"
)

// versionBound is the time after its acknowledgement by which a version must be in force.
const versionBound = 2 * time.Second

// silence is what becomes of the two readers of a zone: when each of them loses the store
// or all messages, relative to the acknowledgement of a version. A value of noFault means
// that it does not.
type silence struct{ store, all [2]time.Duration }

const noFault = time.Hour

// late is the time from the acknowledgement until a version is in force at the last of
// the proxies of a zone whose own messages were not lost.
type late struct {
	by time.Duration
	of silence
}

// readersOf returns the proxies of a zone that follow the store directly, the one with the
// lower index first.
func (f *storeFleet) readersOf(zone int) (list []int) {
	for i := zone; i < len(f.nodes); i += fleetZones {
		if f.now.Sub(f.lastCall[i]) < 1500*time.Millisecond {
			list = append(list, i)
		}
	}
	return list
}

// delays publishes a version beside one silence in each zone, and returns how late it was
// there. The fleet is as before afterwards.
func (f *storeFleet) delays(t *testing.T, silences []silence) []late {
	t.Helper()
	const before = 4 * time.Second
	ack, version := f.now.Add(before), f.content.version+1
	inForce := make(map[int]time.Time)
	f.onEffects = func(i int, _ Effects) {
		if _, ok := inForce[i]; !ok && f.nodes[i].Head().Version >= version {
			inForce[i] = f.now
		}
	}
	at := func(d time.Duration, set map[int]bool, i int) {
		if d < noFault {
			f.after(before+d, func() { set[i] = true })
		}
	}
	faulty := make(map[int]bool)
	for zone, s := range silences {
		readers := f.readersOf(zone)
		if len(readers) != 2 {
			t.Fatalf("zone %d has the readers %v, want two", zone, readers)
		}
		for k, i := range readers {
			faulty[i] = true
			at(s.store[k], f.storeSilent, i)
			at(s.all[k], f.silent, i)
		}
	}
	f.after(before, func() { f.publish(version) })
	f.run(before + 4*time.Second)
	clear(f.silent)
	clear(f.storeSilent)
	// The fleet follows its readers again: those that were turned away call the store after
	// 3 s, and others ask them again after 3 s more.
	f.run(9*time.Second + f.jitter(time.Second))
	list := make([]late, len(silences))
	for i := range f.nodes {
		zone := i % fleetZones
		if zone < len(list) && !faulty[i] {
			list[zone] = late{by: max(list[zone].by, inForce[i].Sub(ack)), of: silences[zone]}
		}
	}
	return list
}

// sweepSilences publishes versions beside silences, one of them in each zone at a time, and
// returns the longest delay.
func sweepSilences(t *testing.T, f *storeFleet, silences []silence) (worst late) {
	t.Helper()
	for len(silences) > 0 {
		n := min(len(silences), fleetZones)
		for _, l := range f.delays(t, silences[:n]) {
			if l.by > worst.by {
				worst = l
			}
		}
		silences = silences[n:]
	}
	return worst
}

// Two readers of a zone that fell silent one after the other delayed a version by up to
// 3.2 s: each cost 1.5 s, and the second one, without the store, vouched for an old version.
func TestVersionIsInForceInTimeBesideTwoSilentReaders(t *testing.T) {
	t.Parallel()
	const step, span = 300 * time.Millisecond, 2 * time.Second
	both := [2]time.Duration{noFault, noFault}
	kinds := map[string]func(first, second time.Duration) silence{
		"both": func(a, b time.Duration) silence {
			return silence{store: both, all: [2]time.Duration{a, b}}
		},
		"one, and the store to the other": func(a, b time.Duration) silence {
			return silence{store: [2]time.Duration{noFault, b}, all: [2]time.Duration{a, noFault}}
		},
		"the store to both": func(a, b time.Duration) silence {
			return silence{store: [2]time.Duration{a, b}, all: both}
		},
		"both, one of them without the store before": func(a, b time.Duration) silence {
			return silence{store: [2]time.Duration{noFault, 0}, all: [2]time.Duration{a, b}}
		},
	}
	for kind, silenceOf := range kinds {
		t.Run(kind, func(t *testing.T) {
			f := newStoreFleet(11, 28)
			var silences []silence
			for a := -span; a < span; a += step {
				for b := -span; b < span; b += step {
					s := silenceOf(a+f.jitter(step), b+f.jitter(step))
					swapped := silence{store: [2]time.Duration{s.store[1], s.store[0]}, all: [2]time.Duration{s.all[1], s.all[0]}}
					silences = append(silences, s, swapped)
				}
			}
			worst := sweepSilences(t, f, silences)
			t.Logf("%d silences, longest delay %v with %v", len(silences), worst.by, worst.of)
			if worst.by > versionBound {
				t.Errorf("a version was in force %v after its acknowledgement, want %v", worst.by, versionBound)
			}
		})
	}
}
