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

// newSynced returns a synced state machine for the instance self of the peers.
func newSynced(self string, peers []Peer) *Dedupe {
	d := New(Config{Self: self, RunID: self})
	d.synced, d.recovery.done = true, true
	d.Step(epoch, PeersChanged{Peers: peers})
	return d
}

func findDecided(effects []Effect) (Decided, bool) {
	for _, e := range effects {
		if decided, ok := e.(Decided); ok {
			return decided, true
		}
	}
	return Decided{}, false
}

// TestReplyToEarlierAttemptIsIgnored guards against counting a grant that was
// released: a reply may arrive after its attempt has ended.
func TestReplyToEarlierAttemptIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newSynced("self", []Peer{{ID: "a"}, {ID: "b"}, {ID: "self"}})
	now := epoch
	answer := func(claims []Effect, vote Vote) []Effect {
		var out []Effect
		for _, e := range claims {
			if sent, ok := e.(SendClaim); ok {
				event := ClaimAnswered{ID: 1, From: sent.To, Holder: sent.Request.Holder, Reply: ClaimReply{Vote: vote}}
				out = append(out, d.Step(now, event)...)
			}
		}
		return out
	}
	first := d.Step(now, Claim{ID: 1, Request: "r", Key: "k"})
	answer(first, Denied)
	now = now.Add(time.Second)
	second := d.Step(now, Tick{})
	_, ok := findDecided(answer(first, Granted)) // duplicate replies to the first attempt
	is.True(!ok)
	decided, ok := findDecided(answer(second, Granted))
	is.True(ok && decided.Granted)
}

// TestFormerOwnersMustGrant guards against a decision by the current owners alone:
// one former owner has left and another cannot be reached, so that the former
// owners have no majority.
func TestFormerOwnersMustGrant(t *testing.T) {
	is := is.New(t)
	peers := []Peer{{ID: "self", AvailabilityZone: "z"}}
	for i := range 6 {
		peers = append(peers, Peer{ID: "p" + strconv.Itoa(i), AvailabilityZone: strconv.Itoa(i % 3)})
	}
	d := newSynced("self", peers)
	key := d.digest("", "k")
	former := peerIDs(owners(key, peers))
	removed := former[0]
	if removed == "self" {
		removed = former[1]
	}
	remaining := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.ID == removed })
	d.Step(epoch.Add(time.Second), PeersChanged{Peers: remaining})
	effects := d.Step(epoch.Add(time.Second), Claim{ID: 1, Request: "1", Key: "k"})
	failed := false
	var last Decided
	for _, e := range effects {
		sent, ok := e.(SendClaim)
		if !ok {
			continue
		}
		answer := ClaimAnswered{ID: 1, From: sent.To, Holder: sent.Request.Holder, Reply: ClaimReply{Vote: Granted}}
		if !failed && slices.Contains(former, sent.To) { // one former owner cannot be reached
			failed = true
			answer.Failed = true
		}
		if decided, ok := findDecided(d.Step(epoch.Add(time.Second), answer)); ok {
			last = decided
		}
	}
	is.True(failed)
	is.True(!last.Granted)
	is.Equal(last.Refusal.Reason, outcome.ClaimFailed)
}

// TestRestartedOwnerAbstains guards against claims granted by an owner that has
// lost its grants in a restart: it must abstain until it has read those of its peers
// twice.
func TestRestartedOwnerAbstains(t *testing.T) {
	is := is.New(t)
	d := New(Config{Self: "self"})
	now := epoch
	d.Step(now, PeersChanged{Peers: []Peer{{ID: "other"}, {ID: "self"}}})
	vote := func(key string) Vote {
		effects := d.Step(now, ClaimReceived{Request: ClaimRequest{Key: key, Request: "r", Holder: key}})
		return effects[0].(ReplyClaim).Reply.Vote
	}
	refused, ok := findDecided(d.Step(now, Claim{ID: 1, Key: "k"}))
	is.True(ok && !refused.Granted) // its own claims fail as well
	asked := 0
	for i := range 60 {
		now = now.Add(100 * time.Millisecond)
		for _, e := range d.Step(now, Tick{}) {
			if _, ok := e.(SendSyncRequest); ok {
				asked++
				is.Equal(vote("new"+strconv.Itoa(i)), Abstained)
				grants := []Grant{{Key: "pass " + strconv.Itoa(asked), Request: "earlier", Ran: true}}
				d.Step(now, SyncAnswered{From: "other", Reply: SyncReply{Grants: grants}})
			}
		}
	}
	is.Equal(asked, syncPasses)
	is.Equal(vote("pass 1"), Denied)
	is.Equal(vote("pass 2"), Denied)
	is.Equal(vote("unused key"), Granted)
}

// TestGrantsOfRemovedOwnerAreRead guards against a loss of grants when an owner
// leaves: the peer that takes over its keys must read the grants from the others.
func TestGrantsOfRemovedOwnerAreRead(t *testing.T) {
	is := is.New(t)
	d := newSynced("self", []Peer{{ID: "gone"}, {ID: "other"}, {ID: "self"}})
	now := epoch
	d.Step(now, PeersChanged{Peers: []Peer{{ID: "other"}, {ID: "self"}}})
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		for _, e := range d.Step(now, Tick{}) {
			if sent, ok := e.(SendSyncRequest); ok {
				is.Equal(sent.To, "other")
				d.Step(now, SyncAnswered{From: "other", Reply: SyncReply{Grants: []Grant{{Key: "k", Request: "r"}}}})
			}
		}
	}
	is.Equal(d.vote(now, ClaimRequest{Key: "k", Request: "later"}).Vote, Denied)
}

// TestLateReleaseKeepsTheGrant covers a request that was retried at another
// instance: the release of the first attempt must not free the key.
func TestLateReleaseKeepsTheGrant(t *testing.T) {
	is := is.New(t)
	g := newGrants(time.Minute, 10)
	is.Equal(g.claim(epoch, ClaimRequest{Key: "k", Request: "r", Holder: "x"}).Vote, Granted)
	is.Equal(g.claim(epoch, ClaimRequest{Key: "k", Request: "r", Holder: "y"}).Vote, Granted)
	g.settle(epoch, Settlement{Key: "k", Holder: "x"})
	is.Equal(g.claim(epoch, ClaimRequest{Key: "k", Request: "other", Holder: "z"}).Vote, Denied)
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

func TestOwnersAreInDistinctZones(t *testing.T) {
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
