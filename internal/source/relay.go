package source

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/config"
)

const (
	// relayMinInstances is the number of instances from which on proxies follow
	// the store through the readers of their availability zone. For every proxy
	// that follows the store directly, each change costs a call and a transfer
	// of the whole configuration; in a small fleet that is cheaper than
	// depending on another proxy.
	relayMinInstances = 24
	// readersPerZone is the number of proxies per zone that follow the store
	// directly.
	readersPerZone = 2
	// readerMinLinkMbps is the minimum link bandwidth of a reader. At this
	// bandwidth the largest version, 1 MB, takes a tenth of the 2 s in which it
	// must be in force.
	readerMinLinkMbps = 40
	// maxForeignCandidates is the number of proxies of other zones that are asked to be
	// readers of a zone without a fast link. It bounds the messages of a large fleet in
	// which all links are slow.
	maxForeignCandidates = 32
	// requestedReaderPeriod is how long a proxy follows the store directly
	// after another proxy asked it for changes: twice the time for which the
	// requester's watch waits.
	requestedReaderPeriod = 2 * largeFleetWatchWait
	// maxReplacedReaders bounds the readers of a zone in whose place others are asked. In
	// an outage all of them are out of touch with the store, and each proxy that is asked
	// calls the store itself.
	maxReplacedReaders = 3
	// maxRetryHold is how long the requests of others wait for the next call after one that
	// told nothing of the store. A reader whose reply is late by readerDelay is given up.
	maxRetryHold = 100 * time.Millisecond
	// readerRetryDelay is how long a reader is not asked again after a failure.
	readerRetryDelay = 3 * time.Second
)

// RelayRequest asks a reader for changes or, with AllowStale, a seed for its
// state.
type RelayRequest struct {
	// Era, After and List are the position and the hash of the list that the
	// requester holds.
	Era   uint64 `json:"era,omitempty"`
	After uint64 `json:"after"`
	List  uint64 `json:"list"`
	// Version and Root identify the version that the requester holds, 0 and
	// empty if it has none.
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root,omitempty"`
	// WaitMs is how long the reader may wait for a change, in milliseconds.
	WaitMs int64 `json:"wait_ms"`
	// Force asks a proxy to act as a reader although its link is slow, because
	// all other proxies of the zone declined.
	Force bool `json:"insist,omitempty"`
	// AllowStale requests an immediate reply with the state that the other proxy
	// holds, even if that proxy cannot reach the store.
	AllowStale bool `json:"any_age,omitempty"`
	// OperatorOnly asks for evacuations and a newer version alone. A proxy that is in
	// doubt itself replies at once, as do older ones, which name evacuations only.
	OperatorOnly bool `json:"evacuations_only,omitempty"`
	// Evacuations describes the evacuations that the requester holds, nil if it knows
	// none of them.
	Evacuations *EvacuationDigest `json:"evacuations,omitempty"`
	// AcceptsPacked means that the requester reads RelayReply.Packed.
	AcceptsPacked bool `json:"accepts_packed,omitempty"`
}

// RelayReply is the reply of a reader or a seed.
type RelayReply struct {
	// Stale reports that the reader's state may be out of date, because it
	// cannot reach the store or regained it only recently.
	Stale bool `json:"stale,omitempty"`
	// Declined reports that the proxy's link is too slow for a reader.
	Declined bool `json:"declined,omitempty"`
	// AgeMs is the time since the store last answered the reader, in milliseconds.
	AgeMs int64 `json:"age_ms,omitempty"`
	// Era and Revision are the position of the list.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// FirstEra is the first era that the sender has seen since it started.
	FirstEra uint64 `json:"first_era,omitempty"`
	// Instances is the complete list, nil if it need not replace the
	// requester's.
	Instances []Entry `json:"instances,omitempty"`
	// Retained holds the identifiers of listed instances that a restored copy of
	// the store lacks and that may be written again.
	Retained []string `json:"retained,omitempty"`
	// Evacuated describes the evacuations that the sender holds, nil if it knows none of
	// them. Evacuations are all of them, nil if they need not replace the requester's.
	Evacuated   *EvacuationDigest `json:"evacuated,omitempty"`
	Evacuations []Evacuation      `json:"evacuations,omitzero"`
	// Packed is the delta from the version that the requester holds, empty if there is
	// no newer version. Delta is its JSON instead for requesters without AcceptsPacked.
	Packed config.PackedDelta `json:"packed,omitempty"`
	Delta  json.RawMessage    `json:"delta,omitempty"`
}

