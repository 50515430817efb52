package source

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSeededFollower returns a follower that has two seeds and no state.
func newSeededFollower() *Follower {
	return NewFollower(FollowerConfig{AvailabilityZone: "tanga", BackendAddress: "i-00:80", Seeds: []string{"a:90", "b:90"}, RandSeed: 1})
}

// A proxy that restarts during a store outage must not stay without
// configuration: it loads the state of a seed, keeps retrying the store, and
// then follows the store from that state.
func TestProxyStartsFromSeedDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	seed, _ := newZoneFollower(2, 12)
	seed.HandleFailure(testStart, false, "silent") // the store is unreachable for the seed, too
	f := newSeededFollower()
	_, call := f.HandleFailure(testStart, false, "silent")
	is.Equal(call.Reader.PeerAddress, "a:90")
	is.True(call.AllowStale)
	request := RelayRequest{AllowStale: true, List: f.ListHash()}
	is.True(seed.CanReplyNow(request)) // replied to immediately
	reply := seed.Reply(request)
	is.True(!reply.Stale)
	update, call := f.HandleSeedReply(testStart, "seed", reply, &Configuration{Version: 7})
	is.Equal(len(update.Instances), 12)
	is.Equal(update.Configuration.Version, uint64(7))
	is.True(!f.Reachable()) // its replies as a reader would be stale
	is.Equal(call.Reader, nil)
	is.True(!call.List)
	is.Equal(call.After, uint64(5))

	// Entries that expired during the outage are retained, as by a proxy that
	// did not restart.
	update, _ = f.HandleChanges(testStart.Add(time.Second), Changes{Revision: 9, Instances: []Entry{removal("i-03", 9)}})
	is.True(f.Reachable())
	is.Equal(len(update.Instances), 12)
	is.Equal(len(f.Tick(testStart.Add(time.Second+reregistrationGrace)).Instances), 11)
}

func TestSeedsAndStoreAreTriedAlternately(t *testing.T) {
	is := is.New(t)
	f := newSeededFollower()
	now := testStart
	var asked []string
	for range 3 {
		_, call := f.HandleFailure(now, false, "refused")
		asked = append(asked, call.Reader.PeerAddress)
		_, call = f.HandleSeedFailure(now, call.Reader.ID, "has no state")
		is.True(call.List)
		is.True(call.At.After(now) || call.At.Equal(now))
		now = call.At
	}
	is.Equal(asked, []string{"a:90", "b:90", "a:90"})
}

// A proxy that has no state, or retains removed entries, must not serve as a
// seed.
func TestSeedWithUncertainStateReportsStale(t *testing.T) {
	is := is.New(t)
	request := RelayRequest{AllowStale: true}
	is.True(newSeededFollower().Reply(request).Stale)
	seed, _ := newZoneFollower(2, 12)
	seed.HandleFailure(testStart, false, "refused")
	seed.HandleListing(testStart, Listing{Revision: 9, Instances: zoneList(12)[:11]})
	is.True(seed.Reply(request).Stale)
	seed.Tick(testStart.Add(reregistrationGrace))
	is.True(!seed.Reply(request).Stale)
}

// A proxy whose history was discarded and which then loses the store already
// holds a list. The list of a seed must replace it, since merging would keep
// instances that were removed meanwhile; an older list must not be taken.
func TestSeedListReplacesLocalListUnlessOlder(t *testing.T) {
	is := is.New(t)
	seed, _ := newZoneFollower(2, 12)
	f := newSeededFollower()
	f.HandleListing(testStart, Listing{Revision: 4, Instances: zoneList(13)})
	f.HandleFailure(testStart, true, "discarded")
	f.HandleFailure(testStart, false, "silent")
	reply := seed.Reply(RelayRequest{AllowStale: true, List: f.ListHash()})
	update, _ := f.HandleSeedReply(testStart, "seed", reply, nil)
	is.Equal(len(update.Instances), 12)

	same, _ := newZoneFollower(4, 12)
	is.Equal(len(seed.Reply(RelayRequest{AllowStale: true, After: 5, List: same.ListHash()}).Instances), 12)

	ahead := newSeededFollower()
	ahead.HandleListing(testStart, Listing{Revision: 6, Instances: zoneList(13)})
	ahead.HandleFailure(testStart, true, "discarded")
	ahead.HandleFailure(testStart, false, "silent")
	update, call := ahead.HandleSeedReply(testStart, "seed", reply, nil)
	is.Equal(update.Instances, nil)
	is.True(call.List)
}
