package source

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchWait bounds a watch. A store that drops its history leaves watches
	// without an answer, as does a connection that fell silent; with the
	// client's time-out this stays below the 3 s after which a proxy is held
	// to the bounds again.
	watchWait = 2200 * time.Millisecond
	// largeWatchWait is the same in a large fleet, where other proxies depend
	// on a reader and notice only then that it, or the store for it, is lost.
	// They then still have to read a version over a slow link, about 1 s,
	// within the 2.5 s in which it must be in force.
	largeWatchWait = 800 * time.Millisecond
	// gatherTime is the pause after changes, in which further ones gather
	// for the next call. It is a quarter of the time in which a change must be
	// in force.
	gatherTime = 500 * time.Millisecond
	// stormTime is the time between two versions below which the next call
	// reads the newest one alone.
	stormTime = 2 * time.Second
	// retryMin and retryMax bound the jittered wait after a failed call. The
	// longest leaves time to learn of a removal before it binds, contactMs
	// after the store is back.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
	// returnGrace is the time after the store's return within which entries
	// that lapsed meanwhile are written again (the platform's bound).
	returnGrace = 2 * time.Second
)

// Call is what the follower wants to ask the store next.
type Call struct {
	// At is the earliest time of the call.
	At time.Time
	// List asks for all that the part holds; otherwise for changes after
	// After.
	List  bool
	Part  Part
	After uint64
	Wait  time.Duration
	// Reader is the proxy that is asked in place of the store, nil for the
	// store itself.
	Reader *Instance
	// Insist and AnyAge are those of the reader's request.
	Insist, AnyAge bool
}

// View is what the follower learnt in one step. Nil and zero fields tell of no
// change.
type View struct {
	// Instances is the new list of instances, sorted by identifier.
	Instances []Instance
	// Configuration is a newer version.
	Configuration *Configuration
	// Notes describe what changed in the follower's belief, for the log.
	Notes []Note
}

// Note is one change of belief.
type Note struct{ What, Cause string }

// Follower decides how the content of a store is followed and what is
// believed while the store is away. It is a pure state machine: it does no I/O
// and reads no clock.
type Follower struct {
	cfg      FollowerConfig
	rng      *rand.Rand
	known    map[string]Entry
	revision uint64
	version  uint64
	listed   bool
	failures int
	lostAt   time.Time
	// graceUntil ends the time in which missing entries are kept.
	graceUntil time.Time
	// configuredAt is when a watch last brought a version.
	configuredAt time.Time
	// versions is the call that follows the configuration alone.
	versions versionCall
	// listHash identifies the content of the list.
	listHash uint64
	// lost holds when readers failed.
	lost map[string]time.Time
	// declined holds the proxies that do not want to be readers.
	declined map[string]bool
	// confirmed holds the proxies that have answered as readers.
	confirmed map[string]bool
	// seedsAsked counts the calls of seeds.
	seedsAsked int
	// askedUntil ends the time in which this proxy is a reader because others
	// ask it.
	askedUntil time.Time
	// missing holds the entries that are kept though they were removed.
	missing map[string]bool
}

// FollowerConfig sets the parameters of a follower.
type FollowerConfig struct {
	// AvailabilityZone is that of this proxy.
	AvailabilityZone string
	// BackendAddress tells which instance is the one beside this proxy.
	BackendAddress string
	// LinkMbps is the bandwidth of this machine's link in Mbit/s, 0 if it is
	// not known.
	LinkMbps float64
	// Seeds are the peer addresses of proxies that a proxy which starts while
	// the store is out of reach asks in its place.
	Seeds []string
	// Seed seeds the waits after failures.
	Seed uint64
}

// NewFollower returns a follower that knows nothing.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 3)),
		lost:      make(map[string]time.Time),
		declined:  make(map[string]bool),
		confirmed: make(map[string]bool),
		known:     make(map[string]Entry),
		missing:   make(map[string]bool),
	}
}

// Reachable reports whether the last call succeeded.
func (f *Follower) Reachable() bool { return f.listed && f.failures == 0 }

// Listed takes the result of a complete reading and returns the next call.
func (f *Follower) Listed(now time.Time, l Listing) (View, Call) {
	var v View
	f.regained(now, &v)
	away := now.Before(f.graceUntil)
	f.revision = l.Revision
	f.replace(l.Instances, func(id string) { f.remove(now, id, away, &v) })
	f.listed = true
	f.versions.revision = max(f.versions.revision, l.Revision)
	f.show(&v)
	f.configure(l.Configuration, &v)
	return v, f.watch(now)
}