// age returns the time since the store last answered the sender.
func (r RelayReply) age() time.Duration { return time.Duration(max(r.AgeMs, 0)) * time.Millisecond }

// selectReader returns the reader to call instead of the store, or nil if this
// proxy calls the store itself, and whether the request must set Force.
func (f *Follower) selectReader(now time.Time) (*Instance, bool) {
	if !f.isLargeFleet() || now.Before(f.readerUntil) && !f.turnedAway(now) || f.isTooOld(now) {
		return nil, false
	}
	readers, force := f.electReaders(now)
	if f.isAmong(readers) {
		return nil, false
	}
	// Half of the proxies call the second reader first, to balance the load.
	if len(readers) > 1 && f.cfg.RandSeed%readersPerZone == 1 {
		slices.Reverse(readers)
	}
	var confirmed *Instance
	for _, r := range readers {
		switch {
		case f.isLost(now, r.ID):
		case !f.confirmed[r.ID]:
			return r, force // it may decline, in which case another proxy is the reader
		case confirmed == nil:
			confirmed = r
		}
	}
	return confirmed, force
}

// electReaders returns the readers of this proxy's zone. All proxies that hold
// the same list and have received the same declines elect the same readers. If
// all proxies of the zone declined, the first ones of the other zones are asked, since
// a version takes too long over a slow link. If these declined as well, the first ones
// of the zone are elected nevertheless and the second result is true.
func (f *Follower) electReaders(now time.Time) ([]*Instance, bool) {
	zone := f.readerCandidates(func(i *Instance) bool { return i.AvailabilityZone == f.cfg.AvailabilityZone })
	if readers := f.eligibleReaders(now, zone); len(readers) > 0 {
		return readers, false
	}
	others := f.readerCandidates(func(i *Instance) bool { return i.AvailabilityZone != f.cfg.AvailabilityZone })
	if readers := f.eligibleReaders(now, others[:min(len(others), maxForeignCandidates)]); len(readers) > 0 {
		return readers, false
	}
	return zone[:min(len(zone), readersPerZone)], true
}

// isAmong reports whether this proxy is one of the readers.
func (f *Follower) isAmong(readers []*Instance) bool {
	return slices.ContainsFunc(readers, func(r *Instance) bool { return r.BackendAddress == f.cfg.BackendAddress })
}

