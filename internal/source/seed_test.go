package source

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSeededFollower returns a follower that has two seeds and no state.
func newSeededFollower() *Follower {
	return NewFollower(FollowerConfig{AvailabilityZone: "tanga", BackendAddress: "i-00:80", Seeds: []string{"a:90", "b:90"}, Seed: 1})
}

// A proxy that restarts during a store outage must not stay without
// configuration: it loads the state of a seed, keeps retrying the store, and
// then follows the store from that state.
func TestProxyStartsFromASeedWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	seed, _ := newZoneFollower(2, 12)
	seed.Failed(testStart, false, "silent") // the store is unreachable for the seed, too
	f := newSeededFollower()
	_, call := f.Failed(testStart, false, "silent")
	is.Equal(call.Reader.PeerAddress, "a:90")
	is.True(call.AnyAge)
	request := RelayRequest{AnyAge: true, List: f.ListHash()}
	is.True(seed.HasNews(request)) // replied to immediately
	reply := seed.Answer(request)
	is.True(!reply.Stale)
	view, call := f.Seeded(testStart, "seed", reply, &Configuration{Version: 7})
	is.Equal(len(view.Instances), 12)
	is.Equal(view.Configuration.Version, uint64(7))
	is.True(!f.Reachable()) // its replies as a reader would be stale
	is.Equal(call.Reader, nil)
	is.True(!call.List)
	is.Equal(call.After, uint64(5))

	// Entries that expired during the outage are retained, as by a proxy that
	// did not restart.
	view, _ = f.Watched(testStart.Add(time.Second), Changes{Revision: 9, Instances: []Entry{removal("i-03", 9)}})
	is.True(f.Reachable())
	is.Equal(len(view.Instances), 12)
	is.Equal(len(f.Tick(testStart.Add(time.Second+reregistrationGrace)).Instances), 11)
}

func TestSeedsAndStoreAreTriedAlternately(t *testing.T) {
	is := is.New(t)
	f := newSeededFollower()
	now := testStart
	var asked []string
	for range 3 {
		_, call := f.Failed(now, false, "refused")
		asked = append(asked, call.Reader.PeerAddress)
		_, call = f.SeedFailed(now, call.Reader.ID, "has no state")
		is.True(call.List)
		is.True(call.At.After(now) || call.At.Equal(now))
		now = call.At
	}
	is.Equal(asked, []string{"a:90", "b:90", "a:90"})
}

// A proxy that has no state, or retains removed entries, must not serve as a
// seed.
func TestSeedsInDoubtSaySo(t *testing.T) {
	is := is.New(t)
	request := RelayRequest{AnyAge: true}
	is.True(newSeededFollower().Answer(request).Stale)
	seed, _ := newZoneFollower(2, 12)
	seed.Failed(testStart, false, "refused")
	seed.Listed(testStart, Listing{Revision: 9, Instances: zoneList(12)[:11]})
	is.True(seed.Answer(request).Stale)
	seed.Tick(testStart.Add(reregistrationGrace))
	is.True(!seed.Answer(request).Stale)
}

// A proxy whose history was discarded and which then loses the store already
// holds a list. The list of a seed must replace it, since merging would keep
// instances that were removed meanwhile; an older list must not be taken.
func TestSeedReplacesWhatIsHeldUnlessItIsBehind(t *testing.T) {
	is := is.New(t)
	seed, _ := newZoneFollower(2, 12)
	f := newSeededFollower()
	f.Listed(testStart, Listing{Revision: 4, Instances: zoneList(13)})
	f.Failed(testStart, true, "discarded")
	f.Failed(testStart, false, "silent")
	reply := seed.Answer(RelayRequest{AnyAge: true, List: f.ListHash()})
	view, _ := f.Seeded(testStart, "seed", reply, nil)
	is.Equal(len(view.Instances), 12)

	same, _ := newZoneFollower(4, 12)
	is.Equal(len(seed.Answer(RelayRequest{AnyAge: true, After: 5, List: same.ListHash()}).Instances), 12)

	ahead := newSeededFollower()
	ahead.Listed(testStart, Listing{Revision: 6, Instances: zoneList(13)})
	ahead.Failed(testStart, true, "discarded")
	ahead.Failed(testStart, false, "silent")
	view, call := ahead.Seeded(testStart, "seed", reply, nil)
	is.Equal(view.Instances, nil)
	is.True(call.List)
}
