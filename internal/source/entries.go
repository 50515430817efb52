package source

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// replaceEntries stores a complete list and calls onAbsent, in the order of
// identifiers, for each known instance that the list lacks.
func (f *Follower) replaceEntries(now time.Time, entries []Entry, onAbsent func(id string)) {
	present := make(map[string]bool, len(entries))
	f.restored.dropAbsent(entries)
	for _, e := range entries {
		if e.Instance != nil && !f.doubts(now, e) {
			present[e.ID] = true
			kept := keepLeaving(e, f.known[e.ID], false)
			if kept.Instance != e.Instance {
				f.restored.keptLeaving++
			}
			f.putEntry(kept)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.known)) {
		if !present[id] {
			onAbsent(id)
		}
	}
}

func (f *Follower) putEntry(e Entry) {
	delete(f.retained, e.ID)
	e.Created = e.startedAt(f.known[e.ID])
	f.known[e.ID] = e
}

// handleRemoval deletes an instance whose entry was removed. If the entry may
// have expired during a store outage and the instance was not leaving, it is
// retained until the end of the grace period.
func (f *Follower) handleRemoval(now time.Time, id string, mayHaveExpired bool, v *Update) {
	e, ok := f.known[id]
	if !ok {
		return
	}
	if mayHaveExpired && e.Instance.State != InstanceLeaving && now.Before(f.graceUntil) {
		if !f.retained[id] {
			v.addNote("removal not applied yet", id+": the entry may have expired during a store outage")
		}
		f.retained[id] = true
		return
	}
	f.restored.recordRemoval(now, e)
	f.deleteEntry(id, "entry removed", v)
}

func (f *Follower) deleteEntry(id, cause string, v *Update) {
	delete(f.known, id)
	delete(f.retained, id)
	delete(f.declined, id)
	delete(f.confirmed, id)
	delete(f.readerFailedAt, id)
	delete(f.staleAt, id)
	v.addNote("instance removed", id+": "+cause)
}

// setInstances sets the instances of the update and recomputes the list hash.
func (f *Follower) setInstances(v *Update) {
	f.updateHolders()
	hash := xxhash.New()
	v.Instances = make([]Instance, 0, f.fleetSize())
	for _, e := range f.sortedEntries() {
		if !f.isSuperseded(e.ID) {
			v.Instances = append(v.Instances, e.listed())
		}
		fmt.Fprintf(hash, "%s %d\n", e.ID, e.Revision)
		if e.Era > 0 {
			fmt.Fprintf(hash, "%d %s\n", e.Era, e.Instance.State)
		}
	}
	f.listHash = hash.Sum64()
}

// sortedEntries returns the known entries, sorted by identifier.
func (f *Follower) sortedEntries() []Entry {
	return slices.SortedFunc(maps.Values(f.known), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}
