package dedupe

import (
	"fmt"
	"slices"
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

// alone returns a state machine that is synced and one of the given peers.
func alone(self string, peers []Peer) *Dedupe {
	d := New(Config{Self: self, Origin: self})
	d.synced, d.recovery.done = true, true
	d.Step(epoch, PeersChanged{Peers: peers})
	return d
}

func decision(effects []Effect) (Decided, bool) {
	for _, e := range effects {
		if decided, ok := e.(Decided); ok {
			return decided, true
		}
	}
	return Decided{}, false
}

// TestAnswerOfAnEarlierTryIsIgnored covers an answer that comes after the claim
// gave its grants back.
func TestAnswerOfAnEarlierTryIsIgnored(t *testing.T) {
	is := is.New(t)
	d := alone("self", []Peer{{ID: "a"}, {ID: "b"}, {ID: "self"}})
	now := epoch
	answer := func(asks []Effect, vote Vote) []Effect {
		var out []Effect
		for _, e := range asks {
			if ask, ok := e.(AskClaim); ok {
				event := ClaimAnswered{ID: 1, From: ask.To, Holder: ask.Request.Holder, Reply: ClaimReply{Vote: vote}}
				out = append(out, d.Step(now, event)...)
			}
		}
		return out
	}
	first := d.Step(now, Claim{ID: 1, Request: "r", Key: "k"})
	answer(first, Seen)
	now = now.Add(time.Second)
	second := d.Step(now, Tick{})
	_, ok := decision(answer(first, Granted)) // duplicates of the first try's answers
	is.True(!ok)
	decided, ok := decision(answer(second, Granted))
	is.True(ok && decided.Granted)
}

// TestFormerOwnersMustGrant covers an owner that left while another cannot be
// reached: the present owners alone must not decide.
func TestFormerOwnersMustGrant(t *testing.T) {
	is := is.New(t)
	peers := []Peer{{ID: "self", AvailabilityZone: "z"}}
	for i := range 6 {
		peers = append(peers, Peer{ID: "p" + strconv.Itoa(i), AvailabilityZone: strconv.Itoa(i % 3)})
	}
	d := alone("self", peers)
	key := d.digest("", "k")
	former := identifiers(owners(key, peers))
	left := former[0]
	if left == "self" {
		left = former[1]
	}
	rest := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.ID == left })
	d.Step(epoch.Add(time.Second), PeersChanged{Peers: rest})
	effects := d.Step(epoch.Add(time.Second), Claim{ID: 1, Request: "1", Key: "k"})
	failed := false
	var last Decided
	for _, e := range effects {
		ask, ok := e.(AskClaim)
		if !ok {
			continue
		}
		answer := ClaimAnswered{ID: 1, From: ask.To, Holder: ask.Request.Holder, Reply: ClaimReply{Vote: Granted}}
		if !failed && slices.Contains(former, ask.To) { // one former owner is out of reach
			failed = true
			answer.Failed = true
		}
		if decided, ok := decision(d.Step(epoch.Add(time.Second), answer)); ok {
			last = decided
		}
	}
	is.True(failed)
	is.True(!last.Granted)
	is.Equal(last.Refusal.Reason, outcome.ClaimFailed)
}

// TestRestartedOwnerAbstains covers the recovery of an owner: it vouches for
// nothing before it has read its peers' grants twice.
func TestRestartedOwnerAbstains(t *testing.T) {
	is := is.New(t)
	d := New(Config{Self: "self"})
	now := epoch
	d.Step(now, PeersChanged{Peers: []Peer{{ID: "other"}, {ID: "self"}}})
	vote := func(key string) Vote {
		effects := d.Step(now, ClaimReceived{Request: ClaimRequest{Key: key, Request: "r", Holder: key}})
		return effects[0].(ReplyClaim).Reply.Vote
	}
	refused, ok := decision(d.Step(now, Claim{ID: 1, Key: "k"}))
	is.True(ok && !refused.Granted) // nor does it claim
	asked := 0
	for i := range 60 {
		now = now.Add(100 * time.Millisecond)
		for _, e := range d.Step(now, Tick{}) {
			if _, ok := e.(AskSync); ok {
				asked++
				is.Equal(vote("new"+strconv.Itoa(i)), Abstained)
				grants := []Grant{{Key: "pass " + strconv.Itoa(asked), Request: "earlier", Ran: true}}
				d.Step(now, SyncAnswered{From: "other", Reply: SyncReply{Grants: grants}})
			}
		}
	}
	is.Equal(asked, syncPasses)
	is.Equal(vote("pass 1"), Seen)
	is.Equal(vote("pass 2"), Seen)
	is.Equal(vote("unheard of"), Granted)
}

