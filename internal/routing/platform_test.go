package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

func prefixRoute(name, path, group string) config.Route {
	return config.Route{
		Name: name, Path: path, Prefix: true, Group: group, Repeatable: true,
		Deadline: config.Duration(time.Second), Target: config.Duration(400 * time.Millisecond), MaxAttempts: 2,
	}
}

// publishedSnapshot returns a version with the routes of one host.
func publishedSnapshot(t *testing.T, version uint64, routes ...config.Route) *config.Snapshot {
	t.Helper()
	s, err := config.FromOrganisations(version, "test", []*config.Organisation{{
		Name:   "a.example",
		Routes: routes,
		Groups: map[string]config.Group{"desk": {Service: "desk"}, "hotel": {Service: "hotel"}},
		Limits: config.Limits{RequestsPerSecond: 1000, Concurrency: 1000},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	table := NewTable(publishedSnapshot(t, 1,
		prefixRoute("short", "/a/", "desk"), prefixRoute("long", "/a/b/", "hotel")), nil)
	for path, want := range map[string]string{
		"/a/": "short", "/a/x": "short", "/a/b": "short", "/a/b/": "long", "/a/b/c//d": "long", "/a": "", "/b/": "", "/": "",
	} {
		m, known, ok := table.Lookup("a.example", "POST", path)
		is.True(known)
		is.Equal(ok, want != "")
		if ok {
			is.Equal(m.Route.Name, want)
		}
	}
}

// Each part has its share after any number of requests, not only in the long run.
func TestPartsHaveTheirSharesAtEveryMoment(t *testing.T) {
	is := is.New(t)
	split := prefixRoute("split", "/a/", "desk")
	split.Parts = []config.Part{{Group: "desk", Weight: 90}, {Group: "hotel", Weight: 10}}
	table := NewTable(publishedSnapshot(t, 1, split), nil)
	m, _, _ := table.Lookup("a.example", "GET", "/a/")
	w := newWeights()
	hotel := 0
	for n := 1; n <= 1000; n++ {
		if w.group(m).Service == "hotel" {
			hotel++
		}
		if n >= 100 {
			share := float64(hotel) / float64(n)
			is.True(share > 0.08 && share < 0.12)
		}
	}
}

// The parts of all proxies together must stay within the fleet's budget, with
// half of it left for calls of repeated runs.
func TestRetriesOfTheFleetStayWithinItsBudget(t *testing.T) {
	is := is.New(t)
	const proxies, perProxy = 12, 500
	budget := RetryBudget{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	total := 0
	for range proxies {
		r := New(Config{Retries: budget})
		for range perProxy {
			r.countRequest(start, "desk")
		}
		for r.serviceBudget(start, "desk").allows(budget, proxies) {
			b := r.serviceBudget(start, "desk")
			b.retries[b.slot()]++
			total++
		}
		// A window later the old requests allow nothing more.
		later := start.Add(budget.Window + time.Second)
		is.True(!r.serviceBudget(later, "desk").allows(budget, 1000))
	}
	limit := budget.Ratio*proxies*perProxy + budget.Slack
	is.True(float64(total) <= limit*budgetShare)
	is.True(float64(total) > limit*budgetShare*0.9)
}

// Replays a loss of power after which every backend server runs under another
// identifier while the list still names the old ones: each rejects what it
// gets, and each rejected arrival counts for the service. The requests sent on
// stay within this proxy's part of the budget.
func TestRejectionsByOtherInstancesAreCharged(t *testing.T) {
	is := is.New(t)
	const requests, instances = 100, 40
	r := New(Config{
		AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1,
		Retries: RetryBudget{Ratio: 0.2, Slack: 64, Window: 10 * time.Second},
	})
	r.Step(start, Enforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", instances)})
	now, arrivals, sent := start, 0, 0
	for id := range uint64(requests) {
		effect := r.Step(now, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/", Budget: time.Second})[0]
		for first := true; ; first = false {
			if _, ok := effect.(Send); !ok {
				break
			}
			if first {
				sent++
			}
			arrivals++
			effect = r.Step(now, AttemptEnded{ID: id, Outcome: outcome.NotRun, Reason: outcome.OtherInstance, Status: 421})[0]
		}
		is.Equal(effect.(Refuse).Refusal.Outcome, outcome.NotRun)
		now = now.Add(10 * time.Millisecond)
	}
	is.True(float64(arrivals-sent) <= budgetShare*(0.2*requests+64.0/instances))
	// Each instance is asked again only when the list should tell better.
	is.True(arrivals <= instances*(1+int(now.Sub(start)/replacedTime)))
}

// placedRouter has two near instances and two far ones.
func placedRouter(t *testing.T) *Router {
	t.Helper()
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	r.Step(start, Enforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", 4)})
	return r
}

func arrive(r *Router, id uint64) Effect {
	return r.Step(start, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/", Budget: time.Second})[0]
}

func turnedAway(id uint64) AttemptEnded {
	return AttemptEnded{ID: id, Outcome: outcome.NotRun, Reason: outcome.Busy, RetryAfter: 300 * time.Millisecond}
}

// Replays load that fills one zone: near instances are asked first, then some
// far ones, and the near one with the shortest wait keeps the request.
func TestRequestIsOfferedNearThenFarThenKeptNear(t *testing.T) {
	is := is.New(t)
	r := placedRouter(t)
	send := arrive(r, 1).(Send)
	var zones []string
	for send.Patience > 0 {
		zones = append(zones, r.known[send.Instance].AvailabilityZone)
		is.True(len(zones) <= maxSends)
		send = r.Step(start, turnedAway(1))[0].(Send)
	}
	is.Equal(zones, []string{testZone, testZone, "kilwa", "kilwa"})
	is.Equal(r.known[send.Instance].AvailabilityZone, testZone)

	// The next request asks nobody in vain.
	next := arrive(r, 2).(Send)
	is.Equal(next.Patience, 0.0)
	is.Equal(r.known[next.Instance].AvailabilityZone, testZone)
}

// A long answer costs more on its way than it is worth.
func TestLongAnswersStayInTheirZone(t *testing.T) {
	is := is.New(t)
	r := placedRouter(t)
	arrive(r, 1)
	r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.Answered, Status: 200, Bytes: 2 * transferBytes})
	send := arrive(r, 2).(Send)
	for send.Patience > 0 {
		is.Equal(r.known[send.Instance].AvailabilityZone, testZone)
		send = r.Step(start, turnedAway(2))[0].(Send)
	}
	is.Equal(r.known[send.Instance].AvailabilityZone, testZone)
}

// Replays a proxy that restarts: its refusal costs no attempt, and it is left
// alone for a while, but not for long.
func TestStoppingInstanceIsLeftAloneForAWhile(t *testing.T) {
	is := is.New(t)
	r := placedRouter(t)
	first := arrive(r, 1).(Send)
	second := r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.NotRun, Reason: outcome.InstanceLeaving})[0].(Send)
	is.True(second.Instance != first.Instance)
	is.Equal(r.calls[1].attempts, 1)
	is.Equal(r.known[first.Instance].state(start, &config.Group{}), Down)
	is.Equal(r.known[first.Instance].state(start.Add(downTime), &config.Group{}), Usable)
}

// Replays lost answers: a request that may be repeated is sent once more, one
// that may not never is, and both within the route's attempts.
func TestOnlyRepeatableRequestsAreSentAgainAfterDoubt(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
		route := prefixRoute("look", "/a/", "desk")
		route.Repeatable = repeatable
		r.Step(start, Enforced{Snapshot: publishedSnapshot(t, 1, route)})
		r.Step(start, InstancesChanged{Instances: testInstances("desk", 4)})
		arrive(r, 1)
		effect := r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.Unknown, Reason: outcome.ConnectionLost})[0]
		if _, sent := effect.(Send); sent != repeatable {
			t.Fatalf("repeatable %v: %T", repeatable, effect)
		}
		if repeatable {
			effect = r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.Unknown, Reason: outcome.ConnectionLost})[0]
		}
		is.Equal(effect.(Refuse).Refusal.Outcome, outcome.Unknown)
	}
}

// Deployments of other sizes: whatever the number of zones and instances, each
// request ends, and never asks more than the bound.
func TestPlacementEndsInAnyDeployment(t *testing.T) {
	for zones := 1; zones <= 5; zones++ {
		for n := 0; n <= 30; n += 3 {
			is := is.New(t)
			r := New(Config{AvailabilityZone: "z0", MaxAttempts: 3, Seed: uint64(n)})
			r.Step(start, Enforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
			list := make([]Instance, n)
			for i := range list {
				id := fmt.Sprintf("i-%02d", i)
				list[i] = Instance{ID: id, Service: "desk", AvailabilityZone: fmt.Sprintf("z%d", i%zones), Address: id, Slots: 9}
			}
			r.Step(start, InstancesChanged{Instances: list})
			effect := arrive(r, 1)
			sends := 0
			for {
				send, ok := effect.(Send)
				if !ok {
					break
				}
				sends++
				is.True(sends <= maxSends)
				ended := turnedAway(1)
				if send.Patience == 0 {
					ended.Reason = outcome.Overload
				}
				effect = r.Step(start, ended)[0]
			}
			is.Equal(effect.(Refuse).Refusal.Outcome, outcome.NotRun)
			is.Equal(sends == 0, n == 0)
		}
	}
}
