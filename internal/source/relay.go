package source

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/config"
)

const (
	// relayFrom is the number of instances from which proxies follow the
	// store through readers of their availability zone. Each change costs a
	// call and the whole configuration for every proxy that asks the store;
	// in a small fleet that is cheaper than to depend on another proxy.
	relayFrom = 24
	// readersPerZone is the number of proxies of a zone that ask the store.
	readersPerZone = 2
	// readerLinkMbps is the bandwidth that a proxy needs to be a reader. The
	// largest version, 1 MB, then takes a tenth of the 2 s in which it must be
	// in force.
	readerLinkMbps = 40
	// askedTime is how long a proxy that was asked reads the store itself:
	// two waits of those that ask.
	askedTime = 2 * largeWatchWait
	// readerLostTime is the time for which a reader that failed is not asked.
	readerLostTime = 3 * time.Second
)

// RelayRequest asks a reader for what changed.
type RelayRequest struct {
	// After and List are the revision and the hash of the list held.
	After uint64 `json:"after"`
	List  uint64 `json:"list"`
	// Version and Root name the version held, 0 and empty for none.
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root,omitempty"`
	// WaitMs is how long the reader may wait for a change.
	WaitMs int64 `json:"wait_ms"`
	// Insist asks a proxy that would rather not be a reader, since all others
	// of the zone would not either.
	Insist bool `json:"insist,omitempty"`
	// AnyAge takes whatever the other proxy knows at once, also if it does not
	// reach the store.
	AnyAge bool `json:"any_age,omitempty"`
}

// RelayReply is a reader's answer.
type RelayReply struct {
	// Stale reports that the reader does not reach the store itself, or did
	// not a moment ago.
	Stale bool `json:"stale,omitempty"`
	// Declined reports that the proxy's link is too slow for a reader.
	Declined bool `json:"declined,omitempty"`
	// Revision is that of the list.
	Revision uint64 `json:"revision"`
	// Instances is the whole list, nil if it did not change.
	Instances []Entry `json:"instances,omitempty"`
	// Delta is a config.Delta from the version held, empty if it did not
	// change.
	Delta json.RawMessage `json:"delta,omitempty"`
}

// reader returns the proxy that is asked in place of the store, nil if this
// proxy asks the store itself, and whether it must insist.
func (f *Follower) reader(now time.Time) (*Instance, bool) {
	if !f.large() || now.Before(f.askedUntil) {
		return nil, false
	}
	readers, insist := f.readers()
	for _, r := range readers {
		if r.BackendAddress == f.cfg.BackendAddress {
			return nil, false
		}
	}
	// Half of the proxies ask the second reader first.
	if len(readers) > 1 && f.cfg.Seed%readersPerZone == 1 {
		slices.Reverse(readers)
	}
	var first *Instance
	for _, r := range readers {
		lost, ok := f.lost[r.ID]
		switch {
		case ok && now.Sub(lost) < readerLostTime:
		case !f.confirmed[r.ID]:
			return r, insist // it may decline, and the next one be a reader
		case first == nil:
			first = r
		}
	}
	return first, insist
}

// readers returns the proxies of the zone that ask the store, the same at all
// proxies that know the same list and who declined. If all declined, the first
// ones are asked nevertheless, which the second result tells.
func (f *Follower) readers() ([]*Instance, bool) {
	var zone, willing []*Instance
	for _, e := range f.known {
		if e.Instance.AvailabilityZone == f.cfg.AvailabilityZone && e.Instance.State == InstanceLive && !f.missing[e.ID] {
			zone = append(zone, e.Instance)
		}
	}
	slices.SortFunc(zone, func(a, b *Instance) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, i := range zone {
		if !f.declined[i.ID] && (i.BackendAddress != f.cfg.BackendAddress || !f.slow()) {
			willing = append(willing, i)
		}
	}
	if len(willing) == 0 {
		return zone[:min(len(zone), readersPerZone)], true
	}
	return willing[:min(len(willing), readersPerZone)], false
}

// Asked notes that another proxy follows the store through this one, which
// then reads the store itself.
func (f *Follower) Asked(now time.Time, r RelayRequest) {
	if !f.declines(r) && !r.AnyAge {
		f.askedUntil = now.Add(askedTime)
	}
}

// slow reports whether this proxy's link is too slow for a reader.
func (f *Follower) slow() bool { return f.cfg.LinkMbps > 0 && f.cfg.LinkMbps < readerLinkMbps }

// ReaderDeclined notes that a proxy does not want to be a reader, and returns
// the next call.
func (f *Follower) ReaderDeclined(now time.Time, id string) Call {
	f.declined[id] = true
	return f.watch(now)
}

// Relayed takes the answer of a reader, with the version that its delta makes,
// and returns the next call. The reader has judged lapsed entries already.
func (f *Follower) Relayed(now time.Time, id string, r RelayReply, c *Configuration) (View, Call) {
	var v View
	f.confirmed[id] = true
	f.regained(now, &v)
	f.revision = max(f.revision, r.Revision)
	if r.Instances != nil {
		f.replace(r.Instances, func(id string) { f.drop(id, "entry removed", &v) })
		f.show(&v)
	}
	f.configure(c, &v)
	// Should the readers fail, the newest version is enough.
	f.versions.next = Call{Part: ConfigurationOnly, List: true}
	return v, f.watch(now)
}

// ReaderFailed notes that a reader did not answer, or is not certain of what it
// holds, and returns the next call, to another reader or to the store.
func (f *Follower) ReaderFailed(now time.Time, id, cause string) (View, Call) {
	var v View
	v.note("reader lost", id+": "+cause)
	f.lost[id] = now
	next := f.watch(now)
	if next.Reader == nil {
		next.Wait = 0
	}
	return v, next
}

// certain reports whether what is held is what the store holds. Entries that
// may have lapsed while this proxy was out of reach are kept for itself alone:
// other proxies may know better.
func (f *Follower) certain() bool { return f.Reachable() && len(f.missing) == 0 }

// HasNews reports whether a request can be answered with something new, or
// must be because this proxy is not certain of what it holds.
func (f *Follower) HasNews(r RelayRequest) bool {
	return r.AnyAge || f.declines(r) || !f.certain() || f.listDiffers(r) || f.version > r.Version
}

// declines reports whether a request is answered by another proxy better.
func (f *Follower) declines(r RelayRequest) bool { return f.slow() && !r.Insist && !r.AnyAge }

// listDiffers reports whether the list here replaces the one that a proxy
// holds. It may differ at the same revision, since entries that lapsed are
// dropped some time after the store's return.
func (f *Follower) listDiffers(r RelayRequest) bool {
	return f.revision >= r.After && f.listHash != r.List
}

// ListHash identifies the content of the list held.
func (f *Follower) ListHash() uint64 { return f.listHash }

// Answer returns the answer to a request but for its delta.
func (f *Follower) Answer(r RelayRequest) RelayReply {
	if f.declines(r) {
		return RelayReply{Declined: true}
	}
	reply := RelayReply{Stale: !f.certain(), Revision: f.revision}
	if r.AnyAge {
		// A list with doubtful entries would hide their removal for good.
		reply.Stale = !f.listed || len(f.missing) > 0
	}
	if r.AnyAge || f.listDiffers(r) {
		reply.Instances = f.entries()
	}
	return reply
}
