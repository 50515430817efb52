package source

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// watchWait bounds the wait of a watch. A watch may get no response if the
	// store discards its history or the connection stalls. The wait, the
	// further 0.7 s that the client allows for a response and the call on a new
	// connection together stay below defaultResyncLimit, and below the shortest outage
	// in which entries expire (ShortestLapse). They are shortened for a lower ResyncLimit.
	watchWait = 2000 * time.Millisecond
	// largeFleetConfigurationWait applies instead to the configuration call of a large
	// fleet, whose reader notices a silent connection by its other, shorter call.
	largeFleetConfigurationWait = 2200 * time.Millisecond
	// largeFleetWatchWait applies instead in a large fleet. Other proxies
	// depend on a reader there and detect only at the end of a call that the
	// reader, or its connection to the store, has failed. Within the 2.5 s in
	// which a version must be in force, they then still have to read it, which
	// takes about 1 s over a slow link.
	largeFleetWatchWait = 800 * time.Millisecond
	// batchDelay is the delay before the next call after a change, so that
	// further changes are read in one call. It is a quarter of the time in
	// which a change must be in force.
	batchDelay = 500 * time.Millisecond
	// burstWindow is the time between two versions below which the next call
	// reads only the newest version.
	burstWindow = 2 * time.Second
	// retryMin and retryMax bound the jittered delay after a failed call to the
	// store. retryMax and the timeout of the next call together stay below
	// defaultResyncLimit, too.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
)

// Call describes the follower's next call to the store.
type Call struct {
	// At is the earliest time at which the call may start.
	At time.Time
	// List requests the complete content of Part; otherwise the call watches
	// for changes after the revision After.
	List bool
	// Survey requests the list of instances alone, in a form that is cheap and may
	// be seconds old.
	Survey bool
	Part   Part
	// Era is the era in which After was read.
	Era   uint64
	After uint64
	Wait  time.Duration
	// Reader is the proxy to call instead of the store, nil for the store
	// itself.
	Reader *Instance
	// Delay is the time beyond Wait after which the reply of a reader is delayed and
	// HandleReaderDelay must be called. The call goes on. 0 means that it need not be.
	Delay time.Duration
	// Force and AllowStale are the fields of that name in the RelayRequest.
	Force, AllowStale bool
}

// Update is the result of one step. Nil and empty fields mean that nothing
// changed.
type Update struct {
	// Instances is the new list of instances, sorted by identifier: of the entries with
	// one address only that of the process that started last.
	Instances []Instance
	// Evacuations are all evacuations in force, sorted by zone; nil if they did not
	// change.
	Evacuations []Evacuation
	// Configuration is a newer version.
	Configuration *Configuration
	// Notes describe changes of the follower's state, for the event journal.
	Notes []Note
}

// Note is one entry for the event journal.
type Note struct{ What, Cause string }

// Follower decides how to follow the content of a store and which state to
// assume while the store is unavailable. It is a pure state machine: it does no
// I/O and reads no clock.
type Follower struct {
	cfg FollowerConfig
	rng *rand.Rand
	// known holds the entries of the list of instances by ID.
	known map[string]Entry
	// superseded holds the addresses of the known entries that do not hold them, by ID.
	superseded map[string]string
	position   Position
	// restored holds what is kept across a restoration of the store.
	restored restoredState
	// version is the highest version of the configuration returned so far.
	version uint64
	// listed reports that a complete list was read from the store or a seed
	// since the store last discarded history that this proxy needed.
	listed bool
	// surveys is the number of surveys so far. Until listed is set, known holds the
	// instances of the last one, which are not in use.
	surveys int
	// failures is the number of consecutive failed calls to the store,
	// unavailableSince the time of the first of them.
	failures         int
	unavailableSince time.Time
	// retryIsLate reports that the call after the first failure has not been answered
	// within maxRetryHold.
	retryIsLate bool
	// ownFailureAt is when a call of this proxy to the store last failed.
	ownFailureAt time.Time
	// sightings tells whether entries may have expired while calls failed.
	sightings storeSightings
	// graceUntil is the end of the period in which removed entries are retained
	// after an outage.
	graceUntil time.Time
	// watchEnd is when the watch ends that must tell which of the retained entries were
	// written again.
	watchEnd time.Time
	// lastVersionAt is when a watch last returned a version.
	lastVersionAt time.Time
	// configurationWatch is the state of the separate configuration call of a
	// large fleet.
	configurationWatch configurationWatchState
	// listHash is a hash of the list of instances.
	listHash uint64
	// readerFailedAt holds the time of the last failure of each reader that has not
	// replied since.
	readerFailedAt map[string]time.Time
	// readerTurn counts the calls to readers since the last one to the store in an outage.
	readerTurn int
	// staleAt holds the time at which a reader was last out of touch with the store, if it
	// has not replied since.
	staleAt map[string]time.Time
	// knownAt is the latest time of which the state of the store is known here.
	knownAt time.Time
	// delayed holds the readers with a call in flight whose reply is delayed.
	delayed map[string]bool
	// declined holds the proxies that declined to act as readers.
	declined map[string]bool
	// confirmed holds the proxies that have replied as readers.
	confirmed map[string]bool
	// seedRequests is the number of calls to seeds.
	seedRequests int
	// readerUntil is the end of the period in which this proxy acts as a reader
	// because other proxies asked it.
	readerUntil time.Time
	// retained holds the instances whose entries were removed but are kept
	// until graceUntil.
	retained map[string]bool
	// evacuations holds the evacuations of availability zones.
	evacuations evacuationState
	// current is the latest call for instances, or for everything, that was made.
	current Call
	// questions is the state of the questions to other proxies.
	questions questionState
}