// Watched takes the result of a watch and returns the next call.
func (f *Follower) Watched(now time.Time, c Changes) (View, Call) {
	var v View
	f.regained(now, &v)
	f.revision = max(f.revision, c.Revision)
	for _, e := range c.Instances {
		if e.Revision < f.known[e.ID].Revision {
			continue
		}
		if e.Instance == nil {
			f.remove(now, e.ID, now.Before(f.graceUntil), &v)
			continue
		}
		f.put(e)
	}
	if len(c.Instances) > 0 {
		f.show(&v)
	}
	f.configure(c.Configuration, &v)
	next := f.watch(now)
	if len(c.Instances) > 0 || c.Configuration != nil {
		next.At = now.Add(gatherTime)
	}
	if c.Configuration != nil {
		next.List = f.storm(now) && !f.large()
	}
	return v, next
}

// Failed takes the failure of a call and returns the next call. Compacted
// tells that the store has discarded the history after the revision known.
func (f *Follower) Failed(now time.Time, compacted bool, cause string) (View, Call) {
	var v View
	if compacted {
		v.note("store history discarded", fmt.Sprintf("after revision %d", f.revision))
		f.listed = false
		return v, Call{At: now, List: true}
	}
	if f.failures == 0 {
		f.lostAt = now
		v.note("store lost", cause)
	}
	f.failures++
	if !f.listed {
		if seed := f.nextSeed(); seed != nil {
			return v, Call{At: now, Reader: seed, AnyAge: true}
		}
	}
	return v, f.retry(now)
}

// retry returns the next call of the store after a failure.
func (f *Follower) retry(now time.Time) Call {
	next := f.watch(now)
	next.Wait, next.Reader, next.Insist = 0, nil, false
	if !f.listed {
		next = Call{List: true}
	}
	// Half of the wait is drawn, so that proxies that failed together do not
	// return together.
	wait := retryWait(max(0, f.failures-1))
	next.At = now.Add(wait/2 + time.Duration(f.rng.Int64N(int64(wait/2)+1)))
	return next
}

// retryWait is the wait after so many failed calls before the present one.
func retryWait(failures int) time.Duration {
	return min(retryMin<<min(failures, maxDoublings), retryMax)
}

// Tick drops the kept entries whose time has passed.
func (f *Follower) Tick(now time.Time) View {
	var v View
	if len(f.missing) == 0 || f.failures > 0 || now.Before(f.graceUntil) {
		return v
	}
	for _, id := range slices.Sorted(maps.Keys(f.missing)) {
		f.drop(id, "not registered again after the store's return", &v)
	}
	f.show(&v)
	return v
}

func (f *Follower) watch(now time.Time) Call {
	call := Call{At: now, After: f.revision, Wait: watchWait}
	call.Reader, call.Insist = f.reader(now)
	if f.large() {
		call.Part, call.Wait = InstancesOnly, largeWatchWait
	}
	return call
}

// regained notes the first success after failures.
func (f *Follower) regained(now time.Time, v *View) {
	if f.failures == 0 {
		return
	}
	v.note("store regained", fmt.Sprintf("after %v and %d failed calls", now.Sub(f.lostAt).Round(time.Millisecond), f.failures))
	f.failures = 0
	f.graceUntil = now.Add(returnGrace)
}

// replace takes a whole list and calls gone for each known instance that it
// lacks, in the order of their identifiers.
func (f *Follower) replace(entries []Entry, gone func(id string)) {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Instance != nil {
			present[e.ID] = true
			f.put(e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.known)) {
		if !present[id] {
			gone(id)
		}
	}
}

func (f *Follower) put(e Entry) {
	delete(f.missing, e.ID)
	f.known[e.ID] = e
}

// remove drops an instance whose entry is gone. One that was not leaving may
// have lapsed with the store away; it is kept until the grace has passed.
func (f *Follower) remove(now time.Time, id string, lapsed bool, v *View) {
	e, ok := f.known[id]
	if !ok {
		return
	}
	if lapsed && e.Instance.State != InstanceLeaving && now.Before(f.graceUntil) {
		f.missing[id] = true
		return
	}
	f.drop(id, "entry removed", v)
}

func (f *Follower) drop(id, cause string, v *View) {
	delete(f.known, id)
	delete(f.missing, id)
	delete(f.declined, id)
	delete(f.confirmed, id)
	delete(f.lost, id)
	v.note("instance gone", id+": "+cause)
}

func (f *Follower) configure(c *Configuration, v *View) {
	if c != nil && c.Version > f.version {
		f.version = c.Version
		v.Configuration = c
	}
}

// show puts the list as it is now into the view.
func (f *Follower) show(v *View) {
	hash := xxhash.New()
	v.Instances = make([]Instance, 0, len(f.known))
	for _, e := range f.entries() {
		v.Instances = append(v.Instances, *e.Instance)
		fmt.Fprintf(hash, "%s %d\n", e.ID, e.Revision)
	}
	f.listHash = hash.Sum64()
}

// entries returns the known entries, sorted by identifier.
func (f *Follower) entries() []Entry {
	return slices.SortedFunc(maps.Values(f.known), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

func (v *View) note(what, cause string) {
	v.Notes = append(v.Notes, Note{What: what, Cause: cause})
}
