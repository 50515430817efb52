package source

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newEraFollower returns a follower that has listed the instances a and b in era 3 at
// revision 10.
func newEraFollower(t *testing.T) *Follower {
	t.Helper()
	f := NewFollower(FollowerConfig{RandSeed: 1})
	update, call := f.HandleListing(testStart, Listing{Era: 3, Revision: 10, Instances: []Entry{
		entry("a", 8, InstanceLive), entry("b", 9, InstanceLive),
	}})
	is := is.New(t)
	is.Equal(len(update.Notes), 0) // the first era is no restoration
	is.Equal(call.Era, uint64(3))
	return f
}

func notes(u Update) string {
	var b strings.Builder
	for _, n := range u.Notes {
		b.WriteString(n.What + ": " + n.Cause + "\n")
	}
	return b.String()
}

// A watch from a revision of an older era misses what the restored store holds: once
// the store has passed that revision again, nothing else tells of it.
func TestChangesOfANewEraAreFollowedByAListing(t *testing.T) {
	is := is.New(t)
	f := newEraFollower(t)
	update, call := f.HandleChanges(testStart, Changes{Era: 4, Revision: 12, Instances: []Entry{removal("a", 12)}})
	is.True(call.List)
	is.Equal(update.Instances, nil)
	update, call = f.HandleListing(testStart, Listing{Era: 4, Revision: 7, Instances: []Entry{entry("a", 5, InstanceLive), entry("c", 6, InstanceLive)}})
	is.True(strings.Contains(notes(update), "store restored from an older copy"))
	is.Equal(instanceIDs(update.Instances), []string{"a", "b", "c"}) // b may be written again
	is.Equal(call.Era, uint64(4))
	is.Equal(call.After, uint64(7))
	is.Equal(instanceIDs(f.Tick(testStart.Add(reregistrationGrace)).Instances), []string{"a", "c"})
	is.Equal(f.EraStats().Restorations, uint64(1))
}

// Entries that were written again have lower revisions than the known ones.
func TestEntryWrittenAgainReplacesTheOneOfAnOlderEra(t *testing.T) {
	is := is.New(t)
	f := newEraFollower(t)
	f.HandleListing(testStart, Listing{Era: 4, Revision: 3})
	update, _ := f.HandleChanges(testStart, Changes{Era: 4, Revision: 5, Instances: []Entry{entry("a", 4, InstanceLeaving), entry("b", 5, InstanceLive)}})
	is.Equal(update.Instances[0].State, InstanceLeaving)
	is.Equal(len(f.Tick(testStart.Add(time.Minute)).Instances), 0) // nothing was dropped
	is.Equal(len(f.known), 2)
}

func TestLeavingInstanceStaysLeavingWhenAnOldCopyLists(t *testing.T) {
	is := is.New(t)
	f := newEraFollower(t)
	f.HandleChanges(testStart, Changes{Era: 3, Revision: 12, Instances: []Entry{entry("a", 12, InstanceLeaving)}})
	restored := Listing{Era: 4, Revision: 9, Instances: []Entry{entry("a", 8, InstanceLive), entry("b", 9, InstanceLive)}}
	update, _ := f.HandleListing(testStart, restored)
	is.Equal(update.Instances[0].State, InstanceLeaving)
	is.Equal(update.Instances[1].State, InstanceLive)
	is.True(strings.Contains(notes(update), "1 stay leaving"))
	restored.Era = 5 // a second restoration
	update, _ = f.HandleListing(testStart, restored)
	is.Equal(update.Instances[0].State, InstanceLeaving)
	started := entry("a", 9, InstanceLive)
	started.Instance.Incarnation = 77 // it has started again under its identifier
	update, _ = f.HandleListing(testStart, Listing{Era: 6, Revision: 9, Instances: []Entry{started}})
	is.Equal(update.Instances[0].State, InstanceLive)
}

