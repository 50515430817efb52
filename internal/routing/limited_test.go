package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

func limitedRefusal(id uint64, wait time.Duration) AttemptEnded {
	return AttemptEnded{ID: id, Outcome: outcome.NotRun, Reason: outcome.BackendServerLimited, RetryAfter: wait}
}

// refuseWhere answers the sends of a request: those to the given instances with a refusal
// for their rate limit. It returns the first other effect and the number of refusals.
func refuseWhere(r *Router, id uint64, effect Effect, limited func(i *instance) bool) (Effect, int) {
	for n := 0; ; n++ {
		send, ok := effect.(Send)
		if !ok || !limited(r.instances[send.Instance]) {
			return effect, n
		}
		effect = r.Step(start, limitedRefusal(id, 400*time.Millisecond))[0]
	}
}

// No request is refused for a rate limit while another instance of the service has room,
// also if that is in another availability zone and its responses are long.
func TestRequestGoesOnToAnInstanceWithoutRateLimit(t *testing.T) {
	is := is.New(t)
	r := newLatencyTargetRouter(t)
	arrive(r, 1)
	r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.Answered, Status: 200, Bytes: 2 * breakEvenTransferBytes})
	local := func(i *instance) bool { return i.AvailabilityZone == testZone }
	effect, refusals := refuseWhere(r, 2, arrive(r, 2), local)
	is.Equal(refusals, 2)
	is.Equal(r.instances[effect.(Send).Instance].AvailabilityZone, "kilwa")
	is.Equal(r.calls[2].attempts, 1) // no backend server has seen the others

	// The next requests do not ask the limited instances again at first.
	_, refusals = refuseWhere(r, 3, arrive(r, 3), local)
	is.Equal(refusals, 0)
	for _, i := range r.instances {
		is.Equal(i.state(start.Add(400*time.Millisecond), &config.Group{}), Usable)
	}
}

// If the limits of all instances leave no room, the request is refused after a few sends
// with the wait of the last one asked, which is the shortest.
func TestRequestIsRefusedWithTheShortestWaitOfAllLimits(t *testing.T) {
	is := is.New(t)
	r := newLatencyTargetRouter(t)
	waits := map[string]time.Duration{}
	for n, id := range []string{"desk-00", "desk-01", "desk-02", "desk-03"} {
		waits[id] = time.Duration(300+100*n) * time.Millisecond
	}
	refuse := func(id uint64) (outcome.Refusal, int) {
		effect := arrive(r, id)
		for sends := 0; ; sends++ {
			send, ok := effect.(Send)
			if !ok {
				return effect.(Refuse).Refusal, sends
			}
			effect = r.Step(start, limitedRefusal(id, waits[send.Instance]))[0]
		}
	}
	refusal, sends := refuse(1)
	is.Equal(refusal.Reason, outcome.BackendServerLimited)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.Equal(refusal.RetryAfter, waits["desk-00"])
	is.Equal(sends, 4+maxLimitedSends) // each once, then those with the shortest waits
	_, sends = refuse(2)
	is.Equal(sends, maxLimitedSends)
}

// A send carries the rate limit of the latest response for the case that the proxy beside
// the backend server was restarted.
func TestSendCarriesTheRateLimitOfTheLatestResponse(t *testing.T) {
	is := is.New(t)
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, prefixRoute("look", "/a/", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", 1)})
	is.Equal(arrive(r, 1).(Send).RateLimited, false)
	r.Step(start, Reported{ID: 1, RateLimit: 23.4, RateLimited: true})
	r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.Answered, Status: 200})
	send := arrive(r, 2).(Send)
	is.Equal(send.RateLimited, true)
	is.Equal(send.RateLimit, 23.4)
	r.Step(start, AttemptEnded{ID: 2, Outcome: outcome.Answered, Status: 200})
	is.Equal(arrive(r, 3).(Send).RateLimited, false)
}

// Many instances may name a limit before this proxy knows of one. The one that has room is
// found, for routes with and without a target.
func TestOneInstanceWithRoomIsFoundAmongManyLimitedOnes(t *testing.T) {
	for _, target := range []config.Duration{0, config.Duration(400 * time.Millisecond)} {
		is := is.New(t)
		route := prefixRoute("look", "/a/", "desk")
		route.Target = target
		r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
		r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, route)})
		r.Step(start, InstancesChanged{Instances: testInstances("desk", 14)})
		served := 0
		for id := uint64(1); id <= 5; id++ {
			effect, _ := refuseWhere(r, id, arrive(r, id), func(i *instance) bool { return i.ID != "desk-07" })
			if send, ok := effect.(Send); ok {
				is.Equal(send.Instance, "desk-07")
				r.Step(start, AttemptEnded{ID: id, Outcome: outcome.Answered, Status: 200})
				served++
			}
		}
		is.True(served >= 4)
	}
}

// An instance whose limit may have room again is asked before a request is refused, also
// for a route without a target.
func TestLimitedInstanceIsTheLastResort(t *testing.T) {
	is := is.New(t)
	route := prefixRoute("look", "/a/", "desk")
	route.Target = 0
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	r.Step(start, SnapshotEnforced{Snapshot: publishedSnapshot(t, 1, route)})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", 2)})
	all := func(*instance) bool { return true }
	effect, refusals := refuseWhere(r, 1, arrive(r, 1), all)
	is.Equal(refusals, 2+maxLimitedSends)
	is.Equal(effect.(Refuse).Refusal.Reason, outcome.BackendServerLimited)
	_, sent := arrive(r, 2).(Send)
	is.True(sent)
}
