package dedupe

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"
	"heatherlift.example/heatherlift/internal/outcome"
)

// oracle is the reference model: a single table of all keys, updated with each
// decision as it is made.
type oracle struct {
	// grantedTo maps a key to the request that it is granted to. The key of a
	// request that did not run is removed.
	grantedTo map[string]string
	claims    map[string]Claim
	granted   int
	fail      func(string, ...any)
}

func newOracle(fail func(string, ...any)) *oracle {
	return &oracle{grantedTo: make(map[string]string), claims: make(map[string]Claim), fail: fail}
}

// observe records a decision. It fails the test if the key is already granted to
// another request. It settles granted claims within 200 ms, half of them as not
// run, which releases their keys.
func (o *oracle) observe(n *network, inst *instance, e Decided) {
	c := o.claims[inst.id+strconv.FormatUint(e.ID, 10)]
	if !e.Granted {
		return
	}
	o.granted++
	if other, ok := o.grantedTo[c.Key]; ok && other != c.Request {
		o.fail("key %s granted to %s and to %s", c.Key, other, c.Request)
	}
	o.grantedTo[c.Key] = c.Request
	ran := n.rng.Float64() < 0.5
	incarnation := inst.incarnation
	n.after(time.Duration(n.rng.Int64N(int64(200*time.Millisecond))), func() {
		if inst.incarnation != incarnation || !inst.up {
			return // the key stays held: the request may have run
		}
		if !ran && o.grantedTo[c.Key] == c.Request {
			delete(o.grantedTo, c.Key)
		}
		n.step(inst, Settle{ID: e.ID, Ran: ran})
	})
}

var instanceIDs = []string{"a1", "b2", "c3", "d1", "e2"}

func (o *oracle) claim(n *network, id string, number uint64, key string) {
	c := Claim{ID: number, Request: "r" + strconv.FormatUint(number, 10), Organisation: "o", Key: key}
	o.claims[id+strconv.FormatUint(number, 10)] = c
	n.step(n.instances[id], c)
}

// stabilisationTime is the time between two membership changes: long enough to
// detect a failure and for a new instance to read its peers' grants.
const stabilisationTime = detectionTime + maxViewDelay + 2*propagationDelay + 5*time.Second

func TestNoKeyRunsTwice(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(
			rapid.Uint64().Draw(t, "seed"),
			float64(rapid.IntRange(0, 40).Draw(t, "loss"))/100,
			float64(rapid.IntRange(0, 20).Draw(t, "duplicate"))/100,
			instanceIDs...)
		o := newOracle(t.Fatalf)
		n.decided = func(inst *instance, e Decided) { o.observe(n, inst, e) }
		n.run(stabilisationTime)
		number := uint64(0)
		n.every(40*time.Millisecond, func() {
			number++
			key := strconv.Itoa(max(0, int(number)/12-n.rng.IntN(40))) // each key recurs over 480 claims, about 17 s
			o.claim(n, n.members[n.rng.IntN(len(n.members))], number, key)
			if n.rng.IntN(10) == 0 { // a concurrent claim on the same key
				number++
				o.claim(n, n.members[n.rng.IntN(len(n.members))], number, key)
			}
		})
		for i := range 3 {
			n.changeMembership(i)
			n.run(stabilisationTime)
		}
		granted += o.granted
	})
	is.New(t).True(granted > 0)
}

// changeMembership lets one instance join, leave or restart, chosen at random.
func (n *network) changeMembership(i int) {
	victim := n.members[n.rng.IntN(len(n.members))]
	switch n.rng.IntN(3) {
	case 0:
		n.join(fmt.Sprintf("new%d-%d", i, 1+n.rng.IntN(3)))
	case 1:
		n.leave(victim)
	case 2:
		n.restart(victim)
	}
}