// What an instance wrote before it was leaving may be written again first.
func TestLeavingInstanceStaysLeavingWhileOldWritesAreRepeated(t *testing.T) {
	is := is.New(t)
	f := newEraFollower(t)
	live, leaving := entry("a", 8, InstanceLive), entry("a", 12, InstanceLeaving)
	live.Instance.Incarnation, leaving.Instance.Incarnation = 5, 5
	f.HandleChanges(testStart, Changes{Era: 3, Revision: 12, Instances: []Entry{leaving}})
	f.HandleListing(testStart, Listing{Era: 4, Revision: 7})
	update, _ := f.HandleChanges(testStart, Changes{Era: 4, Revision: 8, Instances: []Entry{live}})
	is.Equal(update.Instances[0].State, InstanceLeaving)
}

func TestRemovedInstanceIsNotUsedBecauseAnOldCopyListsIt(t *testing.T) {
	is := is.New(t)
	f := newEraFollower(t)
	f.HandleChanges(testStart, Changes{Era: 3, Revision: 12, Instances: []Entry{removal("a", 12)}})
	restored := Listing{Era: 4, Revision: 9, Instances: []Entry{entry("a", 8, InstanceLive), entry("b", 9, InstanceLive)}}
	update, _ := f.HandleListing(testStart, restored)
	is.Equal(instanceIDs(update.Instances), []string{"b"})
	// It is used once it is written again, or if it is listed still after a while.
	written, _ := f.HandleChanges(testStart, Changes{Era: 4, Revision: 10, Instances: []Entry{entry("a", 10, InstanceLive)}})
	is.Equal(instanceIDs(written.Instances), []string{"a", "b"})

	f = newEraFollower(t)
	f.HandleChanges(testStart, Changes{Era: 3, Revision: 12, Instances: []Entry{removal("a", 12)}})
	f.HandleListing(testStart, restored)
	is.Equal(len(f.Tick(testStart.Add(doubtPeriod-1)).Instances), 0)
	is.Equal(instanceIDs(f.Tick(testStart.Add(doubtPeriod)).Instances), []string{"a", "b"})
}

func TestAnswersOfAnOlderEraChangeNothing(t *testing.T) {
	is := is.New(t)
	f := newEraFollower(t)
	f.HandleListing(testStart, Listing{Era: 4, Revision: 9, Instances: []Entry{entry("a", 8, InstanceLive)}})
	before := f.ListHash()
	update, _ := f.HandleListing(testStart, Listing{Era: 3, Revision: 50})
	is.True(strings.Contains(notes(update), "answer of era 3 is older than era 4"))
	f.HandleChanges(testStart, Changes{Era: 3, Revision: 50, Instances: []Entry{removal("a", 50)}})
	f.HandleConfiguration(testStart, Changes{Era: 3, Revision: 50, Configuration: &Configuration{Version: 9}})
	f.HandleChanges(testStart, Changes{Revision: 50, Instances: []Entry{removal("a", 50)}})
	is.Equal(f.ListHash(), before)
	is.Equal(f.version, uint64(0))
	is.Equal(f.EraStats(), EraStats{Position: Position{4, 9}, Restorations: 1, LateAnswers: 3, MissingEras: 1})
}

func TestRestoredStoreWithAnOlderVersionDoesNotRollBack(t *testing.T) {
	is := is.New(t)
	f := newEraFollower(t)
	update, _ := f.HandleChanges(testStart, Changes{Era: 3, Revision: 20, Configuration: &Configuration{Version: 7}})
	is.Equal(update.Configuration.Version, uint64(7))
	update, _ = f.HandleListing(testStart, Listing{Era: 4, Revision: 5, Configuration: &Configuration{Version: 6}})
	is.Equal(update.Configuration, nil)
	update, _ = f.HandleChanges(testStart, Changes{Era: 4, Revision: 6, Configuration: &Configuration{Version: 7}}) // written again
	is.Equal(update.Configuration, nil)
	update, _ = f.HandleChanges(testStart, Changes{Era: 4, Revision: 7, Configuration: &Configuration{Version: 8}})
	is.Equal(update.Configuration.Version, uint64(8))
}

