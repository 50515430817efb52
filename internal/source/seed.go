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

// HandleSeedReply handles the reply of a seed, or of a proxy that was asked to confirm
// a version, with the configuration that its delta produces, and returns the next
// call. After the reply of a seed the store remains unreachable until a call to it
// succeeds.
func (f *Follower) HandleSeedReply(now time.Time, id string, r RelayReply, c *Configuration) (Update, Call) {
	if f.restored.unconfirmed != nil {
		var v Update
		f.adoptEvacuations(r)
		f.updateEvacuations(now, &v)
		next := f.confirm(now, c, r.FirstEra, &v)
		return v, next
	}
	if r.Position().Before(f.position) {
		return f.HandleSeedFailure(now, id, fmt.Sprintf("%v is older than %v of this proxy", r.Position(), f.position))
	}
	var v Update
	v.addNote("state loaded from seed", fmt.Sprintf("list at %v; the store is unreachable", r.Position()))
	f.sightings.record(now.Add(-r.age()))
	f.enterEra(now, r.Era, &v)
	f.position, f.listed = r.Position(), true
	f.replaceEntries(now, r.Instances, func(id string) { f.deleteEntry(id, "not in the list of the seed", &v) })
	f.configurationWatch.next = Call{Part: ConfigurationOnly, List: true}
	f.setInstances(&v)
	f.applyRelayedEvacuations(r)
	f.updateEvacuations(now, &v)
	f.acceptConfiguration(c, &v)
	return v, f.retryCall(now)
}

// HandleSeedFailure handles the failure of a seed and returns the next call,
// which is to the store.
func (f *Follower) HandleSeedFailure(now time.Time, id, cause string) (Update, Call) {
	var v Update
	if f.restored.unconfirmed != nil {
		v.addNote("version not confirmed", id+": "+cause)
		next := f.confirm(now, nil, 0, &v)
		return v, next
	}
	v.addNote("seed failed", id+": "+cause)
	return v, f.retryCall(now)
}
