package source

import (
	"fmt"
	"time"
)

const (
	// removalMemory is how long a removed entry is remembered. A restored copy of
	// the store is some seconds old.
	removalMemory = time.Minute
	// maxRemovals bounds the removals that are remembered.
	maxRemovals = 4096
	// doubtPeriod is how long an entry that was removed before a restoration is
	// not used when the restored copy lists it. The platform removes the entry of
	// an instance that does not report within three report intervals, 4.5 s.
	doubtPeriod = 10 * time.Second
	// maxConfirmers and confirmLimit bound the other proxies that a starting proxy asks for
	// their version until one has been running since before the restoration. If half of
	// the fleet has just started, all of maxConfirmers have in one case of 65,536.
	maxConfirmers = 16
	confirmLimit  = 1400 * time.Millisecond
	// maxRestorationJitter spreads the listings of the proxies after a
	// restoration.
	maxRestorationJitter = 300 * time.Millisecond
)

// removedEntry is an entry that was removed.
type removedEntry struct {
	entry Entry
	at    time.Time
}

// doubtedEntry is an entry of a restored copy that was removed before, or is older than the one
// known from before the restoration.
type doubtedEntry struct {
	entry Entry
	until time.Time
}

// restoredState is what the follower keeps across a restoration of the store.
type restoredState struct {
	removed map[string]removedEntry
	doubted map[string]doubtedEntry
	// grace reports that entries are retained because a restored copy lacks them.
	grace bool
	// keptLeaving counts the instances that the copy of this era lists as live and
	// that stay leaving.
	keptLeaving int
	// restorations counts the new eras, lateAnswers the answers of an older era
	// and missingEras those without an era after one was named.
	restorations, lateAnswers, missingEras uint64
	// unconfirmed is the first configuration of this process while other proxies
	// are asked for theirs, and confirmers are those that are still to be asked.
	unconfirmed  *Configuration
	confirmers   []*Instance
	confirmUntil time.Time
	// firstEra is the first era that this process has seen, 0 if none was named.
	firstEra uint64
}

func newRestoredState() restoredState {
	return restoredState{removed: make(map[string]removedEntry), doubted: make(map[string]doubtedEntry)}
}

// EraStats counts what the follower saw of restorations of the store.
type EraStats struct {
	// Position is the position of the list of instances.
	Position Position `json:"position"`
	// Restorations counts new eras, LateAnswers the dropped answers of an older
	// era, and MissingEras dropped answers that name none.
	Restorations uint64 `json:"restorations"`
	LateAnswers  uint64 `json:"late_answers"`
	MissingEras  uint64 `json:"missing_eras"`
}

// EraStats returns the position and the counters.
func (f *Follower) EraStats() EraStats {
	r := &f.restored
	return EraStats{Position: f.position, Restorations: r.restorations, LateAnswers: r.lateAnswers, MissingEras: r.missingEras}
}

// checkEra reports whether an answer may be used, or why not.
func (f *Follower) checkEra(era uint64) (cause string, ok bool) {
	switch {
	case era >= f.position.Era:
		return "", true
	case era == 0:
		f.restored.missingEras++
		return fmt.Sprintf("answer names no era; the last one was %d", f.position.Era), false
	}
	f.restored.lateAnswers++
	return fmt.Sprintf("answer of era %d is older than era %d", era, f.position.Era), false
}

// enterEra begins a new era and reports whether it is a restoration: entries that the
// restored copy lacks are then retained until they must have been written again. The
// first era that is seen is no restoration.
func (f *Follower) enterEra(now time.Time, era uint64, v *Update) bool {
	if f.restored.firstEra == 0 {
		f.restored.firstEra = era
	}
	if era <= f.position.Era || f.position.Era == 0 {
		return false
	}
	f.restored.keptLeaving = 0
	f.restored.restorations++
	f.restored.grace = true
	f.graceUntil = now.Add(reregistrationGrace)
	v.addNote("store restored from an older copy", fmt.Sprintf("era %d after %v; %d instances and version %d kept", era, f.position, len(f.known), f.version))
	return true
}

// noteKept logs how the restored copy was corrected.
func (f *Follower) noteKept(v *Update) {
	v.addNote("restored copy corrected", fmt.Sprintf("%d instances that it lacks are kept for now, %d that were removed are not used, %d stay leaving",
		len(f.retained), len(f.restored.doubted), f.restored.keptLeaving))
}

// restorationJitter returns the delay before the listing after a restoration.
func (f *Follower) restorationJitter() time.Duration {
	return time.Duration(f.rng.Int64N(int64(maxRestorationJitter)))
}

// inEra returns the entries with the era of the answer that held them, unless they
// have one.
func inEra(entries []Entry, era uint64) []Entry {
	out := make([]Entry, len(entries))
	for i, e := range entries {
		if e.Era == 0 {
			e.Era = era
		}
		out[i] = e
	}
	return out
}

// keepLeaving returns the entry, as leaving if the instance was leaving before and this is not
// the entry of a process that started later: a process that leaves does not take work again, but
// what it wrote before that may be written again after a restoration, or by another writer. The
// entry known before was removed in between if removed is set.
func keepLeaving(e, known Entry, removed bool) Entry {
	if e.Instance.State == InstanceLeaving || known.Instance == nil || known.Instance.State != InstanceLeaving || startedLater(e, known, removed) {
		return e
	}
	leaving := *e.Instance
	leaving.State = InstanceLeaving
	e.Instance = &leaving
	return e
}

