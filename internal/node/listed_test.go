package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

var listedStart = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// newListed returns a node that follows a store.
func newListed(id string) *Node {
	return New(Config{
		Member:         member.Config{Self: member.Record{ID: id, Service: "desk"}, Interval: time.Second},
		Dist:           dist.Config{ID: id, Followed: true},
		Routing:        routing.Config{AvailabilityZone: "tanga", MaxAttempts: 3},
		Admission:      admission.Config{QueueLength: 10},
		Listed:         true,
		BackendAddress: "10.0.0.1:80",
	})
}

func listedConfiguration(t *testing.T, version uint64) *source.Configuration {
	t.Helper()
	s, err := config.FromOrganisations(version, "test", []*config.Organisation{{
		Name:   "a.example",
		Routes: []config.Route{{Name: "r", Path: "/a/", Prefix: true, Group: "desk", Deadline: config.Duration(time.Second), Target: config.Duration(time.Second)}},
		Groups: map[string]config.Group{"desk": {Service: "desk"}},
		Limits: config.Limits{RequestsPerSecond: 10, Concurrency: 10},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return &source.Configuration{Version: version, Snapshot: s}
}

func listing(t *testing.T, version uint64) StoreListed {
	return StoreListed{Listing: source.Listing{Revision: 5, Configuration: listedConfiguration(t, version), Instances: []source.Entry{
		{ID: "i-1", Revision: 1, Instance: &source.Instance{ID: "i-1", Service: "desk", AvailabilityZone: "tanga", State: source.InstanceLive, BackendAddress: "10.0.0.1:80", Address: "10.0.0.1:81", Slots: 9}},
	}}}
}

// The first Tick asks the store for everything; a version and the list make the
// proxy ready at once.
func TestStoreAloneTellsOfInstances(t *testing.T) {
	is := is.New(t)
	n := newListed("desk-1")
	out := n.Step(listedStart, Tick{})
	is.Equal(len(out.Store), 1)
	is.True(out.Store[0].List)
	is.True(!n.Ready())
	out = n.Step(listedStart, listing(t, 7))
	is.True(n.Ready())
	is.Equal(out.Store[0].After, uint64(5))
	// Changes of the version or the state of this proxy must not bring the
	// membership's view back, which holds this proxy alone.
	n.Step(listedStart, StoreChanged{Changes: source.Changes{Revision: 6, Configuration: listedConfiguration(t, 8)}})
	n.Step(listedStart, Tick{})
	out = n.Step(listedStart, routing.Arrived{ID: 1, Organisation: "a.example", Method: "GET", Path: "/a/"})
	send := out.Routing[0].(routing.Send)
	is.Equal(send.Instance, "i-1")
	is.Equal(send.Version, uint64(8))
	is.Equal(n.Pressure(), 0.0)
}

// Some backend servers leave without saying so: their entry is removed and they
// serve on for a while. The proxy beside one turns away what others still send.
func TestBackendServerWithoutEntryGetsNothingMore(t *testing.T) {
	is := is.New(t)
	n := newListed("desk-1")
	n.Step(listedStart, Tick{})
	n.Step(listedStart, listing(t, 7))
	n.Step(listedStart, StoreChanged{Changes: source.Changes{Revision: 6, Instances: []source.Entry{{ID: "i-1", Revision: 6}}}})
	arrived := admission.Arrived{ID: 1, Request: "r", Repeatable: true, Deadline: listedStart.Add(time.Second)}
	out := n.Step(listedStart, arrived)
	refused, ok := out.Admission[0].(admission.Refuse)
	is.True(ok)
	is.Equal(refused.Refusal.Reason, outcome.InstanceLeaving)

	successor := source.Entry{ID: "i-2", Revision: 7, Instance: &source.Instance{
		ID: "i-2", Service: "desk", AvailabilityZone: "tanga", State: source.InstanceLive, BackendAddress: "10.0.0.1:80", Address: "10.0.0.1:81", Slots: 9,
	}}
	n.Step(listedStart, StoreChanged{Changes: source.Changes{Revision: 7, Instances: []source.Entry{successor}}})
	arrived.ID = 2
	_, ok = n.Step(listedStart, arrived).Admission[0].(admission.Run)
	is.True(ok)
}

func TestOlderVersionOfTheStoreIsNotEnforced(t *testing.T) {
	is := is.New(t)
	n := newListed("desk-1")
	n.Step(listedStart, Tick{})
	n.Step(listedStart, listing(t, 7))
	n.Step(listedStart, listing(t, 6))
	is.Equal(n.Head().Version, uint64(7))
}

// A reader answers with a delta that makes the same version at the other proxy.
func TestReaderHandsVersionsOn(t *testing.T) {
	is := is.New(t)
	reader, other := newListed("desk-1"), newListed("desk-2")
	for _, n := range []*Node{reader, other} {
		n.Step(listedStart, Tick{})
		n.Step(listedStart, listing(t, 7))
	}
	request := other.RelayRequest(source.Call{After: 5, Wait: time.Second})
	out := reader.Step(listedStart, RelayReceived{Call: 1, Request: request})
	is.Equal(len(out.Relay), 0) // nothing is new
	out = reader.Step(listedStart, StoreChanged{Changes: source.Changes{Revision: 6, Configuration: listedConfiguration(t, 8)}})
	is.Equal(len(out.Relay), 1)
	is.True(!out.Relay[0].Reply.Stale)
	other.Step(listedStart, StoreRelayed{Reader: "i-1", Reply: out.Relay[0].Reply})
	is.Equal(other.dist.Held(), reader.dist.Held())

	// Without news the answer comes when the wait has passed.
	request = other.RelayRequest(source.Call{After: 6, Wait: time.Second})
	reader.Step(listedStart, RelayReceived{Call: 2, Request: request})
	is.Equal(len(reader.Step(listedStart.Add(time.Second), Tick{}).Relay), 1)

	// A reader that lost the store says so at once.
	reader.Step(listedStart, RelayReceived{Call: 3, Request: request})
	out = reader.Step(listedStart, StoreFailed{Cause: "refused"})
	is.True(out.Relay[0].Reply.Stale)
	out = other.Step(listedStart, StoreRelayed{Reader: "i-1", Reply: out.Relay[0].Reply})
	is.Equal(out.Store[0].Reader, nil)
}

// A proxy that starts while the store is away is ready with what a seed knows.
func TestStartFromASeed(t *testing.T) {
	is := is.New(t)
	seed, starter := newListed("desk-1"), newListed("desk-2")
	seed.Step(listedStart, Tick{})
	seed.Step(listedStart, listing(t, 7))
	seed.Step(listedStart, StoreFailed{Cause: "silent"})
	cfg := starter.cfg
	cfg.Seeds = []string{"10.0.0.1:90"}
	starter = New(cfg)
	starter.Step(listedStart, Tick{})
	out := starter.Step(listedStart, StoreFailed{Cause: "silent"})
	is.Equal(out.Store[0].Reader.PeerAddress, "10.0.0.1:90")

	request := starter.RelayRequest(out.Store[0])
	reply := seed.Step(listedStart, RelayReceived{Call: 1, Request: request}).Relay[0].Reply
	out = starter.Step(listedStart, StoreRelayed{Reader: "seed", AnyAge: true, Reply: reply})
	is.True(starter.Ready())
	is.Equal(starter.Head().Version, seed.Head().Version)
	is.Equal(starter.Head().Root, seed.Head().Root)
	is.Equal(out.Store[0].Reader, nil) // on with the store
	is.Equal(out.Store[0].After, uint64(5))
}

// A seed without a version is no seed: from its revision on, the store would
// never tell of the version that is there.
func TestSeedWithoutAVersionIsNotTaken(t *testing.T) {
	is := is.New(t)
	seed, starter := newListed("desk-1"), newListed("desk-2")
	seed.Step(listedStart, Tick{})
	empty := listing(t, 7)
	empty.Listing.Configuration = nil
	seed.Step(listedStart, empty)
	starter.Step(listedStart, Tick{})
	starter.Step(listedStart, StoreFailed{Cause: "silent"})
	request := source.RelayRequest{AnyAge: true}
	reply := seed.Step(listedStart, RelayReceived{Call: 1, Request: request}).Relay[0].Reply
	out := starter.Step(listedStart, StoreRelayed{Reader: "seed", AnyAge: true, Reply: reply})
	is.True(!starter.Ready())
	is.True(out.Store[0].List)
}