// FollowerConfig sets the parameters of a follower.
type FollowerConfig struct {
	// AvailabilityZone is the zone of this proxy.
	AvailabilityZone string
	// BackendAddress is the address of this proxy's backend server. It
	// identifies the proxy's own entry in the list of instances.
	BackendAddress string
	// LinkMbps is the bandwidth of this machine's network link in Mbit/s, 0 if
	// unknown.
	LinkMbps float64
	// Seeds are the peer addresses of the proxies to ask for the current state
	// if the store is unreachable at startup.
	Seeds []string
	// RandSeed is a number unrelated to Seeds. It seeds the jitter of retries and
	// selects the reader to call first.
	RandSeed uint64
	// ResyncLimit is the time after a disturbance of the store, or of the connection to
	// it, within which the state must be current again; 3 s if it is 0.
	ResyncLimit time.Duration
	// ReportInterval is the time between two reports of a backend server to the store;
	// 1.5 s if it is 0. Its entry expires after three intervals without one.
	ReportInterval time.Duration
}

// NewFollower returns a follower with no state.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg:            cfg,
		rng:            rand.New(rand.NewPCG(cfg.RandSeed, 3)),
		readerFailedAt: make(map[string]time.Time),
		staleAt:        make(map[string]time.Time),
		delayed:        make(map[string]bool),
		declined:       make(map[string]bool),
		confirmed:      make(map[string]bool),
		known:          make(map[string]Entry),
		superseded:     make(map[string]string),
		retained:       make(map[string]bool),
		restored:       newRestoredState(),
		evacuations:    newEvacuationState(),
		questions:      newQuestionState(cfg.RandSeed),
	}
}

// Reachable reports whether this proxy holds a list and the last call to the
// store succeeded. A reply of a reader counts as a success; the failure of a
// reader does not count.
func (f *Follower) Reachable() bool { return f.listed && f.failures == 0 }

// HandleListing handles the result of a complete read and returns the next call.
func (f *Follower) HandleListing(now time.Time, l Listing) (Update, Call) {
	if cause, ok := f.checkEra(l.Era); !ok {
		return f.HandleInconclusiveFailure(now, false, cause)
	}
	var v Update
	f.noteStoreAnswer(now, &v)
	entered := f.enterEra(now, l.Era, &v)
	afterOutage := now.Before(f.graceUntil)
	f.position = l.Position()
	f.replaceEntries(now, inEra(l.Instances, l.Era), func(id string) { f.handleRemoval(now, id, afterOutage, &v) })
	f.listed = true
	if entered {
		f.noteKept(&v)
	}
	f.dropRetained(now, &v)
	f.setInstances(&v)
	if l.Part != InstancesOnly {
		f.configurationWatch.advance(l.Position())
		f.noteMalformedKeys(l.MalformedKeys, &v)
		f.evacuations.replace(l.Position(), evacuationsInEra(l.Evacuations, l.Era))
	}
	f.updateEvacuations(now, &v)
	if call, ok := f.confirmFirst(now, l.Configuration); ok {
		return v, call
	}
	f.acceptConfiguration(l.Configuration, &v)
	return v, f.nextCall(now)
}

