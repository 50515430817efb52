package source

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// startedEntry returns an entry of the process that started at a time.
func startedEntry(revision, started uint64, state InstanceState) Entry {
	e := entry("a", revision, state)
	e.Instance.Incarnation = started
	return e
}

// Guards against a leaving instance that is used again because of an entry that is not one of
// a later process: of another writer, without its start time or with an older one (review/8).
func TestOnlyALaterProcessEndsLeaving(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after uint64 // start times
		removed       bool   // the entry is removed in between
		want          InstanceState
	}{
		{"same process", 5, 5, false, InstanceLeaving},
		{"same process, removed before", 5, 5, true, InstanceLeaving},
		{"later process", 5, 6, false, InstanceLive},
		{"later process, removed before", 5, 6, true, InstanceLive},
		{"older process", 5, 4, false, InstanceLeaving},
		{"older start time, removed before", 5, 4, true, InstanceLive}, // the clock was set back
		{"start time missing", 5, 0, false, InstanceLeaving},
		{"start time missing, removed before", 5, 0, true, InstanceLeaving},
		{"start time named from now on", 0, 5, false, InstanceLive},
		{"no start time is named", 0, 0, false, InstanceLive},
	} {
		for _, era := range []uint64{0, 3} {
			t.Run(fmt.Sprintf("%s/era %d", tt.name, era), func(t *testing.T) {
				is := is.New(t)
				f := NewFollower(FollowerConfig{RandSeed: 1})
				f.HandleListing(testStart, Listing{Era: era, Revision: 10, Instances: []Entry{startedEntry(8, tt.before, InstanceLive)}})
				f.HandleChanges(testStart, Changes{Era: era, Revision: 11, Instances: []Entry{startedEntry(11, tt.before, InstanceLeaving)}})
				if tt.removed {
					f.HandleChanges(testStart, Changes{Era: era, Revision: 12, Instances: []Entry{removal("a", 12)}})
				}
				update, _ := f.HandleChanges(testStart, Changes{Era: era, Revision: 13, Instances: []Entry{startedEntry(13, tt.after, InstanceLive)}})
				is.Equal(update.Instances[0].State, tt.want)
			})
		}
	}
}

// What was seen of an instance before a restoration, what the copy lists of it, and whether it
// is used at once, while it may be written again, and after that. A process that is written
// again in the new era is used at once in all cases but those of a leaving one (review/9).
func TestOlderEntryOfACopyIsDoubted(t *testing.T) {
	const known, left, removedLeaving, removedLive = "known", "known as leaving", "removed as leaving", "removed"
	for _, tt := range []struct {
		seen          string
		before, copy  uint64 // start times
		atOnce, after bool   // the instance is used at once, and after the grace for what is written again
		late          bool   // it is used after doubtPeriod
	}{
		{known, 5, 5, true, true, true},
		{known, 5, 4, true, false, true},
		{known, 5, 6, true, true, true},
		{left, 5, 5, false, false, false},
		{left, 5, 4, false, false, false},
		{left, 5, 6, true, true, true},
		{removedLive, 5, 5, false, false, true},
		{removedLive, 5, 4, false, false, true},
		{removedLive, 5, 0, false, false, true},
		{removedLive, 5, 6, true, true, true},
		{removedLive, 0, 0, false, false, true},
		{removedLeaving, 5, 5, false, false, false},
		{removedLeaving, 5, 4, false, false, false},
		{removedLeaving, 5, 6, true, true, true},
	} {
		t.Run(fmt.Sprintf("%s %d, copy %d", tt.seen, tt.before, tt.copy), func(t *testing.T) {
			is := is.New(t)
			play := func() *Follower {
				f := newEraFollower(t)
				state := InstanceLive
				if tt.seen == left || tt.seen == removedLeaving {
					state = InstanceLeaving
				}
				f.HandleChanges(testStart, Changes{Era: 3, Revision: 11, Instances: []Entry{startedEntry(11, tt.before, state)}})
				if tt.seen == removedLive || tt.seen == removedLeaving {
					f.HandleChanges(testStart, Changes{Era: 3, Revision: 12, Instances: []Entry{removal("a", 12)}})
				}
				return f
			}
			used := func(f *Follower) bool {
				e, ok := f.known["a"]
				return ok && e.Instance.State == InstanceLive
			}
			restored := Listing{Era: 4, Revision: 9, Instances: []Entry{startedEntry(8, tt.copy, InstanceLive), entry("b", 9, InstanceLive)}}
			f := play()
			f.HandleListing(testStart, restored)
			is.Equal(used(f), tt.atOnce)
			f.Tick(testStart.Add(reregistrationGrace))
			is.Equal(used(f), tt.after)
			f.Tick(testStart.Add(reregistrationGrace + doubtPeriod))
			is.Equal(used(f), tt.late)

			f = play() // a later process is written again
			f.HandleListing(testStart, restored)
			f.HandleChanges(testStart, Changes{Era: 4, Revision: 10, Instances: []Entry{startedEntry(10, 9, InstanceLive)}})
			is.True(used(f))
			f.Tick(testStart.Add(reregistrationGrace + doubtPeriod))
			is.True(used(f))
		})
	}
}

// A later listing of the restored store holds what was written again.
func TestDoubtEndsWithAListingThatHoldsALaterEntry(t *testing.T) {
	for _, written := range []Entry{startedEntry(10, 5, InstanceLive), startedEntry(10, 9, InstanceLive)} {
		is := is.New(t)
		f := newEraFollower(t)
		f.HandleChanges(testStart, Changes{Era: 3, Revision: 11, Instances: []Entry{startedEntry(11, 5, InstanceLive)}})
		f.HandleChanges(testStart, Changes{Era: 3, Revision: 12, Instances: []Entry{removal("a", 12)}})
		f.HandleListing(testStart, Listing{Era: 4, Revision: 9, Instances: []Entry{startedEntry(8, 4, InstanceLive), entry("b", 9, InstanceLive)}})
		is.Equal(f.known["a"].Instance, nil)
		f.HandleListing(testStart, Listing{Era: 4, Revision: 10, Instances: []Entry{written, entry("b", 9, InstanceLive)}})
		is.Equal(f.known["a"].Instance, written.Instance)
		f.Tick(testStart.Add(reregistrationGrace + doubtPeriod))
		is.Equal(f.known["a"].Instance, written.Instance)
	}
}
