package source

import (
	"fmt"
	"time"
)

// nextSeed returns the next proxy that a proxy which knows nothing asks while
// the store is out of reach, nil if there is none.
func (f *Follower) nextSeed() *Instance {
	if len(f.cfg.Seeds) == 0 {
		return nil
	}
	address := f.cfg.Seeds[f.seedsAsked%len(f.cfg.Seeds)]
	f.seedsAsked++
	return &Instance{ID: "seed " + address, PeerAddress: address}
}

// Seeded takes what a seed knows, with the version that its delta makes, and
// returns the next call. The store counts as lost until it answers itself.
func (f *Follower) Seeded(now time.Time, id string, r RelayReply, c *Configuration) (View, Call) {
	if r.Revision < f.revision {
		return f.SeedFailed(now, id, "knows less than this proxy")
	}
	var v View
	v.note("started from another proxy", fmt.Sprintf("list at revision %d, the store is out of reach", r.Revision))
	f.revision, f.listed = r.Revision, true
	f.replace(r.Instances, func(id string) { f.drop(id, "not known to the seed", &v) })
	f.versions.next = Call{Part: ConfigurationOnly, List: true}
	f.show(&v)
	f.configure(c, &v)
	return v, f.retry(now)
}

// SeedFailed takes the failure of a seed and returns the next call, to the
// store.
func (f *Follower) SeedFailed(now time.Time, id, cause string) (View, Call) {
	var v View
	v.note("seed lost", id+": "+cause)
	return v, f.retry(now)
}