// HandleChanges handles the result of a watch and returns the next call.
func (f *Follower) HandleChanges(now time.Time, c Changes) (Update, Call) {
	if cause, ok := f.checkEra(c.Era); !ok {
		return f.HandleInconclusiveFailure(now, false, cause)
	}
	var v Update
	f.noteStoreAnswer(now, &v)
	if c.Era > f.position.Era {
		// The changes are those since a revision of another history.
		f.acceptConfiguration(c.Configuration, &v)
		return v, Call{At: now.Add(f.restorationJitter()), List: true}
	}
	f.position.Revision = max(f.position.Revision, c.Revision)
	for _, e := range inEra(c.Instances, c.Era) {
		if e.Position().Before(f.known[e.ID].Position()) {
			continue
		}
		last, removed := f.lastEntry(e.ID)
		f.restored.forget(e.ID)
		if e.Instance == nil {
			f.handleRemoval(now, e.ID, now.Before(f.graceUntil), &v)
			continue
		}
		f.putEntry(keepLeaving(e, last, removed))
	}
	if f.dropRetained(now, &v) || len(c.Instances) > 0 {
		f.setInstances(&v)
	}
	f.applyEvacuationChanges(c, &v)
	f.updateEvacuations(now, &v)
	f.acceptConfiguration(c.Configuration, &v)
	next := f.nextCall(now)
	if next.Reader == nil && (len(c.Instances) > 0 || len(c.Evacuations) > 0 || c.Configuration != nil) {
		next.At = now.Add(batchDelay)
		next.Wait = max(0, next.Wait-batchDelay) // the connection may be silent by then
	}
	if c.Configuration != nil {
		next.List = f.recordVersion(now) && !f.isLargeFleet()
	}
	return v, next
}

// HandleFailure handles the failure of a call to the store that is a sign of an outage: the
// store was not reached, refused the call or did not respond on a new connection. It returns
// the next call. If compacted is set, the store has discarded the history after the
// known revision.
func (f *Follower) HandleFailure(now time.Time, compacted bool, cause string) (Update, Call) {
	if compacted {
		var v Update
		v.addNote("store history discarded", fmt.Sprintf("after %v", f.position))
		f.listed = false
		return v, f.listCall(now)
	}
	f.sightings.recordOutage(now)
	return f.handleFailedCall(now, cause)
}

// HandleInconclusiveFailure handles the failure of a call to the store that tells nothing of
// the store, such as a connection that went silent. It returns the next call. If unreadable
// is set, the store has answered, and would answer a repeated watch alike.
func (f *Follower) HandleInconclusiveFailure(now time.Time, unreadable bool, cause string) (Update, Call) {
	v, next := f.handleFailedCall(now, cause)
	if unreadable && next.Reader == nil {
		next = f.listCall(next.At)
	}
	return v, next
}

// handleFailedCall returns the next call after a failed one to the store.
func (f *Follower) handleFailedCall(now time.Time, cause string) (Update, Call) {
	var v Update
	if f.failures == 0 {
		f.unavailableSince = now
		v.addNote("store lost", cause)
	}
	f.failures++
	f.retryIsLate = false
	f.questions.waitingSince = time.Time{}
	if f.awaitsRetry() {
		return v, f.retryCall(now)
	}
	f.ownFailureAt = now
	if !f.listed {
		if seed := f.nextSeed(); seed != nil {
			return v, Call{At: now, Reader: seed, AllowStale: true}
		}
	}
	return v, f.outageCall(now)
}

// listCall returns a complete read of the store. A proxy of a large fleet that holds a version
// reads the instances alone: a version is long, the list must not wait for it on a slow link,
// and others may send what has changed of it.
func (f *Follower) listCall(at time.Time) Call {
	call := Call{At: at, List: true}
	if f.version > 0 && f.isLargeFleet() {
		call.Part = InstancesOnly
	}
	return call
}

// awaitsRetry reports whether the one failed call told nothing of the store, so that the
// next one finds out whether it is available.
func (f *Follower) awaitsRetry() bool {
	return f.failures == 1 && f.sightings.outageAt.IsZero()
}

// retryCall returns the next call to the store after a failure.
func (f *Follower) retryCall(now time.Time) Call {
	return f.retryCallAfter(now, f.backoff(max(0, f.failures-1)))
}

// retryCallAfter returns the next call to the store after at most the given time.
func (f *Follower) retryCallAfter(now time.Time, wait time.Duration) Call {
	next := f.nextCall(now)
	next.Wait, next.Reader, next.Force = 0, nil, false
	if !f.listed {
		next = f.listCall(now)
	}
	// Half of the delay is random, so that proxies that failed at the same time
	// do not retry at the same time.
	next.At = now.Add(wait/2 + time.Duration(f.rng.Int64N(int64(wait/2)+1)))
	return next
}

// backoff returns the delay before the next attempt: retryMin, doubled for each
// of the given failures, and at most retryMax.
func (f *Follower) backoff(failures int) time.Duration {
	return min(retryMin<<min(failures, maxDoublings), ScaleToResync(retryMax, f.cfg.ResyncLimit))
}

