package member

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// validTestRecord returns a valid record with the given ID.
func validTestRecord(id string) Record {
	return Record{
		ID: id, Incarnation: uint64(epoch.UnixNano()), AvailabilityZone: "zone-0", Service: "service-0",
		PeerAddress: "10.0.0.1:1", ForwardAddress: "10.0.0.1:2", Slots: 10,
	}
}

func TestInvalidMessagesAreRefusedAsAWhole(t *testing.T) {
	change := func(f func(r *Record)) Gossip {
		r := validTestRecord("x")
		f(&r)
		return Gossip{From: "peer", Records: []Record{validTestRecord("y"), r}}
	}
	tests := map[string]Gossip{
		"no sender":      {Records: []Record{validTestRecord("y")}},
		"invalid sender": {From: "A\nB", Records: []Record{validTestRecord("y")}},
		"empty id":       change(func(r *Record) { r.ID = "" }),
		"long id":        change(func(r *Record) { r.ID = strings.Repeat("x", 64) }),
		"zone":           change(func(r *Record) { r.AvailabilityZone = "" }),
		"region":         change(func(r *Record) { r.Region = "No Region" }),
		"service":        change(func(r *Record) { r.Service = "../x" }),
		"calls":          change(func(r *Record) { r.Calls = make([]string, maxCalls+1) }),
		"address":        change(func(r *Record) { r.PeerAddress = "example.org:80" }),
		"slots":          change(func(r *Record) { r.Slots = -1 }),
		"seq":            change(func(r *Record) { r.Seq = math.MaxUint64 }),
		"incarnation":    change(func(r *Record) { r.Incarnation = math.MaxUint64 }),
		"version":        change(func(r *Record) { r.Version = math.MaxUint64 }),
		"refused":        change(func(r *Record) { r.Refused = math.MaxUint64 }),
		"state":          change(func(r *Record) { r.State = Partitioned }),
		"negative state": change(func(r *Record) { r.State = -1 }),
		"root": change(func(r *Record) {
			r.Root = "" + "0123456789012345678901234567890123456789012345678901234567890123456789"
		}),
		"too many records":   {From: "peer", Records: make([]Record, maxRecords+1)},
		"too many deltas":    {From: "peer", Deltas: make([]DeltaGroup, maxDeltas+1)},
		"unpaired deltas":    {From: "peer", Records: []Record{validTestRecord("y")}, Deltas: []DeltaGroup{{Keys: []uint64{1}}}},
		"seq of a delta":     {From: "peer", Deltas: []DeltaGroup{{Keys: []uint64{1}, Seqs: []uint64{math.MaxUint64}}}},
		"seq of a suspicion": {From: "peer", Suspicions: []Suspicion{{Seq: math.MaxUint64}}},
		"buckets":            {From: "peer", Buckets: make([]uint64, bucketCount+1)},
		"unpaired digest":    {From: "peer", Digest: &Digest{Keys: []uint64{1}}},
		"bucket of a digest": {From: "peer", Digest: &Digest{Buckets: []int{bucketCount}}},
		"want":               {From: "peer", WantRecords: make([]uint64, maxWant+1)},
		"rumours":            {From: "peer", Rumours: make([]Rumour, maxRumours+1)},
	}
	for name, g := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := New(Config{Self: validTestRecord("self"), Interval: testInterval, SuspectAfter: testSuspectAfter, ForgetAfter: testForgetAfter})
			m.Step(epoch, Tick{})
			hash := m.table.hash
			is.True(stepRefuses(m, Received{Call: 1, Message: g}))
			is.True(stepRefuses(m, Answered{Call: 1, From: g.From, Message: g}))
			is.Equal(m.table.hash, hash)
			is.Equal(len(m.View()), 1)
		})
	}
}

func stepRefuses(m *Members, e Event) bool {
	for _, effect := range m.Step(epoch, e) {
		if _, ok := effect.(ProtocolViolation); ok {
			return true
		}
	}
	return false
}

func TestInvalidRumourIsRefused(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: validTestRecord("self"), Interval: testInterval})
	for _, r := range []Rumour{
		{Key: "", Payload: json.RawMessage("1"), TTL: time.Second},
		{Key: "k", Payload: json.RawMessage("{"), TTL: time.Second},
		{Key: "k", Payload: json.RawMessage("1"), TTL: 2 * MaxRumourTTL},
		{Key: "k", Payload: json.RawMessage("1")},
	} {
		is.True(stepRefuses(m, Received{Message: Gossip{From: "peer", Rumours: []Rumour{r}}}))
	}
	is.Equal(len(m.rumours.held), 0)
}

// TestHighestAcceptedClaimsAreRefuted guards against a claim that its subject
// cannot refute: a peer sends the highest accepted Seq for another instance, alone
// or with the highest accepted Incarnation, and that instance's own record must
// still take precedence.
func TestHighestAcceptedClaimsAreRefuted(t *testing.T) {
	for _, forge := range []func(r *Record, now time.Time){
		func(r *Record, _ time.Time) { r.Seq, r.State = maxSeq, Dead },
		func(r *Record, now time.Time) {
			r.Incarnation, r.Seq = uint64(now.Add(maxClockAhead).UnixNano()), maxSeq
		},
	} {
		n := newConvergedNetwork(t, 12, 12, 3)
		r := n.nodes[4].m.Self()
		forge(&r, n.now)
		n.nodes[0].step(Received{Message: Gossip{From: n.nodes[1].id(), Records: []Record{r}}})
		n.nodes[4].step(versionHeld(3))
		n.awaitConvergence(t, 30*time.Second)
		is.New(t).True(n.seenAs(Alive, n.nodes[4]))
	}
}
