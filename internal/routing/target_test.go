package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

// prefixRoute returns a repeatable prefix route with a latency target.
func prefixRoute(name, path, group string) config.Route {
	return config.Route{
		Name: name, Path: path, Prefix: true, Group: group, Repeatable: true,
		Deadline: config.Duration(time.Second), Target: config.Duration(400 * time.Millisecond), MaxAttempts: 2,
	}
}

// publishedSnapshot returns a snapshot with the given routes of one
// organisation.
func publishedSnapshot(t *testing.T, version uint64, routes ...config.Route) *config.Snapshot {
	t.Helper()
	s, err := config.FromOrganisations(version, "test", []*config.Organisation{{
		Name:   "a.example",
		Routes: routes,
		Groups: map[string]config.Group{"desk": {Service: "desk"}, "hotel": {Service: "hotel"}},
		Limits: config.Limits{RequestsPerSecond: 1000, Concurrency: 1000},
	}}, config.CallerLimits{})
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

// Each group must have its share after any number of requests from 100 on, not
// only in the long run.
func TestTrafficSplitFollowsWeightsAtAnyTime(t *testing.T) {
	is := is.New(t)
	split := prefixRoute("split", "/a/", "desk")
	split.Parts = []config.WeightedGroup{{Group: "desk", Weight: 90}, {Group: "hotel", Weight: 10}}
	table := NewTable(publishedSnapshot(t, 1, split), nil)
	m, _, _ := table.Lookup("a.example", "GET", "/a/")
	w := newTrafficSplit(rand.New(rand.NewPCG(1, 1)))
	hotel := 0
	for n := 1; n <= 1000; n++ {
		if w.nextGroup(m).Service == "hotel" {
			hotel++
		}
		if n >= 100 {
			share := float64(hotel) / float64(n)
			is.True(share > 0.08 && share < 0.12)
		}
	}
}

// The retries of all proxies together must stay within the fleet's budget, with
// a part of it left for the downstream calls of retried requests.
func TestFleetRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	const proxies, perProxy = 12, 500
	budget := RetryBudget{Ratio: 0.2, Slack: 64, Window: 10 * time.Second}
	total := 0
	for range proxies {
		r := New(Config{Retries: budget})
		for range perProxy {
			r.countRequest(start, "desk")
		}
		for r.serviceBudget(start, "desk").allows(budget, budget.Slack/proxies) {
			b := r.serviceBudget(start, "desk")
			b.retries[b.index()]++
			total++
		}
		// Requests that have left the window allow no more retries. With 1000
		// proxies, this proxy's part of the slack is less than one retry.
		later := start.Add(budget.Window + time.Second)
		is.True(!r.serviceBudget(later, "desk").allows(budget, budget.Slack/1000))
	}
	limit := budget.Ratio*proxies*perProxy + budget.Slack
	is.True(float64(total) <= limit*ownRetryShare)
	is.True(float64(total) > limit*ownRetryShare*0.9)
}

// The instance list is outdated: every address belongs to another instance, as
// after a power loss that changes all identifiers. Each instance rejects the
// requests for its predecessor. A rejected request still counts as an arrival at
// the service, so the retries must stay within this proxy's part of the retry
// budget.
func TestRejectionsByOtherInstancesAreCharged(t *testing.T) {
	is := is.New(t)
	const requests, instances = 100, 40
	r := New(Config{
		AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1,
		Retries: RetryBudget{Ratio: 0.2, Slack: 64, Window: 10 * time.Second},
	})
	r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", instances)})
	now, sends, firstSends := start, 0, 0
	for id := range uint64(requests) {
		effect := r.Step(now, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/", Budget: time.Second})[0]
		for first := true; ; first = false {
			if _, ok := effect.(Send); !ok {
				break
			}
			if first {
				firstSends++
			}
			sends++
			effect = r.Step(now, AttemptEnded{ID: id, Outcome: outcome.NotRun, Reason: outcome.OtherInstance, Status: 421})[0]
		}
		is.Equal(effect.(Refuse).Refusal.Outcome, outcome.NotRun)
		now = now.Add(10 * time.Millisecond)
	}
	is.True(float64(sends-firstSends) <= ownRetryShare*(0.2*requests+64.0/instances))
	// An instance is tried again only when the list should be up to date.
	is.True(sends <= instances*(1+int(now.Sub(start)/replacedBackoff)))
}

// newLatencyTargetRouter returns a router with a route that has a latency target,
// two local instances and two remote ones.
func newLatencyTargetRouter(t *testing.T) *Router {
	t.Helper()
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", 4)})
	return r
}

func arrive(r *Router, id uint64) Effect {
	return r.Step(start, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/", Budget: time.Second})[0]
}

func busyRefusal(id uint64) AttemptEnded {
	return AttemptEnded{ID: id, Outcome: outcome.NotRun, Reason: outcome.InstanceBusy, RetryAfter: 300 * time.Millisecond}
}

// All instances are busy. The request is offered, that is sent with a wait limit,
// to the local instances and then to a limited number of remote ones. After their
// refusals it is sent without a limit to the local instance with the shortest
// wait, which queues it.
func TestRequestIsOfferedLocallyThenRemotelyThenQueuedLocally(t *testing.T) {
	is := is.New(t)
	r := newLatencyTargetRouter(t)
	send := arrive(r, 1).(Send)
	var zones []string
	for send.MaxWaitShare > 0 {
		zones = append(zones, r.instances[send.Instance].AvailabilityZone)
		is.True(len(zones) <= maxSends)
		send = r.Step(start, busyRefusal(1))[0].(Send)
	}
	is.Equal(zones, []string{testZone, testZone, "kilwa", "kilwa"})
	is.Equal(r.instances[send.Instance].AvailabilityZone, testZone)

	// The next request is queued at once, without offers that would be refused.
	next := arrive(r, 2).(Send)
	is.Equal(next.MaxWaitShare, 0.0)
	is.Equal(r.instances[next.Instance].AvailabilityZone, testZone)
}

// A request is not offered to other availability zones if the transfer of its
// response is expected to cost more than a response within the target is worth.
func TestLongResponsesStayInLocalZone(t *testing.T) {
	is := is.New(t)
	r := newLatencyTargetRouter(t)
	arrive(r, 1)
	r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.Answered, Status: 200, Bytes: 2 * breakEvenTransferBytes})
	send := arrive(r, 2).(Send)
	for send.MaxWaitShare > 0 {
		is.Equal(r.instances[send.Instance].AvailabilityZone, testZone)
		send = r.Step(start, busyRefusal(2))[0].(Send)
	}
	is.Equal(r.instances[send.Instance].AvailabilityZone, testZone)
}