// The configuration watch of a large fleet is a call of its own.
func TestConfigurationOfANewEraIsReadWhole(t *testing.T) {
	is := is.New(t)
	f := newEraFollower(t)
	f.HandleConfiguration(testStart, Changes{Era: 4, Revision: 12})
	is.True(f.configurationWatch.next.List)
	update := f.HandleConfiguration(testStart, Changes{Era: 4, Revision: 5, Configuration: &Configuration{Version: 3}})
	is.Equal(update.Configuration.Version, uint64(3))
	is.Equal(f.configurationWatch.position, Position{4, 12})
}

// A reader in a newer era replaces the list of its followers; one in an older era is
// not asked again for a while.
func TestReadersInDifferentErasAreNotConfused(t *testing.T) {
	is := is.New(t)
	reader, leaf := newEraFollower(t), newEraFollower(t)
	request := RelayRequest{Era: 3, After: 10, List: leaf.ListHash()}
	is.True(!reader.CanReplyNow(request))
	reader.HandleListing(testStart, Listing{Era: 4, Revision: 4, Instances: []Entry{entry("a", 3, InstanceLive)}})
	is.True(reader.CanReplyNow(request))
	reply := reader.Reply(request)
	is.True(!reply.Stale) // what the copy lacks is shared as such
	is.Equal(reply.Retained, []string{"b"})
	update, _ := leaf.HandleRelayReply(testStart, "r", reply, nil)
	is.Equal(instanceIDs(update.Instances), []string{"a", "b"})
	is.Equal(leaf.position, Position{4, 4})
	is.Equal(leaf.ListHash(), reader.ListHash())
	is.Equal(instanceIDs(leaf.Tick(testStart.Add(reregistrationGrace)).Instances), []string{"a"})

	old := newEraFollower(t)
	request = RelayRequest{Era: 4, After: 4, List: leaf.ListHash()}
	is.True(old.CanReplyNow(request))
	is.True(old.Reply(request).Stale)
	before := leaf.ListHash()
	update, _ = leaf.HandleRelayReply(testStart, "old", RelayReply{Era: 3, Revision: 90, Instances: []Entry{}}, nil)
	is.Equal(leaf.ListHash(), before)
	is.True(strings.Contains(notes(update), "reader lost"))
}

func TestSeedOfAnOlderEraIsRejected(t *testing.T) {
	is := is.New(t)
	f := newEraFollower(t)
	before := f.ListHash()
	f.HandleSeedReply(testStart, "s", RelayReply{Era: 2, Revision: 99, Instances: []Entry{}}, nil)
	is.Equal(f.ListHash(), before)
}

// TestInstancesFollowTheStoreThroughRestorations checks with random writes, removals,
// restorations, late answers and pauses that a follower that has read the latest
// changes holds what the store holds, never uses an instance again that was leaving, and
// never returns an older version.
func TestInstancesFollowTheStoreThroughRestorations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type content struct {
			revision uint64
			entries  map[string]Entry
		}
		clone := func(c content) content {
			out := content{c.revision, make(map[string]Entry)}
			for id, e := range c.entries {
				out.entries[id] = e
			}
			return out
		}
		store, era := content{1, map[string]Entry{}}, uint64(1)
		copies := []content{clone(store)}
		f := NewFollower(FollowerConfig{RandSeed: 1})
		now := testStart
		listing := func() Listing {
			l := Listing{Era: era, Revision: store.revision}
			for _, e := range store.entries {
				l.Instances = append(l.Instances, e)
			}
			return l
		}
		late := []Listing{listing()}
		left := make(map[string]bool)
		id := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				id := id.Draw(t, "id")
				if !left[id] {
					store.revision++
					store.entries[id] = entry(id, store.revision, InstanceLive)
				}
			},
			"leave": func(t *rapid.T) {
				id := id.Draw(t, "id")
				if _, ok := store.entries[id]; ok {
					store.revision++
					store.entries[id] = entry(id, store.revision, InstanceLeaving)
				}
			},
			"remove": func(t *rapid.T) {
				id := id.Draw(t, "id")
				store.revision++
				delete(store.entries, id)
			},
			"copy": func(*rapid.T) { copies = append(copies, clone(store)) },
			"restore": func(t *rapid.T) {
				store = clone(copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy")])
				era++
			},
			"late answer": func(t *rapid.T) {
				l := late[rapid.IntRange(0, len(late)-1).Draw(t, "answer")]
				if l.Era < f.position.Era {
					before := f.ListHash()
					f.HandleListing(now, l)
					if f.ListHash() != before {
						t.Fatal("an answer of an older era changed the list")
					}
				}
			},
			"read": func(*rapid.T) {
				late = append(late, listing())
				f.HandleListing(now, listing())
				for id, e := range f.known {
					if left[id] && e.Instance.State != InstanceLeaving {
						t.Fatalf("%s is used again after it was leaving", id)
					}
					if e.Instance.State == InstanceLeaving {
						left[id] = true
					}
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				f.Tick(now)
			},
			"": func(t *rapid.T) {},
		})
		f.HandleListing(now, listing())
		now = now.Add(2 * doubtPeriod)
		f.Tick(now)
		for id := range f.known {
			if _, ok := store.entries[id]; !ok {
				t.Fatalf("%s is known but not in the store", id)
			}
		}
		for id, e := range store.entries {
			if _, ok := f.known[id]; !ok && e.Instance.State == InstanceLive && !left[id] {
				t.Fatalf("%s is in the store but not known", id)
			}
		}
	})
}

