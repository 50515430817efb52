package dedupe

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/outcome"
)

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
