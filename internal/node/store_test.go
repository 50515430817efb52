package node

import (
	"strings"
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

var storeStart = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// newStoreNode returns a node that follows a store, with its backend server at
// 10.0.0.1:80.
func newStoreNode(id string) *Node {
	return New(Config{
		Member:         member.Config{Self: member.Record{ID: id, Service: "desk"}, Interval: time.Second},
		Dist:           dist.Config{ID: id, Followed: true},
		Routing:        routing.Config{AvailabilityZone: "tanga", MaxAttempts: 3},
		Admission:      admission.Config{QueueLength: 10},
		Listed:         true,
		BackendAddress: "10.0.0.1:80",
	})
}

func storeConfiguration(t *testing.T, version uint64) *source.Configuration {
	t.Helper()
	s, err := config.FromOrganisations(version, "test", []*config.Organisation{{
		Name:   "a.example",
		Routes: []config.Route{{Name: "r", Path: "/a/", Prefix: true, Group: "desk", Deadline: config.Duration(time.Second), Target: config.Duration(time.Second)}},
		Groups: map[string]config.Group{"desk": {Service: "desk"}},
		Limits: config.Limits{RequestsPerSecond: 10, Concurrency: 10},
	}}, config.CallerLimits{})
	if err != nil {
		t.Fatal(err)
	}
	return &source.Configuration{Version: version, Snapshot: s}
}

func storeListing(t *testing.T, version uint64) StoreListed {
	return StoreListed{Listing: source.Listing{Revision: 5, Configuration: storeConfiguration(t, version), Instances: []source.Entry{
		{ID: "i-1", Revision: 1, Instance: &source.Instance{ID: "i-1", Service: "desk", AvailabilityZone: "tanga", State: source.InstanceLive, BackendAddress: "10.0.0.1:80", Address: "10.0.0.1:81", Slots: 9}},
	}}}
}

// The first Tick requests a survey and a short one the full content of the store.
// The proxy is ready as soon as it has a configuration version and the list of
// instances, and not before.
func TestInstancesComeFromStoreOnly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newStoreNode("desk-1")
	out := n.Step(storeStart, Tick{})
	is.Equal(len(out.Store), 1)
	is.True(out.Store[0].Survey)
	is.True(!n.Ready())
	listing := storeListing(t, 7).Listing
	listing.Configuration = nil
	out = n.Step(storeStart, StoreSurveyed{Listing: listing})
	is.Equal(len(out.Store), 1)
	is.True(out.Store[0].List)
	is.True(!n.Ready())
	out = n.Step(storeStart, storeListing(t, 7))
	is.True(n.Ready())
	is.Equal(out.Store[0].After, uint64(5))
	// A new version or a change of this proxy's state must not replace the list
	// by the membership view, which holds only this proxy.
	n.Step(storeStart, StoreChanged{Changes: source.Changes{Revision: 6, Configuration: storeConfiguration(t, 8)}})
	n.Step(storeStart, Tick{})
	out = n.Step(storeStart, routing.Arrived{ID: 1, Organisation: "a.example", Method: "GET", Path: "/a/"})
	send := out.Routing[0].(routing.Send)
	is.Equal(send.Instance, "i-1")
	is.Equal(send.Version, uint64(8))
	is.Equal(n.LoadPerSlot(), 0.0)
}

// Some backend servers leave without a leaving state: their entry is removed while
// they go on serving for some time. Their proxy must refuse requests that other
// proxies still send.
func TestBackendServerWithoutStoreEntryGetsNoRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newStoreNode("desk-1")
	n.Step(storeStart, Tick{})
	n.Step(storeStart, storeListing(t, 7))
	n.Step(storeStart, StoreChanged{Changes: source.Changes{Revision: 6, Instances: []source.Entry{{ID: "i-1", Revision: 6}}}})
	arrived := admission.Arrived{ID: 1, Request: "r", Repeatable: true, Deadline: storeStart.Add(time.Second)}
	out := n.Step(storeStart, arrived)
	refused, ok := out.Admission[0].(admission.Refuse)
	is.True(ok)
	is.Equal(refused.Refusal.Reason, outcome.InstanceLeaving)

	successor := source.Entry{ID: "i-2", Revision: 7, Instance: &source.Instance{
		ID: "i-2", Service: "desk", AvailabilityZone: "tanga", State: source.InstanceLive, BackendAddress: "10.0.0.1:80", Address: "10.0.0.1:81", Slots: 9,
	}}
	n.Step(storeStart, StoreChanged{Changes: source.Changes{Revision: 7, Instances: []source.Entry{successor}}})
	arrived.ID = 2
	_, ok = n.Step(storeStart, arrived).Admission[0].(admission.Run)
	is.True(ok)
}