// FuzzFollower feeds random answers and checks that positions never go back.
func FuzzFollower(fz *testing.F) {
	fz.Add([]byte{0, 1, 5, 1, 1, 6, 2, 2, 3, 3, 1, 9})
	fz.Fuzz(func(t *testing.T, data []byte) {
		f := NewFollower(FollowerConfig{RandSeed: 1})
		now, version := testStart, uint64(0)
		for len(data) >= 3 {
			kind, era, revision := data[0], uint64(data[1]%5), uint64(data[2])
			data = data[3:]
			now = now.Add(time.Duration(revision) * 50 * time.Millisecond)
			before := f.position
			entries := []Entry{entry(string('a'+rune(revision%4)), revision, InstanceLive)}
			c := &Configuration{Version: revision % 7}
			var u Update
			switch kind % 6 {
			case 0:
				u, _ = f.HandleListing(now, Listing{Era: era, Revision: revision, Instances: entries, Configuration: c})
			case 1:
				u, _ = f.HandleChanges(now, Changes{Era: era, Revision: revision, Instances: entries, Configuration: c})
			case 2:
				u, _ = f.HandleRelayReply(now, "r", RelayReply{Era: era, Revision: revision, Instances: entries, Retained: []string{"a", "z"}}, c)
			case 3:
				u, _ = f.HandleSeedReply(now, "s", RelayReply{Era: era, Revision: revision, Instances: entries}, c)
			case 4:
				u = f.HandleConfiguration(now, Changes{Era: era, Revision: revision, Configuration: c})
			default:
				u = f.Tick(now)
			}
			if f.position.Era < before.Era {
				t.Fatalf("era went back from %v to %v", before, f.position)
			}
			if u.Configuration != nil {
				if u.Configuration.Version <= version {
					t.Fatalf("version %d after %d", u.Configuration.Version, version)
				}
				version = u.Configuration.Version
			}
		}
	})
}

