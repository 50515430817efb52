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

// ledger is the naive shared table: it sees every decision at once.
type ledger struct {
	// holder is the request that may run or has run under a key.
	holder  map[string]string
	claims  map[string]Claim
	granted int
	fail    func(string, ...any)
}

func newLedger(fail func(string, ...any)) *ledger {
	return &ledger{holder: make(map[string]string), claims: make(map[string]Claim), fail: fail}
}

// decided notes a decision; some of the granted requests are not run after
// all, and give their key free.
func (l *ledger) decided(n *network, m *machine, e Decided) {
	c := l.claims[m.id+strconv.FormatUint(e.ID, 10)]
	if !e.Granted {
		return
	}
	l.granted++
	if other, ok := l.holder[c.Key]; ok && other != c.Request {
		l.fail("key %s granted to %s and to %s", c.Key, other, c.Request)
	}
	l.holder[c.Key] = c.Request
	ran := n.rng.Float64() < 0.5
	life := m.start
	n.after(time.Duration(n.rng.Int64N(int64(200*time.Millisecond))), func() {
		if m.start != life || !m.up {
			return // it stays held: the request may have run
		}
		if !ran && l.holder[c.Key] == c.Request {
			delete(l.holder, c.Key)
		}
		n.step(m, Settle{ID: e.ID, Ran: ran})
	})
}

var names = []string{"a1", "b2", "c3", "d1", "e2"}

func (l *ledger) claim(n *network, id string, number uint64, key string) {
	c := Claim{ID: number, Request: "r" + strconv.FormatUint(number, 10), Organisation: "o", Key: key}
	l.claims[id+strconv.FormatUint(number, 10)] = c
	n.step(n.machines[id], c)
}

// calmTime is the time between two changes of the members: long enough for a
// failure to be noticed and a new instance to read its peers' grants.
const calmTime = detectionTime + maxViewLag + 2*settleTime + 5*time.Second

func TestNoKeyRunsTwice(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(
			rapid.Uint64().Draw(t, "seed"),
			float64(rapid.IntRange(0, 40).Draw(t, "loss"))/100,
			float64(rapid.IntRange(0, 20).Draw(t, "duplicate"))/100,
			names...)
		l := newLedger(t.Fatalf)
		n.decided = func(m *machine, e Decided) { l.decided(n, m, e) }
		n.run(calmTime)
		number := uint64(0)
		n.every(40*time.Millisecond, func() {
			number++
			key := strconv.Itoa(max(0, int(number)/12-n.rng.IntN(40))) // keys come again for 20 s
			l.claim(n, n.members[n.rng.IntN(len(n.members))], number, key)
			if n.rng.IntN(10) == 0 { // a conflicting claim at the same time
				number++
				l.claim(n, n.members[n.rng.IntN(len(n.members))], number, key)
			}
		})
		for i := range 3 {
			n.disturb(i)
			n.run(calmTime)
		}
		granted += l.granted
	})
	is.New(t).True(granted > 0)
}

// disturb changes the members by one.
func (n *network) disturb(i int) {
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

// TestAgreesWithSharedTable compares claims one at a time, without loss, with
// a table that all share.
func TestAgreesWithSharedTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 0, 0, names...)
		var last Decided
		n.decided = func(_ *machine, e Decided) { last = e }
		n.run(calmTime)
		table := make(map[string]bool)
		for number := range uint64(100) {
			if number == 30 {
				n.join("new-2")
				n.run(calmTime)
			}
			if number == 60 {
				n.leave("b2")
				n.run(calmTime)
			}
			m := n.machines[n.members[n.rng.IntN(len(n.members))]]
			key := strconv.Itoa(n.rng.IntN(20))
			n.step(m, Claim{ID: number, Request: strconv.FormatUint(number, 10), Key: key})
			n.run(time.Second)
			is.Equal(last.ID, number)
			is.Equal(last.Granted, !table[key])
			if !last.Granted {
				is.Equal(last.Refusal.Reason, outcome.Duplicate)
				is.Equal(last.Refusal.Outcome, outcome.Unknown)
				continue
			}
			ran := n.rng.IntN(2) == 0
			table[key] = ran
			n.step(m, Settle{ID: number, Ran: ran})
			n.run(time.Second)
		}
	})
}

func TestUnreachableOwnersRefuseTruthfully(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 0, 0, names[:3]...)
	var last Decided
	n.decided = func(_ *machine, e Decided) { last = e }
	n.run(calmTime)
	n.machines["b2"].up = false
	n.machines["c3"].up = false
	n.step(n.machines["a1"], Claim{ID: 1, Request: "1", Key: "k"})
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
	n.decided = func(_ *machine, e Decided) { last = e }
	n.run(aloneAfter + time.Second)
	n.step(n.machines["a1"], Claim{ID: 1, Request: "1", Key: "k"})
	is.True(last.Granted)
	n.step(n.machines["a1"], Claim{ID: 2, Request: "2", Key: "k"})
	n.run(3 * time.Second)
	is.Equal(last.Refusal.Reason, outcome.Duplicate)
	n.step(n.machines["a1"], Settle{ID: 1, Ran: true})
	n.run(defaultWindow + time.Second)
	n.step(n.machines["a1"], Claim{ID: 3, Request: "3", Key: "k"})
	is.True(last.Granted) // after the window the key is free
}

// TestConflictingClaimsHaveAWinner covers claims that each get a part of the
// owners: one of them must win in the end.
func TestConflictingClaimsHaveAWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), 0, 0, names...)
		granted, decided := 0, 0
		n.decided = func(_ *machine, e Decided) {
			decided++
			if e.Granted {
				granted++
			}
		}
		n.run(calmTime)
		claims := rapid.IntRange(2, 4).Draw(t, "claims")
		for i := range uint64(claims) {
			n.step(n.machines[names[i]], Claim{ID: i, Request: strconv.FormatUint(i, 10), Key: "k"})
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
					if ask, ok := e.(AskClaim); ok {
						d.Step(epoch, ClaimAnswered{ID: id, From: ask.To, Holder: ask.Request.Holder, Reply: ClaimReply{Vote: Granted}})
					}
				}
				d.Step(epoch, Settle{ID: id})
			}
		})
	}
}