// startedLater reports whether an entry is that of a process that started later than the one of
// the entry known before. A missing start time is not a later one.
func startedLater(e, known Entry, removed bool) bool {
	before, now := known.Instance.Incarnation, e.Instance.Incarnation
	switch {
	case now > before:
		return true
	case before == 0: // nothing tells the processes apart but the order of their entries
		return known.Era == e.Era && known.Revision < e.Revision
	default: // the clock of its machine may have been set back
		return now > 0 && now < before && removed && known.Era == e.Era
	}
}

// lastEntry returns the known or recently removed entry of an instance, and whether it was
// removed.
func (f *Follower) lastEntry(id string) (e Entry, removed bool) {
	if e, ok := f.known[id]; ok {
		return e, false
	}
	return f.restored.removed[id].entry, true
}

// recordRemoval remembers a removed entry.
func (r *restoredState) recordRemoval(now time.Time, e Entry) {
	if len(r.removed) < maxRemovals {
		r.removed[e.ID] = removedEntry{entry: e, at: now}
	}
}

// forget ends all doubt about an entry that was written or removed in this era.
func (r *restoredState) forget(id string) {
	delete(r.removed, id)
	delete(r.doubted, id)
}

// doubts reports whether an entry of a restored copy is not later than one that was removed
// before the restoration, or older than the one that is known from before it. It is used after
// doubtPeriod if it is not removed again by then.
func (f *Follower) doubts(now time.Time, e Entry) bool {
	r := &f.restored
	if d, ok := r.doubted[e.ID]; ok && d.entry.Position().Before(e.Position()) { // written again since
		r.forget(e.ID)
		return false
	}
	last, removed := f.lastEntry(e.ID)
	if last.Instance == nil || last.Era >= e.Era || e.Instance.Incarnation > last.Instance.Incarnation ||
		!removed && e.Instance.Incarnation == last.Instance.Incarnation {
		return false
	}
	if _, ok := r.doubted[e.ID]; !ok {
		r.doubted[e.ID] = doubtedEntry{entry: e, until: now.Add(doubtPeriod)}
	}
	return true
}

// dropAbsent drops the doubted entries that a complete list lacks.
func (r *restoredState) dropAbsent(list []Entry) {
	if len(r.doubted) == 0 {
		return
	}
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = e.Instance != nil
	}
	for id := range r.doubted {
		if !listed[id] {
			delete(r.doubted, id)
		}
	}
}

func (r *restoredState) expire(now time.Time) {
	for id, gone := range r.removed {
		if _, doubted := r.doubted[id]; !doubted && now.Sub(gone.at) > removalMemory {
			delete(r.removed, id)
		}
	}
}

// acceptDoubted uses doubted entries whose period is over, and reports whether there
// were any. Those of instances that were leaving are dropped.
func (f *Follower) acceptDoubted(now time.Time) (accepted bool) {
	for id, d := range f.restored.doubted {
		if now.Before(d.until) {
			continue
		}
		last, _ := f.lastEntry(id)
		f.restored.forget(id)
		if last.Instance == nil || last.Instance.State != InstanceLeaving && last.Position().Before(d.entry.Position()) {
			f.putEntry(d.entry)
			accepted = true
		}
	}
	return accepted
}

// confirmFirst holds back the first configuration of this process if the store may
// be an older copy, and returns the call to another proxy that may know a newer one.
// Only a store in its second or a later era can be a copy.
func (f *Follower) confirmFirst(now time.Time, c *Configuration) (Call, bool) {
	if f.version != 0 || c == nil || f.position.Era < 2 || f.restored.unconfirmed != nil {
		return Call{}, false
	}
	var others []*Instance
	for _, e := range f.sortedEntries() {
		if e.Instance.BackendAddress != f.cfg.BackendAddress || f.cfg.BackendAddress == "" {
			others = append(others, e.Instance)
		}
	}
	f.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), maxConfirmers)]
	if len(others) == 0 {
		return Call{}, false
	}
	f.restored.unconfirmed, f.restored.confirmers, f.restored.confirmUntil = c, others, now.Add(confirmLimit)
	return f.nextConfirmer(now), true
}

// nextConfirmer returns the call to the next proxy to ask.
func (f *Follower) nextConfirmer(now time.Time) Call {
	next := f.restored.confirmers[0]
	f.restored.confirmers = f.restored.confirmers[1:]
	return Call{At: now, Reader: next, AllowStale: true}
}

// confirm takes the version of another proxy, nil if it has none, and returns the next
// call. The highest version becomes effective once a proxy was asked that has been running
// since before the restoration, or none is left to ask.
func (f *Follower) confirm(now time.Time, c *Configuration, firstEra uint64, v *Update) Call {
	r := &f.restored
	if c != nil && c.Version > r.unconfirmed.Version {
		v.addNote("newer version than that of the restored store", fmt.Sprintf("version %d instead of %d, from another proxy", c.Version, r.unconfirmed.Version))
		r.unconfirmed = c
	}
	knows := firstEra > 0 && firstEra < f.position.Era
	if !knows && len(r.confirmers) > 0 && now.Before(r.confirmUntil) {
		return f.nextConfirmer(now)
	}
	if !knows {
		v.addNote("version of a restored store not confirmed", fmt.Sprintf("version %d; no proxy that was asked has been running since before era %d", r.unconfirmed.Version, f.position.Era))
	}
	f.acceptConfiguration(r.unconfirmed, v)
	r.unconfirmed = nil
	return f.nextCall(now)
}