// A backend server that restarts under another identifier is listed beside the entry of
// the process before it until that expires. Each list then counted as two restarts, and
// a later identifier of the old process kept the new one from getting requests.
func TestOldEntryAtTheLocalAddressDoesNotCount(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newStoreNode("desk-1")
	n.Step(storeStart, Tick{})
	entry := func(id string, revision, incarnation uint64, state source.InstanceState) source.Entry {
		return source.Entry{ID: id, Revision: revision, Instance: &source.Instance{
			ID: id, Service: "desk", AvailabilityZone: "tanga", State: state, BackendAddress: "10.0.0.1:80", Address: "10.0.0.1:81", Slots: 9, Incarnation: incarnation,
		}}
	}
	listing := storeListing(t, 7)
	listing.Listing.Instances = []source.Entry{entry("i-9", 4, 100, source.InstanceLeaving), entry("i-1", 5, 200, source.InstanceLive)}
	n.Step(storeStart, listing)
	deadline := storeStart.Add(time.Second)
	out := n.Step(storeStart, admission.Arrived{ID: 1, Repeatable: true, Instance: "i-1", Deadline: deadline})
	is.Equal(out.Admission, []admission.Effect{admission.Run{ID: 1}})
	n.Step(storeStart, admission.Reported{ID: 1, RateLimited: true, RateLimit: 3})
	n.Step(storeStart, StoreChanged{Changes: source.Changes{Revision: 6, Instances: []source.Entry{entry("i-9", 6, 100, source.InstanceLeaving)}}})
	state, _, _ := n.Admission()
	is.Equal(*state.RateLimit, 3.0) // the backend server has not changed
	n.Step(storeStart, StoreChanged{Changes: source.Changes{Revision: 7, Instances: []source.Entry{entry("i-0", 7, 300, source.InstanceLive)}}})
	state, _, _ = n.Admission()
	is.True(state.RateLimit == nil)
}

func TestOlderVersionOfTheStoreIsNotEnforced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newStoreNode("desk-1")
	n.Step(storeStart, Tick{})
	n.Step(storeStart, storeListing(t, 7))
	n.Step(storeStart, storeListing(t, 6))
	is.Equal(n.Head().Version, uint64(7))
}

// A reader replies with a delta from which the other proxy builds the same version.
func TestReaderRelaysVersions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reader, other := newStoreNode("desk-1"), newStoreNode("desk-2")
	for _, n := range []*Node{reader, other} {
		n.Step(storeStart, Tick{})
		n.Step(storeStart, storeListing(t, 7))
	}
	request := other.RelayRequest(source.Call{After: 5, Wait: time.Second})
	out := reader.Step(storeStart, RelayReceived{Call: 1, Request: request})
	is.Equal(len(out.Relay), 0) // no change yet
	out = reader.Step(storeStart, StoreChanged{Changes: source.Changes{Revision: 6, Configuration: storeConfiguration(t, 8)}})
	is.Equal(len(out.Relay), 1)
	is.True(!out.Relay[0].Reply.Stale)
	other.Step(storeStart, StoreRelayed{Reader: "i-1", Reply: out.Relay[0].Reply})
	is.Equal(other.dist.HeldHead(), reader.dist.HeldHead())

	// Without a change the reply follows when the wait has elapsed.
	request = other.RelayRequest(source.Call{After: 6, Wait: time.Second})
	reader.Step(storeStart, RelayReceived{Call: 2, Request: request})
	is.Equal(len(reader.Step(storeStart.Add(time.Second), Tick{}).Relay), 1)

	// A reader that loses the store replies at once that it is stale.
	reader.Step(storeStart, RelayReceived{Call: 3, Request: request})
	out = reader.Step(storeStart, StoreFailed{Cause: "refused"})
	is.True(out.Relay[0].Reply.Stale)
	out = other.Step(storeStart, StoreRelayed{Reader: "i-1", Reply: out.Relay[0].Reply})
	is.Equal(out.Store[0].Reader, nil)
}

// A proxy that starts while the store is unreachable becomes ready with the list
// and version of a seed.
func TestStartFromASeed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seed, joining := newStoreNode("desk-1"), newStoreNode("desk-2")
	seed.Step(storeStart, Tick{})
	seed.Step(storeStart, storeListing(t, 7))
	seed.Step(storeStart, StoreFailed{Cause: "silent"})
	cfg := joining.cfg
	cfg.Seeds = []string{"10.0.0.1:90"}
	joining = New(cfg)
	joining.Step(storeStart, Tick{})
	out := joining.Step(storeStart, StoreFailed{Cause: "silent"})
	is.Equal(out.Store[0].Reader.PeerAddress, "10.0.0.1:90")

	request := joining.RelayRequest(out.Store[0])
	reply := seed.Step(storeStart, RelayReceived{Call: 1, Request: request}).Relay[0].Reply
	out = joining.Step(storeStart, StoreRelayed{Reader: "seed", AnyAge: true, Reply: reply})
	is.True(joining.Ready())
	is.Equal(joining.Head().Version, seed.Head().Version)
	is.Equal(joining.Head().Root, seed.Head().Root)
	is.Equal(out.Store[0].Reader, nil) // the next call goes to the store
	is.Equal(out.Store[0].After, uint64(5))
}

