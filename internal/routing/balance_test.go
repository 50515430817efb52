package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"

	"heatherlift.example/heatherlift/internal/outcome"
)

func sent(effects []Effect) (Send, bool) {
	if len(effects) != 1 {
		return Send{}, false
	}
	s, ok := effects[0].(Send)
	return s, ok
}

func TestAttemptsAreBounded(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(6)
	effects := r.Step(start, write(1))
	attempts := 0
	for s, ok := sent(effects); ok; s, ok = sent(effects) {
		attempts++
		is.Equal(s.Attempt, attempts)
		effects = r.Step(start, ended(1, outcome.NotRun, outcome.ConnectFailed))
	}
	is.Equal(attempts, 3)
	is.Equal(effects[0].(Refuse).Refusal.Outcome, outcome.NotRun)
}

func TestZoneIsLeftOnlyUnderPressure(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4) // two instances in this zone with 10 slots each
	zones := make(map[string]int)
	for id := range uint64(40) {
		s, ok := sent(r.Step(start, read(id)))
		is.True(ok)
		zones[r.known[s.Instance].AvailabilityZone]++
		if id == 15 {
			is.Equal(zones["kilwa"], 0) // slots are free in this zone
		}
	}
	is.True(zones["kilwa"] >= 15) // load beyond the slots of this zone spills over
}

func TestFailingZoneSpillsOver(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4)
	for id := range uint64(40) {
		s, ok := sent(r.Step(start, write(id)))
		is.True(ok)
		if r.known[s.Instance].AvailabilityZone == testZone {
			r.Step(start, ended(id, outcome.Unknown, outcome.ConnectionLost))
		} else {
			r.Step(start, answered(id, time.Millisecond))
		}
	}
	s, _ := sent(r.Step(start, write(100)))
	is.Equal(r.known[s.Instance].AvailabilityZone, "kilwa")
}

func TestRetryAfterIsRespected(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(1)
	r.Step(start, write(1))
	r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.NotRun, Reason: outcome.Shed, RetryAfter: 2 * time.Second})
	refusal := r.Step(start.Add(time.Second), write(2))[0].(Refuse).Refusal
	is.Equal(refusal.Reason, outcome.Overload)
	is.True(refusal.RetryAfter >= time.Second && refusal.RetryAfter <= 2*time.Second)
	_, ok := sent(r.Step(start.Add(2*time.Second), write(3)))
	is.True(ok)
}

func TestNewInstanceStartsSlowly(t *testing.T) {
	is := is.New(t)
	count := func(age time.Duration) int {
		r := newTestRouter(4)
		list := testInstances("desk", 6)
		r.Step(start, InstancesChanged{Instances: list})
		n := 0
		for id := range uint64(200) {
			s, _ := sent(r.Step(start.Add(age), read(id)))
			if s.Instance == "desk-04" {
				n++
			}
			r.Step(start.Add(age), Abandoned{ID: id})
		}
		return n
	}
	is.True(count(0) < 20)          // a tenth at most, of three in the zone
	is.True(count(slowStart) >= 40) // a fifth at least
}

func TestSuspectIsTheLastResortOfRepeatableRequests(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(0)
	list := testInstances("desk", 2)
	list[0].Suspect = true
	r.Step(start, InstancesChanged{Instances: list})
	for id := range uint64(20) {
		s, _ := sent(r.Step(start, read(id)))
		is.Equal(s.Instance, "desk-01")
	}
	list[1].Leaving = true
	r.Step(start, InstancesChanged{Instances: list})
	s, _ := sent(r.Step(start, read(30)))
	is.Equal(s.Instance, "desk-00")
	_, refused := r.Step(start, write(31))[0].(Refuse)
	is.True(refused)
}

