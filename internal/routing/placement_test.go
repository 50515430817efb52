package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// newPlacementRouter returns a router with a route that has a target of 400 ms and a
// deadline of 1 s, two instances here and two in another availability zone.
func newPlacementRouter(t *testing.T, p Placement) *Router {
	t.Helper()
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1, Placement: p})
	r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", 4)})
	return r
}

// report lets an instance answer a request with a report.
func report(r *Router, now time.Time, instance string, costs CostReport) {
	c := &call{id: 1, match: &RouteMatch{}, current: r.instances[instance], sentAt: now.Add(-costs.ServiceTime)}
	c.match.Route.Name = "look"
	r.recordCosts(now, c, AttemptEnded{Outcome: outcome.Answered, Latency: costs.ServiceTime, Costs: costs})
}

func waits(ms int) CostReport {
	return CostReport{Known: true, Wait: time.Duration(ms) * time.Millisecond, ServiceTime: 50 * time.Millisecond, Slowness: 1, Stated: true}
}

// chosen returns the instances of 40 requests that arrive at once and are forgotten.
func chosen(r *Router, now time.Time) map[string]int {
	counts := make(map[string]int)
	for id := range uint64(40) {
		send := r.Step(now, Arrived{ID: id + 100, Organisation: "a.example", Method: "GET", Path: "/a/", Budget: time.Second})[0].(Send)
		counts[send.Instance]++
		r.Step(now, Abandoned{ID: id + 100})
	}
	return counts
}

const (
	local1, local2   = "desk-00", "desk-02"
	remote1, remote2 = "desk-01", "desk-03"
)

// The instance with the shorter wait gets the requests, until the report is so old that
// it says nothing; then it must count as average, not as idle.
func TestReportedWaitDecidesWhileItIsFresh(t *testing.T) {
	is := is.New(t)
	r := newPlacementRouter(t, PlaceByExpectedFinish)
	for range 50 {
		report(r, start, local2, waits(40))
	}
	report(r, start, local1, waits(150))
	is.Equal(chosen(r, start)[local1], 0)
	i, later := r.instances[local1], start.Add(time.Second)
	mean := r.pools["desk"].costs.meanWait
	aged := i.expectedWait(later, 1)
	is.True(aged > mean && aged < mean+40*time.Millisecond)
	report(r, start, local1, waits(0))
	is.True(i.expectedWait(start, 1) < time.Millisecond)
	is.True(i.expectedWait(start.Add(20*time.Second), 1) > mean*9/10)
}

// The work of a route is scaled with the slowness of the instance, which lasts, and with
// the present one that is reported, which fades.
func TestWorkIsScaledWithSlowness(t *testing.T) {
	is := is.New(t)
	r := newPlacementRouter(t, PlaceByExpectedFinish)
	slow := waits(0)
	for n := range 300 {
		slow.ServiceTime = []time.Duration{50, 100}[n%2] * time.Millisecond
		report(r, start.Add(time.Duration(n)*10*time.Millisecond), []string{local1, local2}[n%2], slow)
	}
	now := start.Add(3 * time.Second)
	ratio := func() float64 {
		return float64(r.instances[local2].estimate(now, "look").Work) / float64(r.instances[local1].estimate(now, "look").Work)
	}
	is.True(ratio() > 1.7 && ratio() < 2.3)
	report(r, now, local1, CostReport{Known: true, Slowness: 2.5, Stated: true})
	is.True(ratio() < 1)
	now = now.Add(5 * time.Second)
	is.True(ratio() > 1.5)
}

// An instance that cannot finish by the deadline is not asked while another can, and a
// remote one is asked if only that meets the target.
func TestTargetAndDeadlineLimitTheChoice(t *testing.T) {
	is := is.New(t)
	r := newPlacementRouter(t, PlaceByExpectedFinish)
	report(r, start, local1, waits(2000))
	report(r, start, local2, waits(600))
	report(r, start, remote1, waits(5000))
	report(r, start, remote2, waits(5000))
	is.Equal(chosen(r, start), map[string]int{local2: 40})
	report(r, start, remote1, waits(10))
	is.Equal(chosen(r, start), map[string]int{remote1: 40})
	report(r, start, local1, waits(200))
	is.Equal(chosen(r, start), map[string]int{local1: 40})
}

// Without fresh reports, or with a replaced process, nothing of them may decide.
func TestOldReportsDoNotDecide(t *testing.T) {
	is := is.New(t)
	for p, stated := range map[Placement]bool{PlaceByScore: true, PlaceByExpectedFinish: false, PlaceByStatedSlowness: true} {
		r := newPlacementRouter(t, p)
		pool := r.pools["desk"]
		is.True(!r.placesByFinish(start, pool))
		costs := waits(300)
		costs.Stated = stated
		report(r, start, local1, costs)
		is.Equal(r.placesByFinish(start, pool), p != PlaceByScore)
		is.True(!r.placesByFinish(start.Add(costReportTTL), pool))
		explained := r.Explain(start, "a.example", "GET", "/a/").Candidates[0]
		is.Equal(explained.Estimate != nil, p != PlaceByScore)
		costs.Stated = false
		report(r, start.Add(costReportTTL), local1, costs)
		is.Equal(r.placesByFinish(start.Add(costReportTTL), pool), p == PlaceByExpectedFinish)
		list := testInstances("desk", 4)
		list[0].Incarnation++
		r.Step(start, InstancesChanged{Instances: list})
		is.Equal(r.instances[local1].costs, costState{})
	}
}

// Reports that always say idle must lose their effect: waits that were not announced
// count.
func TestWrongReportsAreCorrected(t *testing.T) {
	is := is.New(t)
	r := newPlacementRouter(t, PlaceByExpectedFinish)
	for range 30 {
		id := uint64(7)
		send := r.Step(start, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/", Budget: time.Second})[0].(Send)
		latency := 60 * time.Millisecond
		if send.Instance == local1 {
			latency += 200 * time.Millisecond
		}
		r.Step(start, AttemptEnded{ID: id, Outcome: outcome.Answered, Status: 200, Latency: latency, Costs: waits(0)})
	}
	is.True(r.instances[local1].expectedWait(start, 1) > r.instances[local2].expectedWait(start, 1)+5*time.Millisecond)
	is.Equal(chosen(r, start)[local1], 0)
}