// A seed without a configuration version must be rejected: a watch from its
// revision on reports only later versions, so the one already in the store would
// never be read.
func TestSeedWithoutVersionIsRejected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seed, joining := newStoreNode("desk-1"), newStoreNode("desk-2")
	seed.Step(storeStart, Tick{})
	empty := storeListing(t, 7)
	empty.Listing.Configuration = nil
	seed.Step(storeStart, empty)
	joining.Step(storeStart, Tick{})
	joining.Step(storeStart, StoreFailed{Cause: "silent"})
	request := source.RelayRequest{AllowStale: true}
	reply := seed.Step(storeStart, RelayReceived{Call: 1, Request: request}).Relay[0].Reply
	out := joining.Step(storeStart, StoreRelayed{Reader: "seed", AnyAge: true, Reply: reply})
	is.True(!joining.Ready())
	is.True(out.Store[0].List)
}

// A version with the same content as the one before must reach the proxies that follow
// a reader; they would ask again at once without end otherwise.
func TestVersionWithUnchangedContentReachesFollowers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reader, other := newStoreNode("desk-1"), newStoreNode("desk-2")
	for _, n := range []*Node{reader, other} {
		n.Step(storeStart, Tick{})
		n.Step(storeStart, storeListing(t, 7))
	}
	for version := uint64(8); version < 11; version++ {
		c := storeConfiguration(t, version)
		is.Equal(c.Snapshot.Root, other.Head().Root)
		reader.Step(storeStart, StoreChanged{Changes: source.Changes{Revision: version, Configuration: c}})
		request := other.RelayRequest(source.Call{After: 5, Wait: time.Second})
		reply := reader.Step(storeStart, RelayReceived{Call: version, Request: request}).Relay[0].Reply
		other.Step(storeStart, StoreRelayed{Reader: "i-1", Reply: reply})
		is.Equal(other.Head().Version, version)
	}
}

// The journal must name the values of a version that were read strictly, once: the store
// is listed again and again.
func TestWarningsOfAVersionAreNotedOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	n := newStoreNode("desk-1")
	n.Step(storeStart, Tick{})
	listing := storeListing(t, 7)
	listing.Listing.Configuration.Warnings = config.Problems{{File: "test", Key: "routes.scan.kind", Message: `unknown kind "odd"`}}
	noted := 0
	for range 2 {
		for _, e := range n.Step(storeStart, listing).Journal {
			if e.What == "configuration warning" && e.Cause == `test:routes.scan.kind: unknown kind "odd"` {
				noted++
			}
		}
	}
	is.True(n.Ready())
	is.Equal(noted, 1)
}

// A version that cannot be taken is refused whole. A proxy that holds one goes on with
// it; one that holds none is not ready and says why.
func TestRefusedVersionIsNamedAndTheHeldOneStaysInForce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	refused := &source.Configuration{Version: 8, Refused: config.Problems{{File: "test", Key: "routes.scan", Message: `unknown kind "odd"`}}}
	without := newStoreNode("desk-1")
	without.Step(storeStart, Tick{})
	listing := storeListing(t, 7)
	listing.Listing.Configuration = refused
	without.Step(storeStart, listing)
	is.True(!without.Ready())
	is.True(strings.Contains(without.Status().Waiting, `routes.scan: unknown kind "odd"`))
	out := without.Step(storeStart, routing.Arrived{ID: 1, Organisation: "a.example", Method: "GET", Path: "/a/"})
	is.Equal(out.Routing[0].(routing.Refuse).Refusal.Reason, outcome.NoVersion)

	holding := newStoreNode("desk-1")
	holding.Step(storeStart, Tick{})
	holding.Step(storeStart, storeListing(t, 7))
	holding.Step(storeStart, StoreChanged{Changes: source.Changes{Revision: 6, Configuration: refused}})
	is.True(holding.Ready())
	is.Equal(holding.Head().Version, uint64(7))
	s := holding.Status()
	is.Equal(s.Refused, uint64(8))
	is.Equal(s.Problems[0].Key, "routes.scan")
	holding.Step(storeStart, StoreChanged{Changes: source.Changes{Revision: 7, Configuration: storeConfiguration(t, 9)}})
	is.Equal(holding.Head().Version, uint64(9))
	is.Equal(holding.Status().Refused, uint64(0))
}
