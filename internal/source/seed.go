package source

import (
	"fmt"
	"time"
)

// nextSeed returns the seed to ask next while the store is unreachable and this
// proxy has no current list, or nil if no seeds are configured.
func (f *Follower) nextSeed() *Instance {
	if len(f.cfg.Seeds) == 0 {
		return nil
	}
	address := f.cfg.Seeds[f.seedRequests%len(f.cfg.Seeds)]
	f.seedRequests++
	return &Instance{ID: "seed " + address, PeerAddress: address}
}

// HandleSeedReply handles the reply of a seed, with the configuration that its
// delta produces, and returns the next call. The store remains unreachable
// until a call to it succeeds.
func (f *Follower) HandleSeedReply(now time.Time, id string, r RelayReply, c *Configuration) (Update, Call) {
	if r.Revision < f.revision {
		return f.HandleSeedFailure(now, id, "revision is older than that of this proxy")
	}
	var v Update
	v.addNote("state loaded from seed", fmt.Sprintf("list at revision %d; the store is unreachable", r.Revision))
	f.revision, f.listed = r.Revision, true
	f.replaceEntries(r.Instances, func(id string) { f.deleteEntry(id, "not in the list of the seed", &v) })
	f.configurationWatch.next = Call{Part: ConfigurationOnly, List: true}
	f.setInstances(&v)
	f.acceptConfiguration(c, &v)
	return v, f.retryCall(now)
}

// HandleSeedFailure handles the failure of a seed and returns the next call,
// which is to the store.
func (f *Follower) HandleSeedFailure(now time.Time, id, cause string) (Update, Call) {
	var v Update
	v.addNote("seed failed", id+": "+cause)
	return v, f.retryCall(now)
}