// A refusal with InstanceLeaving, as from a proxy that restarts, does not count as
// an attempt. The instance is skipped, but only for unreachableBackoff.
func TestLeavingInstanceIsSkippedTemporarily(t *testing.T) {
	is := is.New(t)
	r := newLatencyTargetRouter(t)
	first := arrive(r, 1).(Send)
	second := r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.NotRun, Reason: outcome.InstanceLeaving})[0].(Send)
	is.True(second.Instance != first.Instance)
	is.Equal(r.calls[1].attempts, 1)
	is.Equal(r.instances[first.Instance].state(start, &config.Group{}), Down)
	is.Equal(r.instances[first.Instance].state(start.Add(unreachableBackoff), &config.Group{}), Usable)
}

// After a lost connection a repeatable request is retried once, within the
// MaxAttempts of its route; any other request is not retried.
func TestOnlyRepeatableRequestsAreSentAgainAfterUnknownOutcome(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
		route := prefixRoute("look", "/a/", "desk")
		route.Repeatable = repeatable
		r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, route)})
		r.Step(start, InstancesChanged{Instances: testInstances("desk", 4)})
		arrive(r, 1)
		effect := r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.Unknown, Reason: outcome.ConnectionLost})[0]
		if _, sent := effect.(Send); sent != repeatable {
			t.Fatalf("repeatable %v: unexpected effect %T", repeatable, effect)
		}
		if repeatable {
			effect = r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.Unknown, Reason: outcome.ConnectionLost})[0]
		}
		is.Equal(effect.(Refuse).Refusal.Outcome, outcome.Unknown)
	}
}

// With any number of availability zones and instances, a request ends after at
// most maxSends sends.
func TestSendsAreBoundedInAnyDeployment(t *testing.T) {
	for zones := 1; zones <= 5; zones++ {
		for n := 0; n <= 30; n += 3 {
			is := is.New(t)
			r := New(Config{AvailabilityZone: "z0", MaxAttempts: 3, Seed: uint64(n)})
			r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
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
				result := busyRefusal(1)
				if send.MaxWaitShare == 0 {
					result.Reason = outcome.Overload
				}
				effect = r.Step(start, result)[0]
			}
			is.Equal(effect.(Refuse).Refusal.Outcome, outcome.NotRun)
			is.Equal(sends == 0, n == 0)
		}
	}
}

// A download is offered to the instance on this machine first, so that its response uses
// one link and not two. Other requests are placed as before.
func TestDownloadIsOfferedToTheOwnMachineFirst(t *testing.T) {
	is := is.New(t)
	for _, download := range []bool{true, false} {
		r := New(Config{AvailabilityZone: testZone, SelfAddress: "desk-06", MaxAttempts: 3, Seed: 1})
		route := prefixRoute("look", "/a/", "desk")
		route.Download, route.Repeatable = download, true
		r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, route)})
		r.Step(start, InstancesChanged{Instances: testInstances("desk", 12)})
		others := 0
		for id := range uint64(20) {
			send := arrive(r, id).(Send)
			is.Equal(send.Download, download)
			if send.Instance != "desk-06" {
				others++
				continue
			}
			next := r.Step(start, AttemptEnded{ID: id, Outcome: outcome.NotRun, Reason: outcome.InstanceLeaving})[0].(Send)
			is.True(next.Instance != "desk-06")
			r.instances["desk-06"].downUntil = time.Time{}
		}
		is.Equal(others == 0, download)
	}
}