// TestGoneOwnerIsReplaced covers the pass of repair: a peer that now owns the
// keys of one that has gone reads their grants.
func TestGoneOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	d := alone("self", []Peer{{ID: "gone"}, {ID: "other"}, {ID: "self"}})
	now := epoch
	d.Step(now, PeersChanged{Peers: []Peer{{ID: "other"}, {ID: "self"}}})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		for _, e := range d.Step(now, Tick{}) {
			if ask, ok := e.(AskSync); ok {
				is.Equal(ask.To, "other")
				d.Step(now, SyncAnswered{From: "other", Reply: SyncReply{Grants: []Grant{{Key: "k", Request: "r"}}}})
			}
		}
	}
	is.Equal(d.vote(now, ClaimRequest{Key: "k", Request: "later"}).Vote, Seen)
}

// TestLateReleaseKeepsTheGrant covers a request that was sent again elsewhere:
// the release of its first attempt must not free the key.
func TestLateReleaseKeepsTheGrant(t *testing.T) {
	is := is.New(t)
	g := newGrants(time.Minute, 10)
	is.Equal(g.claim(epoch, ClaimRequest{Key: "k", Request: "r", Holder: "x"}).Vote, Granted)
	is.Equal(g.claim(epoch, ClaimRequest{Key: "k", Request: "r", Holder: "y"}).Vote, Granted)
	g.settle(epoch, Settlement{Key: "k", Holder: "x"})
	is.Equal(g.claim(epoch, ClaimRequest{Key: "k", Request: "other", Holder: "z"}).Vote, Seen)
}

func TestFullOwnerAbstains(t *testing.T) {
	is := is.New(t)
	g := newGrants(time.Minute, 2)
	for i, want := range []Vote{Granted, Granted, Abstained} {
		key := strconv.Itoa(i)
		is.Equal(g.claim(epoch, ClaimRequest{Key: key, Request: key, Holder: key}).Vote, want)
	}
	is.Equal(g.claim(epoch.Add(2*time.Minute), ClaimRequest{Key: "9", Request: "9"}).Vote, Granted)
}

func TestOwnersStandInDistinctZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var peers []Peer
		for i := range rapid.IntRange(3, 20).Draw(t, "peers") {
			peers = append(peers, Peer{ID: strconv.Itoa(i), AvailabilityZone: strconv.Itoa(i % 3)})
		}
		zones := make(map[string]bool)
		for _, p := range owners(rapid.String().Draw(t, "key"), peers) {
			zones[p.AvailabilityZone] = true
		}
		is.Equal(len(zones), ownersPerKey)
	})
}

func TestKeysSpreadOverInstances(t *testing.T) {
	is := is.New(t)
	var peers []Peer
	for i := range 20 {
		peers = append(peers, Peer{ID: "instance-" + strconv.Itoa(i), AvailabilityZone: strconv.Itoa(i % 4)})
	}
	const keys = 10_000
	owned := make(map[string]int)
	for i := range keys {
		for _, p := range owners(strconv.Itoa(i), peers) {
			owned[p.ID]++
		}
	}
	mean := keys * ownersPerKey / len(peers)
	for _, p := range peers {
		is.True(owned[p.ID] > mean*8/10 && owned[p.ID] < mean*12/10)
	}
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
