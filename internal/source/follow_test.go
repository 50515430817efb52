package source

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testStart = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func entry(id string, revision uint64, state InstanceState) Entry {
	return Entry{ID: id, Revision: revision, Instance: &Instance{ID: id, Service: "desk", State: state}}
}

func removal(id string, revision uint64) Entry { return Entry{ID: id, Revision: revision} }

func instanceIDs(list []Instance) []string {
	out := []string{}
	for _, i := range list {
		out = append(out, i.ID)
	}
	return out
}

// newTestFollower returns a follower that has listed the instances a and b.
func newTestFollower(t *testing.T) *Follower {
	t.Helper()
	f := NewFollower(FollowerConfig{RandSeed: 1})
	update, call := f.HandleListing(testStart, Listing{Revision: 10, Instances: []Entry{
		entry("a", 8, InstanceLive), entry("b", 9, InstanceLive),
	}})
	is := is.New(t)
	is.Equal(instanceIDs(update.Instances), []string{"a", "b"})
	is.Equal(call.After, uint64(10))
	is.True(!call.List)
	return f
}

// A watch may get no response if the store discards its history or the
// connection stalls. It must end before the platform's time bounds apply again.
func TestWatchEndsBeforeBoundsApplyAgain(t *testing.T) {
	is := is.New(t)
	for limit, want := range map[time.Duration]time.Duration{0: watchWait, 3 * time.Second: watchWait, 4 * time.Second: watchWait, 2 * time.Second: watchWait * 2 / 3, time.Millisecond: watchWait / 3} {
		f := newTestFollower(t)
		f.cfg.ResyncLimit = limit
		_, call := f.HandleChanges(testStart, Changes{Revision: 11})
		is.True(call.Wait.Round(time.Millisecond) == want.Round(time.Millisecond))
		is.True(call.Wait < max(cmp.Or(limit, defaultResyncLimit), minResyncLimit))
	}
}

func TestRemovalAppliesImmediatelyWhileStoreIsReachable(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	update, _ := f.HandleChanges(testStart, Changes{Revision: 12, Instances: []Entry{removal("a", 12)}})
	is.Equal(instanceIDs(update.Instances), []string{"b"})
}

func TestEntriesExpiredDuringOutageAreRetained(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	f.HandleFailure(testStart, false, "refused")
	recovered := testStart.Add(5 * time.Second)
	update, _ := f.HandleListing(recovered, Listing{Revision: 20, Instances: []Entry{entry("b", 9, InstanceLive)}})
	is.Equal(instanceIDs(update.Instances), []string{"a", "b"})
	is.Equal(f.Tick(recovered.Add(reregistrationGrace-time.Millisecond)).Instances, nil)
	is.Equal(instanceIDs(f.Tick(recovered.Add(reregistrationGrace)).Instances), []string{"b"})
}

func TestReregisteredEntryIsKept(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	f.HandleFailure(testStart, false, "refused")
	recovered := testStart.Add(5 * time.Second)
	f.HandleListing(recovered, Listing{Revision: 20})
	f.HandleChanges(recovered.Add(time.Second), Changes{Revision: 21, Instances: []Entry{entry("a", 21, InstanceLive)}})
	is.Equal(instanceIDs(f.Tick(recovered.Add(reregistrationGrace)).Instances), []string{"a"})
}

func TestLeavingInstanceIsNotRetained(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	f.HandleChanges(testStart, Changes{Revision: 12, Instances: []Entry{entry("a", 12, InstanceLeaving)}})
	f.HandleFailure(testStart, false, "refused")
	update, _ := f.HandleListing(testStart.Add(time.Second), Listing{Revision: 20, Instances: []Entry{entry("b", 9, InstanceLive)}})
	is.Equal(instanceIDs(update.Instances), []string{"b"})
}

func TestOlderEventIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	f.HandleChanges(testStart, Changes{Revision: 12, Instances: []Entry{entry("a", 12, InstanceLeaving)}})
	update, _ := f.HandleChanges(testStart, Changes{Revision: 12, Instances: []Entry{entry("a", 8, InstanceLive)}})
	i := slices.IndexFunc(update.Instances, func(i Instance) bool { return i.ID == "a" })
	is.Equal(update.Instances[i].State, InstanceLeaving)
}

func TestCompactionTriggersImmediateList(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	_, call := f.HandleFailure(testStart, true, "")
	is.True(call.List)
	is.Equal(call.At, testStart)
	update, _ := f.HandleListing(testStart, Listing{Revision: 30, Instances: []Entry{entry("b", 9, InstanceLive)}})
	is.Equal(instanceIDs(update.Instances), []string{"b"}) // no outage, so the entry is not retained
}

func TestOlderVersionIsRejected(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	update, _ := f.HandleChanges(testStart, Changes{Revision: 11, Configuration: &Configuration{Version: 7}})
	is.Equal(update.Configuration.Version, uint64(7))
	update, _ = f.HandleListing(testStart, Listing{Revision: 12, Configuration: &Configuration{Version: 6}})
	is.Equal(update.Configuration, nil)
}

func TestBackoffIsCapped(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	now := testStart
	for range 20 {
		_, call := f.HandleFailure(now, false, "refused")
		is.True(call.At.After(now))
		is.True(call.At.Sub(now) <= retryMax)
		is.Equal(call.Wait, time.Duration(0))
		now = call.At
	}
}

func TestEntryWithoutInstanceIsRemoved(t *testing.T) {
	is := is.New(t)
	f := newTestFollower(t)
	update, _ := f.HandleChanges(testStart, Changes{Revision: 12, Instances: []Entry{removal("a", 12), removal("x", 12)}})
	is.Equal(instanceIDs(update.Instances), []string{"b"})
}
