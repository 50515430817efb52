package source

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newStarter returns a proxy that knows two seeds and nothing else.
func newStarter() *Follower {
	return NewFollower(FollowerConfig{AvailabilityZone: "tanga", BackendAddress: "i-00:80", Seeds: []string{"a:90", "b:90"}, Seed: 1})
}

// Replays a restart while the store is away: the proxy starts from what a seed
// knows, goes on asking the store, and then follows it from there.
func TestProxyStartsFromASeedWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	seed, _ := follow(2, 12)
	seed.Failed(followStart, false, "silent") // the store is away for it, too
	f := newStarter()
	_, call := f.Failed(followStart, false, "silent")
	is.Equal(call.Reader.PeerAddress, "a:90")
	is.True(call.AnyAge)
	request := RelayRequest{AnyAge: true, List: f.ListHash()}
	is.True(seed.HasNews(request)) // answered at once
	reply := seed.Answer(request)
	is.True(!reply.Stale)
	view, call := f.Seeded(followStart, "seed", reply, &Configuration{Version: 7})
	is.Equal(len(view.Instances), 12)
	is.Equal(view.Configuration.Version, uint64(7))
	is.True(!f.Reachable()) // others do not take its word
	is.Equal(call.Reader, nil)
	is.True(!call.List)
	is.Equal(call.After, uint64(5))

	// Entries that lapsed meanwhile are kept, as by a proxy that ran on.
	view, _ = f.Watched(followStart.Add(time.Second), Changes{Revision: 9, Instances: []Entry{removal("i-03", 9)}})
	is.True(f.Reachable())
	is.Equal(len(view.Instances), 12)
	is.Equal(len(f.Tick(followStart.Add(time.Second+returnGrace)).Instances), 11)
}

func TestSeedsAndStoreAreAskedByTurns(t *testing.T) {
	is := is.New(t)
	f := newStarter()
	now := followStart
	var asked []string
	for range 3 {
		_, call := f.Failed(now, false, "refused")
		asked = append(asked, call.Reader.PeerAddress)
		_, call = f.SeedFailed(now, call.Reader.ID, "knows nothing itself")
		is.True(call.List)
		is.True(call.At.After(now) || call.At.Equal(now))
		now = call.At
	}
	is.Equal(asked, []string{"a:90", "b:90", "a:90"})
}

// A proxy that knows nothing, or keeps entries that were removed, is no seed.
func TestSeedsInDoubtSaySo(t *testing.T) {
	is := is.New(t)
	request := RelayRequest{AnyAge: true}
	is.True(newStarter().Answer(request).Stale)
	seed, _ := follow(2, 12)
	seed.Failed(followStart, false, "refused")
	seed.Listed(followStart, Listing{Revision: 9, Instances: zoneList(12)[:11]})
	is.True(seed.Answer(request).Stale)
	seed.Tick(followStart.Add(returnGrace))
	is.True(!seed.Answer(request).Stale)
}

// A proxy whose history was discarded, and which then loses the store, knows
// something already: a seed must not hide what was removed meanwhile, nor take
// it back to an older list.
func TestSeedReplacesWhatIsHeldUnlessItIsBehind(t *testing.T) {
	is := is.New(t)
	seed, _ := follow(2, 12)
	f := newStarter()
	f.Listed(followStart, Listing{Revision: 4, Instances: zoneList(13)})
	f.Failed(followStart, true, "discarded")
	f.Failed(followStart, false, "silent")
	reply := seed.Answer(RelayRequest{AnyAge: true, List: f.ListHash()})
	view, _ := f.Seeded(followStart, "seed", reply, nil)
	is.Equal(len(view.Instances), 12)

	same, _ := follow(4, 12)
	is.Equal(len(seed.Answer(RelayRequest{AnyAge: true, After: 5, List: same.ListHash()}).Instances), 12)

	ahead := newStarter()
	ahead.Listed(followStart, Listing{Revision: 6, Instances: zoneList(13)})
	ahead.Failed(followStart, true, "discarded")
	ahead.Failed(followStart, false, "silent")
	view, call := ahead.Seeded(followStart, "seed", reply, nil)
	is.Equal(view.Instances, nil)
	is.True(call.List)
}
