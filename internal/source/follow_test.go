package source

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var followStart = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

func entry(id string, revision uint64, state InstanceState) Entry {
	return Entry{ID: id, Revision: revision, Instance: &Instance{ID: id, Service: "desk", State: state}}
}

func removal(id string, revision uint64) Entry { return Entry{ID: id, Revision: revision} }

func ids(list []Instance) []string {
	out := []string{}
	for _, i := range list {
		out = append(out, i.ID)
	}
	return out
}

// followed returns a follower that knows the instances a and b.
func followed(t *testing.T) *Follower {
	t.Helper()
	f := NewFollower(FollowerConfig{Seed: 1})
	view, call := f.Listed(followStart, Listing{Revision: 10, Instances: []Entry{
		entry("a", 8, InstanceLive), entry("b", 9, InstanceLive),
	}})
	is := is.New(t)
	is.Equal(ids(view.Instances), []string{"a", "b"})
	is.Equal(call.After, uint64(10))
	is.True(!call.List)
	return f
}

// A store that drops its history, or a silent connection, may leave a watch
// without an answer. The bounds hold again 3 s later.
func TestWatchEndsBeforeTheBoundsHoldAgain(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	_, call := f.Watched(followStart, Changes{Revision: 11})
	is.True(call.Wait > 0)
	is.True(call.Wait < 3*time.Second)
}

func TestRemovalBindsAtOnceWhileTheStoreIsThere(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	view, _ := f.Watched(followStart, Changes{Revision: 12, Instances: []Entry{removal("a", 12)}})
	is.Equal(ids(view.Instances), []string{"b"})
}

func TestEntriesThatLapsedWithTheStoreAwayAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	f.Failed(followStart, false, "refused")
	back := followStart.Add(5 * time.Second)
	view, _ := f.Listed(back, Listing{Revision: 20, Instances: []Entry{entry("b", 9, InstanceLive)}})
	is.Equal(ids(view.Instances), []string{"a", "b"})
	is.Equal(f.Tick(back.Add(returnGrace-time.Millisecond)).Instances, nil)
	is.Equal(ids(f.Tick(back.Add(returnGrace)).Instances), []string{"b"})
}

func TestEntryThatCameBackStays(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	f.Failed(followStart, false, "refused")
	back := followStart.Add(5 * time.Second)
	f.Listed(back, Listing{Revision: 20})
	f.Watched(back.Add(time.Second), Changes{Revision: 21, Instances: []Entry{entry("a", 21, InstanceLive)}})
	is.Equal(ids(f.Tick(back.Add(returnGrace)).Instances), []string{"a"})
}

func TestLeavingInstanceIsNotKept(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	f.Watched(followStart, Changes{Revision: 12, Instances: []Entry{entry("a", 12, InstanceLeaving)}})
	f.Failed(followStart, false, "refused")
	view, _ := f.Listed(followStart.Add(time.Second), Listing{Revision: 20, Instances: []Entry{entry("b", 9, InstanceLive)}})
	is.Equal(ids(view.Instances), []string{"b"})
}

func TestOlderEventChangesNothing(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	f.Watched(followStart, Changes{Revision: 12, Instances: []Entry{entry("a", 12, InstanceLeaving)}})
	view, _ := f.Watched(followStart, Changes{Revision: 12, Instances: []Entry{entry("a", 8, InstanceLive)}})
	i := slices.IndexFunc(view.Instances, func(i Instance) bool { return i.ID == "a" })
	is.Equal(view.Instances[i].State, InstanceLeaving)
}

func TestDiscardedHistoryIsReadAnewAtOnce(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	_, call := f.Failed(followStart, true, "")
	is.True(call.List)
	is.Equal(call.At, followStart)
	view, _ := f.Listed(followStart, Listing{Revision: 30, Instances: []Entry{entry("b", 9, InstanceLive)}})
	is.Equal(ids(view.Instances), []string{"b"}) // no outage: the entry is gone
}

func TestOlderVersionIsNeverTaken(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	view, _ := f.Watched(followStart, Changes{Revision: 11, Configuration: &Configuration{Version: 7}})
	is.Equal(view.Configuration.Version, uint64(7))
	view, _ = f.Listed(followStart, Listing{Revision: 12, Configuration: &Configuration{Version: 6}})
	is.Equal(view.Configuration, nil)
}

func TestFailuresBackOffWithinASecond(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	now := followStart
	for range 20 {
		_, call := f.Failed(now, false, "refused")
		is.True(call.At.After(now))
		is.True(call.At.Sub(now) <= retryMax)
		is.Equal(call.Wait, time.Duration(0))
		now = call.At
	}
}

func TestEntryThatCannotBeReadNamesNoInstance(t *testing.T) {
	is := is.New(t)
	f := followed(t)
	view, _ := f.Watched(followStart, Changes{Revision: 12, Instances: []Entry{removal("a", 12), removal("x", 12)}})
	is.Equal(ids(view.Instances), []string{"b"})
}
