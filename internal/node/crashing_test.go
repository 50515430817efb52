package node

import (
	"strings"
	"testing"
	"time"
)

const (
	// maxEndedInCalm is the number of backend servers that a crashing request may
	// end in an undisturbed fleet.
	maxEndedInCalm = 4
	// maxLateSends is the number of sends by undisturbed proxies later than
	// contactTime after the third crash.
	maxLateSends = 3
	// crashSeeds is the number of seeds of each scenario.
	crashSeeds = 6
)

// A request that ended three backend servers was sent on: each proxy knew only of the
// crashes of its own backend server.
func TestCrashingRequestIsNotSentOnInCalmFleet(t *testing.T) {
	t.Parallel()
	for _, n := range []int{6, 12, 75, 300} {
		f := newCrashFleet(uint64(n), n)
		f.start(20*time.Second, min(2, 150/n))
		f.run(25 * time.Second)
		f.report(t, n)
		if f.ended > maxEndedInCalm {
			t.Errorf("%d proxies: %d backend servers ended, want at most %d", n, f.ended, maxEndedInCalm)
		}
		if f.late > maxLateSends {
			t.Errorf("%d proxies: %d sends late, want at most %d", n, f.late, maxLateSends)
		}
	}
}

// Faults may hide a crash from some proxies or make them forget it. The bound on further
// sends holds beside each kind of fault and beside all of them.
func TestCrashingRequestIsNotSentOnBesideFaults(t *testing.T) {
	t.Parallel()
	for _, scenario := range scenariosOf(crashFaults) {
		t.Run(strings.Join(scenario, ", "), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(crashSeeds) {
				n := []int{6, 12, 20}[seed%3]
				f := newCrashFleet(100+seed, n)
				f.start(50*time.Second, 1)
				f.injectFaults(f.now.Add(45*time.Second), []time.Duration{2 * time.Second, 8 * time.Second}[seed%2], scenario...)
				f.run(55 * time.Second)
				f.report(t, n)
				if f.late > maxLateSends {
					t.Errorf("seed %d: %d sends late, want at most %d", seed, f.late, maxLateSends)
				}
			}
		})
	}
}

// A request that is refused is tried again from time to time, as its cause may be gone.
// The trials must be rare, and at one proxy at a time.
func TestTrialsOfCrashingRequestAreRare(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(5, 12)
	f.start(20*time.Minute, 0)
	f.run(20 * time.Minute)
	f.report(t, 12)
	if f.ended > maxEndedInCalm {
		t.Errorf("%d backend servers ended, want at most %d", f.ended, maxEndedInCalm)
	}
	f = newCrashFleet(6, 4)
	f.start(3*time.Hour, 0)
	f.run(3 * time.Hour)
	f.report(t, 4)
	if f.late > maxLateSends {
		t.Errorf("%d sends late in 3 hours, want at most %d", f.late, maxLateSends)
	}
}

// Innocent requests that are in flight during the crashes are not refused in the end.
func TestInnocentRequestsAreServedBesideACrashingOne(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(7, 12)
	f.start(15*time.Second, 12)
	f.run(20 * time.Second)
	f.report(t, 12)
	if f.ended > maxEndedInCalm {
		t.Errorf("%d backend servers ended, want at most %d", f.ended, maxEndedInCalm)
	}
	if f.quarantined*1000 > f.innocent {
		t.Errorf("%d of %d innocent requests refused as suspects, want at most one in a thousand", f.quarantined, f.innocent)
	}
}

// A restart of the whole fleet forgets the suspects. A request that comes so slowly that
// it ended the next two backend servers when all proxies were in touch again broke the
// bound after three such restarts.
func TestSlowCrashingRequestIsNotSentOnBesideRestartsOfTheFleet(t *testing.T) {
	t.Parallel()
	const pace, restarts = 4 * time.Second, 3
	for seed := range uint64(4) {
		f := newCrashFleet(300+seed, 12)
		f.sendCrashingEvery(pace, f.now.Add(70*time.Second))
		for i := range restarts {
			f.after(time.Duration(15+18*i)*time.Second, func() { crashFaults["restart of the fleet"](f, 0) })
		}
		f.run(75 * time.Second)
		f.report(t, 12)
		if f.late > maxLateSends {
			t.Errorf("seed %d: %d sends late, want at most %d", seed, f.late, maxLateSends)
		}
	}
}