// A proxy that starts while the store serves an older copy must not enforce an older
// version than the others, and its callers must not see one come and go.
func TestStartDuringARestorationAsksOthersForTheirVersion(t *testing.T) {
	is := is.New(t)
	f := NewFollower(FollowerConfig{RandSeed: 1, BackendAddress: "self"})
	own := entry("self", 3, InstanceLive)
	own.Instance.BackendAddress = "self"
	list := Listing{Era: 4, Revision: 9, Configuration: &Configuration{Version: 6}, Instances: []Entry{own, entry("a", 8, InstanceLive), entry("b", 9, InstanceLive)}}
	update, call := f.HandleListing(testStart, list)
	is.Equal(update.Configuration, nil)
	is.True(call.AllowStale)
	first := call.Reader.ID
	update, call = f.HandleSeedFailure(testStart, first, "starting")
	is.Equal(update.Configuration, nil)
	is.True(call.Reader.ID != first && call.Reader.ID != "self")
	update, call = f.HandleSeedReply(testStart, call.Reader.ID, RelayReply{Era: 3, Revision: 20, Instances: []Entry{}}, &Configuration{Version: 7})
	is.Equal(update.Configuration.Version, uint64(7))
	is.Equal(call.Reader, nil)
	is.Equal(len(f.known), 3) // the list is that of the store
	is.Equal(f.position, Position{4, 9})

	// Nobody knows better, as when the whole fleet starts.
	f = NewFollower(FollowerConfig{RandSeed: 1, BackendAddress: "self"})
	f.HandleListing(testStart, list)
	f.HandleSeedFailure(testStart, "a", "starting")
	update, _ = f.HandleSeedFailure(testStart, "b", "starting")
	is.Equal(update.Configuration.Version, uint64(6))

	// A store that was never restored needs no confirmation.
	f = NewFollower(FollowerConfig{RandSeed: 1, BackendAddress: "self"})
	list.Era = 1
	update, _ = f.HandleListing(testStart, list)
	is.Equal(update.Configuration.Version, uint64(6))
}

// The separate configuration call of a large fleet must not bring the copy's version
// while others are asked.
func TestConfigurationIsNotReadWhileOthersAreAsked(t *testing.T) {
	is := is.New(t)
	f := NewFollower(FollowerConfig{RandSeed: 1, AvailabilityZone: "z"})
	list := Listing{Era: 4, Revision: 90, Configuration: &Configuration{Version: 6}}
	for i := range uint64(relayMinInstances) {
		e := entry(string('a'+rune(i)), i+1, InstanceLive)
		e.Instance.AvailabilityZone = "other"
		list.Instances = append(list.Instances, e)
	}
	_, call := f.HandleListing(testStart, list)
	for range maxConfirmers {
		is.True(call.AllowStale)
		_, due := f.NextConfigurationCall(testStart)
		is.True(!due)
		_, call = f.HandleSeedFailure(testStart, call.Reader.ID, "starting")
	}
	is.True(!call.AllowStale)
	_, due := f.NextConfigurationCall(testStart)
	is.True(due)
}

// Guards against a copy's version that a proxy enforces because those that it asked had just
// started as well: it asks on, for a time, until one has seen an older era.
func TestStartAsksUntilOneHasRunSinceBeforeTheRestoration(t *testing.T) {
	is := is.New(t)
	list := Listing{Era: 4, Revision: 9, Configuration: &Configuration{Version: 6}}
	for i := range uint64(9) {
		list.Instances = append(list.Instances, entry(string('a'+rune(i)), i+1, InstanceLive))
	}
	start := func() (*Follower, Call) {
		f := NewFollower(FollowerConfig{RandSeed: 1})
		_, call := f.HandleListing(testStart, list)
		return f, call
	}
	started, _ := start()
	f, call := start()
	for range 5 {
		is.True(call.AllowStale)
		reply := started.Reply(RelayRequest{AllowStale: true})
		is.Equal(reply.FirstEra, uint64(4))
		_, call = f.HandleSeedReply(testStart, call.Reader.ID, reply, &Configuration{Version: 6})
	}
	is.True(call.AllowStale)
	running := NewFollower(FollowerConfig{RandSeed: 1})
	running.HandleListing(testStart, Listing{Era: 3, Revision: 20})
	update, call := f.HandleSeedReply(testStart, call.Reader.ID, running.Reply(RelayRequest{AllowStale: true}), &Configuration{Version: 7})
	is.Equal(update.Configuration.Version, uint64(7))
	is.True(!call.AllowStale)

	f, call = start()
	update, _ = f.HandleSeedFailure(testStart.Add(confirmLimit), call.Reader.ID, "silent")
	is.Equal(update.Configuration.Version, uint64(6)) // no longer than before
}
