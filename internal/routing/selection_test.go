package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"

	"heatherlift.example/heatherlift/internal/outcome"
)

// onlySend returns the Send effect if it is the only effect.
func onlySend(effects []Effect) (Send, bool) {
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
	for s, ok := onlySend(effects); ok; s, ok = onlySend(effects) {
		attempts++
		is.Equal(s.Attempt, attempts)
		effects = r.Step(start, ended(1, outcome.NotRun, outcome.ConnectFailed))
	}
	is.Equal(attempts, 3)
	is.Equal(effects[0].(Refuse).Refusal.Outcome, outcome.NotRun)
}

func TestRequestsLeaveZoneOnlyWhenSaturated(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4) // two instances in this zone with 10 slots each
	zones := make(map[string]int)
	for id := range uint64(40) {
		s, ok := onlySend(r.Step(start, read(id)))
		is.True(ok)
		zones[r.instances[s.Instance].AvailabilityZone]++
		if id == 15 {
			is.Equal(zones["kilwa"], 0) // the local zone has free slots
		}
	}
	is.True(zones["kilwa"] >= 15) // load beyond the local slots spills over
}

func TestFailingZoneSpillsOver(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4)
	for id := range uint64(40) {
		s, ok := onlySend(r.Step(start, write(id)))
		is.True(ok)
		if r.instances[s.Instance].AvailabilityZone == testZone {
			r.Step(start, ended(id, outcome.Unknown, outcome.ConnectionLost))
		} else {
			r.Step(start, answered(id, time.Millisecond))
		}
	}
	s, _ := onlySend(r.Step(start, write(100)))
	is.Equal(r.instances[s.Instance].AvailabilityZone, "kilwa")
}

func TestRetryAfterIsRespected(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(1)
	r.Step(start, write(1))
	r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.NotRun, Reason: outcome.BackendServerShed, RetryAfter: 2 * time.Second})
	refusal := r.Step(start.Add(time.Second), write(2))[0].(Refuse).Refusal
	is.Equal(refusal.Reason, outcome.Overload)
	is.True(refusal.RetryAfter >= time.Second && refusal.RetryAfter <= 2*time.Second)
	_, ok := onlySend(r.Step(start.Add(2*time.Second), write(3)))
	is.True(ok)
}

func TestNewInstanceGetsSlowStart(t *testing.T) {
	is := is.New(t)
	count := func(age time.Duration) int {
		r := newTestRouter(4)
		list := testInstances("desk", 6)
		r.Step(start, InstancesChanged{Instances: list})
		n := 0
		for id := range uint64(200) {
			s, _ := onlySend(r.Step(start.Add(age), read(id)))
			if s.Instance == "desk-04" {
				n++
			}
			r.Step(start.Add(age), Abandoned{ID: id})
		}
		return n
	}
	is.True(count(0) < 20)          // at most a tenth; three instances are local
	is.True(count(slowStart) >= 40) // at least a fifth
}

func TestSuspectInstanceIsLastResortForRepeatableRequests(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(0)
	list := testInstances("desk", 2)
	list[0].Suspect = true
	r.Step(start, InstancesChanged{Instances: list})
	for id := range uint64(20) {
		s, _ := onlySend(r.Step(start, read(id)))
		is.Equal(s.Instance, "desk-01")
	}
	list[1].Leaving = true
	r.Step(start, InstancesChanged{Instances: list})
	s, _ := onlySend(r.Step(start, read(30)))
	is.Equal(s.Instance, "desk-00")
	_, refused := r.Step(start, write(31))[0].(Refuse)
	is.True(refused)
}

// Random instances fail every attempt. At most a third of the instances may be
// ejected at the same time, also after the instance list has shrunk.
func TestEjectionsStayWithinLimit(t *testing.T) {
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
			s, ok := onlySend(r.Step(now, write(id)))
			if !ok {
				t.Fatalf("request %d was not sent", id)
			}
			if bad[indexOf(s.Instance, r)] {
				r.Step(now, ended(id, outcome.Unknown, outcome.ConnectionLost))
			} else {
				r.Step(now, answered(id, time.Millisecond))
			}
			if p := r.pools["desk"]; p.ejected(now) > n/3 {
				t.Fatalf("%d of %d instances ejected", p.ejected(now), n)
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
	bad := r.instances["desk-00"]
	for id := range uint64(60) {
		s, _ := onlySend(r.Step(start, write(id)))
		if s.Instance == bad.ID { // attempts at the others stay in flight
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
	is.Equal(bad.state(start.Add(baseEjectionTime), &r.table.organisations["acme"].lookup("POST", "/write").Group), Usable)
}

// An instance that reports almost no load must not score better than one that
// reports none, and an overstated load has a bounded effect.
func TestUnderreportedLoadDoesNotLowerScore(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2)
	reporting, silent := r.instances["desk-00"], r.instances["desk-01"]
	reporting.recordLoad(start, 0.01)
	is.True(reporting.score(start) >= silent.score(start))
	reporting.recordLoad(start, 1e9)
	is.True(reporting.score(start) <= (1+maxReportedLoad)*silent.score(start)) // the effect of an overstated load is bounded
}

func TestFastFailuresDoNotAttractRequests(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(3) // desk-00 and desk-02 are local
	counts := make(map[string]int)
	for id := range uint64(60) {
		now := start.Add(time.Duration(id) * 10 * time.Millisecond)
		s, _ := onlySend(r.Step(now, write(id)))
		counts[s.Instance]++
		if s.Instance == "desk-00" {
			r.Step(now, AttemptEnded{ID: id, Outcome: outcome.Answered, Status: 500, Latency: time.Microsecond})
		} else {
			r.Step(now, answered(id, 10*time.Millisecond))
		}
	}
	is.True(counts["desk-00"] <= 20) // no more than its share
	is.True(counts["desk-02"] >= 40) // the healthy local instance gets the rest
}

func TestNextAttemptLeavesAFailingZone(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(8)
	first, _ := onlySend(r.Step(start, write(1)))
	is.Equal(r.instances[first.Instance].AvailabilityZone, testZone)
	second, _ := onlySend(r.Step(start, ended(1, outcome.NotRun, outcome.ConnectFailed)))
	is.Equal(r.instances[second.Instance].AvailabilityZone, "kilwa")
}

// The instance itself divides its queue fairly among organisations, so a
// refusal because of a full queue says nothing about the requests of other
// organisations.
func TestOverloadOfOneOrganisationDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	r.Step(start, SnapshotEnforced{Snapshot: testSnapshot(1, testSlice("acme", "desk"), testSlice("quiet", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", 1)})
	r.Step(start, write(1))
	r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.NotRun, Reason: outcome.Overload, RetryAfter: time.Second})
	other := write(2)
	other.Organisation = "quiet"
	_, ok := onlySend(r.Step(start, other))
	is.True(ok)
}