// TestEjectionKeepsTheFloor fails attempts at random, by instance.
func TestEjectionKeepsTheFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		bad := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "bad")
		r := newTestRouter(n)
		now := start
		for id := range uint64(400) {
			now = now.Add(5 * time.Millisecond)
			if id == 300 {
				n = rapid.IntRange(1, n).Draw(t, "left")
				r.Step(now, InstancesChanged{Instances: testInstances("desk", n)})
			}
			s, ok := sent(r.Step(now, write(id)))
			if !ok {
				t.Fatalf("request %d was not sent", id)
			}
			if bad[indexOf(s.Instance, r)] {
				r.Step(now, ended(id, outcome.Unknown, outcome.ConnectionLost))
			} else {
				r.Step(now, answered(id, time.Millisecond))
			}
			if p := r.pools["desk"]; p.ejected(now) > n/3 {
				t.Fatalf("%d of %d ejected", p.ejected(now), n)
			}
		}
	})
}

func indexOf(id string, r *Router) int {
	for n, i := range r.pools["desk"].instances {
		if i.ID == id {
			return n
		}
	}
	return -1
}

func TestFailingInstanceIsEjectedAndReturns(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(3)
	bad := r.known["desk-00"]
	for id := range uint64(60) {
		s, _ := sent(r.Step(start, write(id)))
		if s.Instance == bad.ID { // the others stay busy
			r.Step(start, AttemptEnded{ID: id, Outcome: outcome.Answered, Status: 500, Latency: time.Microsecond})
		}
	}
	is.Equal(r.Stats().Ejections, uint64(1))
	var found bool
	for _, c := range r.Explain(start, "acme", "POST", "/write").Candidates {
		if c.ID == bad.ID {
			found = true
			is.Equal(c.State, Ejected)
			is.True(c.Until.After(start))
		}
	}
	is.True(found)
	is.Equal(bad.state(start.Add(ejectionBase), &r.table.organisations["acme"].lookup("POST", "/write").Group), Usable)
}

// TestUnderstatedLoadGainsNothing compares a report of almost no load with
// silence.
func TestUnderstatedLoadGainsNothing(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	liar, silent := r.known["desk-00"], r.known["desk-01"]
	liar.report(start, 0.01)
	is.True(liar.score(start) >= silent.score(start))
	liar.report(start, 1e9)
	is.True(liar.score(start) <= (1+maxReportedLoad)*silent.score(start)) // overstating is bounded
}

func TestFastFailuresAttractNothing(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(3) // desk-00 and desk-02 are in this zone
	counts := make(map[string]int)
	for id := range uint64(60) {
		now := start.Add(time.Duration(id) * 10 * time.Millisecond)
		s, _ := sent(r.Step(now, write(id)))
		counts[s.Instance]++
		if s.Instance == "desk-00" {
			r.Step(now, AttemptEnded{ID: id, Outcome: outcome.Answered, Status: 500, Latency: time.Microsecond})
		} else {
			r.Step(now, answered(id, 10*time.Millisecond))
		}
	}
	is.True(counts["desk-00"] <= 20) // less than its share
	is.True(counts["desk-02"] >= 40) // the healthy one in the zone has the rest
}

func TestNextAttemptLeavesAFailingZone(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(8)
	first, _ := sent(r.Step(start, write(1)))
	is.Equal(r.known[first.Instance].AvailabilityZone, testZone)
	second, _ := sent(r.Step(start, ended(1, outcome.NotRun, outcome.ConnectFailed)))
	is.Equal(r.known[second.Instance].AvailabilityZone, "kilwa")
}

// A full queue is shared fairly among organisations by the instance itself, so
// a refusal by it says nothing about the requests of others.
func TestOverloadOfOneOrganisationHoldsNobody(t *testing.T) {
	is := is.New(t)
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	r.Step(start, Enforced{Snapshot: testSnapshot(1, testSlice("acme", "desk"), testSlice("quiet", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", 1)})
	r.Step(start, write(1))
	r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.NotRun, Reason: outcome.Overload, RetryAfter: time.Second})
	other := write(2)
	other.Organisation = "quiet"
	_, ok := sent(r.Step(start, other))
	is.True(ok)
}