// watchWait returns the wait of a watch.
func (f *Follower) watchWait() time.Duration { return ScaleToResync(watchWait, f.cfg.ResyncLimit) }

// configurationWait returns the wait of a configuration call.
func (f *Follower) configurationWait() time.Duration {
	return ScaleToResync(largeFleetConfigurationWait, f.cfg.ResyncLimit)
}

// Tick deletes retained entries after the end of the grace period.
func (f *Follower) Tick(now time.Time) Update {
	var v Update
	f.retryIsLate = f.failures > 0 && now.Sub(f.unavailableSince) > maxRetryHold
	f.restored.expire(now)
	if f.acceptDoubted(now) {
		f.setInstances(&v)
	}
	f.endDoubtedEvacuations(now)
	f.updateEvacuations(now, &v)
	if f.failures == 0 && !f.watchIsLate(now) && f.dropRetained(now, &v) {
		f.setInstances(&v)
	}
	return v
}

// watchIsLate reports whether the watch that is to tell which of the retained entries were
// written again should have ended: its connection may be silent.
func (f *Follower) watchIsLate(now time.Time) bool {
	return now.After(f.watchEnd) && now.Before(f.watchEnd.Add(maxWatchDelay))
}

// dropRetained deletes retained entries after the end of the grace period, and reports
// whether there were any.
func (f *Follower) dropRetained(now time.Time, v *Update) bool {
	if now.Before(f.graceUntil) {
		return false
	}
	f.restored.grace = false
	dropped := len(f.retained) > 0
	for _, id := range slices.Sorted(maps.Keys(f.retained)) {
		f.deleteEntry(id, "not registered again after the store outage", v)
	}
	return dropped
}

// nextCall returns a watch of the store, or of the reader to call instead. Without a
// list there is nothing to watch, and the store is listed unless there is a reader.
func (f *Follower) nextCall(now time.Time) Call {
	call := Call{At: now, Era: f.position.Era, After: f.position.Revision, Wait: f.watchWait()}
	call.Reader, call.Force = f.selectReader(now)
	if !f.listed && call.Reader == nil {
		return f.listCall(now)
	}
	large := f.isLargeFleet()
	if large {
		call.Part, call.Wait = InstancesOnly, largeFleetWatchWait
		f.limitSilence(now, &call)
	}
	if len(f.retained) > 0 && call.Reader == nil {
		// Which of the retained entries were written again must be known as the grace
		// period ends.
		call.Wait = min(call.Wait, max(0, f.graceUntil.Sub(now)+graceMargin))
		f.watchEnd = now.Add(call.Wait)
	}
	if large {
		return call
	}
	// In a fleet that was large before, another call has read the operator's part, and
	// not as far.
	held := f.evacuations.position
	if held.Era != f.position.Era {
		return Call{At: now, List: true}
	}
	call.After = min(call.After, held.Revision)
	return call
}

// recordVersion records the arrival of a version and reports whether the
// previous one arrived within burstWindow. A watch returns every version in
// turn and in full; during a burst only the newest one is read.
func (f *Follower) recordVersion(now time.Time) bool {
	burst := !f.lastVersionAt.IsZero() && now.Sub(f.lastVersionAt) < burstWindow
	f.lastVersionAt = now
	return burst
}

// noteStoreAnswer records that a call of this proxy to the store succeeded.
func (f *Follower) noteStoreAnswer(now time.Time, v *Update) {
	f.noteRecovery(now, v)
	f.sightings.reset(now)
	f.ownFailureAt = time.Time{}
	f.knownAt = now
}

// noteRecovery records the first successful call after failures. Entries that were
// removed meanwhile are retained for a time only if they may have expired.
func (f *Follower) noteRecovery(now time.Time, v *Update) {
	if f.failures == 0 {
		f.sightings.gap = 0
		return
	}
	mayHaveExpired := f.sightings.entriesMayHaveExpired(now, f.shortestLapse())
	consequence := "removals apply"
	if mayHaveExpired {
		f.graceUntil = now.Add(reregistrationGrace)
		consequence = "removals may be entries that expired"
	}
	v.addNote("store regained", fmt.Sprintf("after %v and %d failed calls; %s", now.Sub(f.unavailableSince).Round(time.Millisecond), f.failures, consequence))
	f.failures = 0
	f.sightings.outageAt, f.sightings.gap = time.Time{}, 0
}

func (f *Follower) acceptConfiguration(c *Configuration, v *Update) {
	if c != nil && c.Version > f.version {
		f.version = c.Version
		v.Configuration = c
	}
}

func (v *Update) addNote(what, cause string) {
	v.Notes = append(v.Notes, Note{What: what, Cause: cause})
}