// readerCandidates returns the live instances that match, in the order of election.
func (f *Follower) readerCandidates(match func(*Instance) bool) []*Instance {
	var candidates []*Instance
	for _, e := range f.known {
		if e.Instance.State == InstanceLive && !f.retained[e.ID] && !f.isSuperseded(e.ID) && match(e.Instance) {
			candidates = append(candidates, e.Instance)
		}
	}
	slices.SortFunc(candidates, func(a, b *Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return candidates
}

// eligibleReaders returns the first candidates whose link is not known to be slow. The next
// ones take the place of up to maxReplacedReaders that are out of touch with the store: the
// store may turn them away and serve others.
func (f *Follower) eligibleReaders(now time.Time, candidates []*Instance) []*Instance {
	var eligible, stale []*Instance
	for _, i := range candidates {
		switch {
		case f.declined[i.ID], i.BackendAddress == f.cfg.BackendAddress && (f.hasSlowLink() || f.turnedAway(now)):
		case f.isStale(now, i.ID) && len(stale) < maxReplacedReaders:
			stale = append(stale, i)
		case len(eligible) < readersPerZone:
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return stale[:min(len(stale), readersPerZone)]
	}
	return eligible
}

// isStale reports whether a reader was out of touch with the store recently, while this
// proxy has no sign that the store is unavailable to all.
func (f *Follower) isStale(now time.Time, id string) bool {
	at, ok := f.staleAt[id]
	return ok && now.Sub(at) < readerRetryDelay && !f.storeUnavailable()
}

// RecordRelayRequest records that another proxy follows the store through this
// one, which then follows the store directly for requestedReaderPeriod. Requests
// that are declined or allow stale state have no effect.
func (f *Follower) RecordRelayRequest(now time.Time, r RelayRequest) {
	if !f.shouldDecline(r) && !r.AllowStale && !r.OperatorOnly && !f.turnedAway(now) {
		f.readerUntil = now.Add(requestedReaderPeriod)
	}
}

// hasSlowLink reports whether this proxy's link is too slow for a reader.
func (f *Follower) hasSlowLink() bool {
	return f.cfg.LinkMbps > 0 && f.cfg.LinkMbps < readerMinLinkMbps
}

// HandleReaderDeclined records that a proxy declined to act as a reader and
// returns the next call.
func (f *Follower) HandleReaderDeclined(now time.Time, id string) Call {
	f.declined[id] = true
	return f.nextCall(now)
}

// HandleRelayReply handles the reply of a reader, with the configuration that
// its delta produces, and returns the next call. Entries that may have expired
// need no further check: a reader in doubt about an entry replies with Stale.
func (f *Follower) HandleRelayReply(now time.Time, id string, r RelayReply, c *Configuration) (Update, Call) {
	if cause, ok := f.checkEra(r.Era); !ok {
		return f.HandleReaderFailure(now, id, cause)
	}
	var v Update
	f.confirmed[id] = true
	delete(f.readerFailedAt, id)
	delete(f.staleAt, id)
	f.recordAge(now, r.age())
	f.noteRecovery(now, &v)
	entered := f.enterEra(now, r.Era, &v)
	if f.position.Before(r.Position()) {
		f.position = r.Position()
	}
	// A delayed reply may be older than what another reader or the store has told since.
	if r.Instances != nil && !r.Position().Before(f.position) {
		f.listed = true
		f.replaceEntries(now, r.Instances, func(id string) { f.removeEntry(now, id, &v) })
		f.retain(now, r.Retained)
		f.setInstances(&v)
	}
	f.applyRelayedEvacuations(r)
	f.updateEvacuations(now, &v)
	if entered {
		f.noteKept(&v)
	}
	f.acceptConfiguration(c, &v)
	// If the readers fail, only the newest version needs to be read.
	f.configurationWatch.next = Call{Part: ConfigurationOnly, List: true}
	f.configurationWatch.failures = 0
	if !f.delayed[id] { // another source was asked since
		f.configurationWatch.active = false
	}
	return v, f.nextCall(now)
}

// removeEntry deletes an instance that the complete list of a reader lacks.
func (f *Follower) removeEntry(now time.Time, id string, v *Update) {
	f.restored.recordRemoval(now, f.known[id])
	f.deleteEntry(id, "entry removed", v)
}

// retain marks instances that a reader retains across a restoration.
func (f *Follower) retain(now time.Time, ids []string) {
	for _, id := range ids {
		if _, ok := f.known[id]; ok {
			f.retained[id] = true
			f.graceUntil = now.Add(reregistrationGrace)
		}
	}
}

// CauseStale is the cause for which a reply that is stale is not used.
const CauseStale = "reply is stale: the sender may not have the current content of the store"

// HandleStaleReader records that the state of a reader may be out of date, and returns the
// next call. A newer configuration of the reader, nil if it has none, is used nevertheless:
// what may be out of date are its instances, while versions only rise.
func (f *Follower) HandleStaleReader(now time.Time, id string, c *Configuration) (Update, Call) {
	if f.listed {
		f.staleAt[id] = now
	}
	v, next := f.loseReader(now, id, CauseStale, true)
	f.acceptConfiguration(c, &v)
	return v, next
}

// HandleReaderFailure records that a reader did not reply. It returns the next call, to
// another reader or to the store.
func (f *Follower) HandleReaderFailure(now time.Time, id, cause string) (Update, Call) {
	return f.loseReader(now, id, cause, false)
}

func (f *Follower) loseReader(now time.Time, id, cause string, outOfTouch bool) (Update, Call) {
	var v Update
	v.addNote("reader lost", id+": "+cause)
	f.readerFailedAt[id] = now
	if f.failures > 0 {
		return v, f.callAfterReader(now, outOfTouch)
	}
	next := f.nextCall(now)
	// A change may have been missed since the failed call began. If the next reader is
	// silent as well, there must be time left to ask the store.
	next.Wait = 0
	return v, next
}

// inSync reports whether the local state is known to match the store. Entries
// that may have expired while the store was unreachable are retained for this
// proxy only, since other proxies may have seen their removal. Those that a restored
// copy lacks are shared: a proxy that has seen their removal remembers it.
func (f *Follower) inSync() bool {
	return f.Reachable() && (len(f.retained) == 0 || f.restored.grace)
}

// CanReplyNow reports whether a request is to be answered immediately: there is
// a change to report, the request allows stale state, this proxy declines it, or
// this proxy's state may be out of date. A requester without state waits for a reader
// that is about to read the store, and any one for a reader whose connection to the store
// has failed and whose next call is under way.
func (f *Follower) CanReplyNow(r RelayRequest) bool {
	if r.OperatorOnly {
		return r.WaitMs == 0 || f.questions.inDoubt() || f.evacuationsDiffer(r) || f.version > r.Version
	}
	outOfDate := !f.inSync() && !(f.reading() && r.hasNoState()) && !(f.awaitsRetry() && !f.retryIsLate)
	return r.AllowStale || f.evacuationsDiffer(r) || f.shouldDecline(r) || outOfDate || f.behind(r) || f.listDiffers(r) || f.version > r.Version
}

// reading reports whether this proxy has no list yet and nothing has failed so far.
func (f *Follower) reading() bool { return !f.listed && f.failures == 0 }

// hasNoState reports whether the requester has just started.
func (r RelayRequest) hasNoState() bool { return r.After == 0 && r.Version == 0 }

// shouldDecline reports whether another proxy with a faster link should answer
// the request instead.
func (f *Follower) shouldDecline(r RelayRequest) bool {
	return f.hasSlowLink() && !r.Force && !r.AllowStale && !r.OperatorOnly
}

// behind reports whether the requester knows of a newer era than this proxy.
func (f *Follower) behind(r RelayRequest) bool { return f.position.Era < r.Era }

// listDiffers reports whether the local list replaces the one that the
// requester holds. The lists may differ at the same revision, since expired
// entries are deleted some time after the store has recovered.
func (f *Follower) listDiffers(r RelayRequest) bool {
	return !f.position.Before(r.Position()) && f.listHash != r.List
}

// ListHash returns a hash of the local list.
func (f *Follower) ListHash() uint64 { return f.listHash }

// Reply returns the reply to a request, without its delta.
func (f *Follower) Reply(r RelayRequest) RelayReply {
	if f.shouldDecline(r) {
		return RelayReply{Declined: true}
	}
	if r.OperatorOnly {
		reply := RelayReply{Stale: !f.Reachable() || f.configurationWatch.failures > 0 || f.questions.inDoubt()}
		f.addEvacuations(&reply, r)
		return reply
	}
	reply := RelayReply{Stale: !f.inSync() || f.behind(r), Era: f.position.Era, Revision: f.position.Revision}
	if r.AllowStale {
		// A seed that included entries which may have expired would hide their
		// removal from the requester for good.
		reply.Stale = !f.listed || len(f.retained) > 0
		reply.FirstEra = f.restored.firstEra
	}
	if r.AllowStale || f.listDiffers(r) {
		reply.Instances = f.sortedEntries()
		reply.Retained = slices.Sorted(maps.Keys(f.retained))
	}
	f.addEvacuations(&reply, r)
	return reply
}
