package source

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func heldEntry(id, address string, revision, created, incarnation uint64) Entry {
	return Entry{ID: id, Revision: revision, Created: created, Instance: &Instance{
		ID: id, Service: "s", AvailabilityZone: "a", State: InstanceLive, Address: "f-" + address, BackendAddress: address, Incarnation: incarnation,
	}}
}

func listedIDs(list []Instance) (ids []string) {
	for _, i := range list {
		ids = append(ids, i.ID)
	}
	return ids
}

func TestLastCreatedEntryHoldsItsAddress(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := NewFollower(FollowerConfig{BackendAddress: "x"})
	u, _ := f.HandleListing(now, Listing{Revision: 20, Instances: []Entry{
		heldEntry("old", "p", 18, 3, 900), // a late write of a process that is gone, and a clock ahead
		heldEntry("new", "p", 15, 15, 100),
		heldEntry("other", "q", 4, 4, 100),
	}})
	is.Equal(listedIDs(u.Instances), []string{"new", "other"})
	is.Equal(f.Superseded("p"), []string{"old"})
	is.Equal(f.fleetSize(), 2)

	// The address is taken over by another service.
	taken := heldEntry("third", "p", 21, 21, 50)
	taken.Instance.Service = "t"
	u, _ = f.HandleChanges(now, Changes{Revision: 21, Instances: []Entry{taken}})
	is.Equal(listedIDs(u.Instances), []string{"other", "third"})
	is.Equal(f.Superseded("p"), []string{"new", "old"})

	// The entry of the latest process is removed, those before it are still written.
	u, _ = f.HandleChanges(now, Changes{Revision: 24, Instances: []Entry{{ID: "third", Revision: 22}, {ID: "new", Revision: 23}}})
	is.Equal(listedIDs(u.Instances), []string{"old", "other"})
	is.Equal(f.Superseded("p"), nil)
}

// Guards against readers that are counted twice, and asked under the name of a process that
// is gone.
func TestSupersededInstancesAreNoReaders(t *testing.T) {
	is := is.New(t)
	f := NewFollower(FollowerConfig{AvailabilityZone: "a", BackendAddress: "x"})
	l := Listing{Revision: 99}
	for i, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"} {
		l.Instances = append(l.Instances, heldEntry(id, id, uint64(i+1), uint64(i+1), 1), heldEntry(id+"2", id, uint64(i+40), uint64(i+40), 1))
	}
	f.HandleListing(time.Unix(1000, 0), l)
	is.Equal(f.isLargeFleet(), false) // 13 machines, 26 entries
	for _, i := range f.readerCandidates(func(*Instance) bool { return true }) {
		is.True(!f.isSuperseded(i.ID))
	}
}