// TestSequentialClaimsMatchReference makes claims one at a time, without message
// loss. Each must be granted unless an earlier request with its key has run.
func TestSequentialClaimsMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 0, 0, instanceIDs...)
		var last Decided
		n.decided = func(_ *instance, e Decided) { last = e }
		n.run(stabilisationTime)
		hasRun := make(map[string]bool)
		for number := range uint64(100) {
			if number == 30 {
				n.join("new-2")
				n.run(stabilisationTime)
			}
			if number == 60 {
				n.leave("b2")
				n.run(stabilisationTime)
			}
			inst := n.instances[n.members[n.rng.IntN(len(n.members))]]
			key := strconv.Itoa(n.rng.IntN(20))
			n.step(inst, Claim{ID: number, Request: strconv.FormatUint(number, 10), Key: key})
			n.run(time.Second)
			is.Equal(last.ID, number)
			is.Equal(last.Granted, !hasRun[key])
			if !last.Granted {
				is.Equal(last.Refusal.Reason, outcome.DuplicateKey)
				is.Equal(last.Refusal.Outcome, outcome.Unknown)
				continue
			}
			ran := n.rng.IntN(2) == 0
			hasRun[key] = ran
			n.step(inst, Settle{ID: number, Ran: ran})
			n.run(time.Second)
		}
	})
}

func TestClaimIsRefusedAsNotRunIfOwnersAreUnreachable(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 0, 0, instanceIDs[:3]...)
	var last Decided
	n.decided = func(_ *instance, e Decided) { last = e }
	n.run(stabilisationTime)
	n.instances["b2"].up = false
	n.instances["c3"].up = false
	n.step(n.instances["a1"], Claim{ID: 1, Request: "1", Key: "k"})
	n.run(2 * time.Second)
	is.Equal(last.ID, uint64(1))
	is.True(!last.Granted)
	is.Equal(last.Refusal.Outcome, outcome.NotRun)
	is.Equal(last.Refusal.Reason, outcome.ClaimFailed)
}

func TestFirstInstanceOfAServiceGrants(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 0, 0, "a1")
	var last Decided
	n.decided = func(_ *instance, e Decided) { last = e }
	n.run(firstInstanceTimeout + time.Second)
	n.step(n.instances["a1"], Claim{ID: 1, Request: "1", Key: "k"})
	is.True(last.Granted)
	n.step(n.instances["a1"], Claim{ID: 2, Request: "2", Key: "k"})
	n.run(3 * time.Second)
	is.Equal(last.Refusal.Reason, outcome.DuplicateKey)
	n.step(n.instances["a1"], Settle{ID: 1, Ran: true})
	n.run(defaultWindow + time.Second)
	n.step(n.instances["a1"], Claim{ID: 3, Request: "3", Key: "k"})
	is.True(last.Granted) // the key is free after the window
}

// TestOneOfConflictingClaimsIsGranted guards against concurrent claims that block
// each other: each may get the grants of some owners, and exactly one must be
// granted after the retries.
func TestOneOfConflictingClaimsIsGranted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 0, 0, instanceIDs...)
		granted, decided := 0, 0
		n.decided = func(_ *instance, e Decided) {
			decided++
			if e.Granted {
				granted++
			}
		}
		n.run(stabilisationTime)
		claims := rapid.IntRange(2, 4).Draw(t, "claims")
		for i := range uint64(claims) {
			n.step(n.instances[instanceIDs[i]], Claim{ID: i, Request: strconv.FormatUint(i, 10), Key: "k"})
		}
		n.run(5 * time.Second)
		if granted != 1 || decided != claims {
			t.Fatalf("%d of %d claims granted, %d decided", granted, claims, decided)
		}
	})
}

func BenchmarkClaim(b *testing.B) {
	for _, former := range []int{0, 8, 64} {
		b.Run(strconv.Itoa(former)+" former views", func(b *testing.B) {
			d := New(Config{Self: "p0", MaxGrants: 1 << 30})
			d.synced = true
			var peers []Peer
			for i := range 20 {
				peers = append(peers, Peer{ID: "p" + strconv.Itoa(i), AvailabilityZone: strconv.Itoa(i % 7)})
			}
			for i := range former + 1 {
				d.Step(epoch, PeersChanged{Peers: peers[i%4:]})
			}
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				for _, e := range d.Step(epoch, Claim{ID: id, Request: "r", Key: strconv.FormatUint(id, 10)}) {
					if sent, ok := e.(SendClaim); ok {
						d.Step(epoch, ClaimAnswered{ID: id, From: sent.To, Holder: sent.Request.Holder, Reply: ClaimReply{Vote: Granted}})
					}
				}
				d.Step(epoch, Settle{ID: id})
			}
		})
	}
}
