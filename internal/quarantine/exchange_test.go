package quarantine

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// sends returns the messages sent by a step.
func sends(effects []Effect) []Send {
	var list []Send
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			list = append(list, s)
		}
	}
	return list
}

func addresses(n int) []string {
	var list []string
	for i := range n {
		list = append(list, strconv.Itoa(i))
	}
	return list
}

// joined returns a state machine with n peers, one of which has answered.
func joined(n int) *Quarantine {
	q := New(Config{Seed: uint64(n)})
	for _, s := range sends(q.Step(epoch, PeersChanged{Addresses: addresses(n)})) {
		q.Step(epoch, Replied{Send: s})
	}
	return q
}

func TestCrashIsToldToSomePeersAtOnce(t *testing.T) {
	is := is.New(t)
	q := joined(10)
	list := sends(crash(q, epoch, 7))
	is.Equal(len(list), pushFanout)
	for _, s := range list {
		is.Equal(s.Message.Evidence, []Evidence{{Fingerprint: 7, Crashes: 1}})
	}
	is.Equal(len(sends(crash(q, epoch.Add(pushInterval/2), 8))), 0) // told together with later ones
	list = sends(q.Step(epoch.Add(pushInterval), Tick{}))
	is.Equal(list[0].Message.Evidence, []Evidence{{Fingerprint: 8, Crashes: 1, AgeMs: 12}})
}

func TestLearntCrashIsPassedOnOnce(t *testing.T) {
	is := is.New(t)
	q := joined(10)
	e := Received{Call: 5, Message: Message{Evidence: []Evidence{{Fingerprint: 7, Crashes: 2}}}}
	effects := q.Step(epoch, e)
	is.Equal(len(sends(effects)), pushFanout)
	is.True(quarantined(q, epoch, 7))
	recorded, ok := effectOf[Recorded](effects)
	is.True(ok)
	is.True(!recorded.Local)
	effects = q.Step(epoch.Add(time.Second), e)
	is.Equal(len(sends(effects)), 0)
	reply, ok := effectOf[Reply](effects)
	is.True(ok)
	is.Equal(reply.Call, uint64(5))
}

func TestFailedPushGoesToAnotherPeer(t *testing.T) {
	is := is.New(t)
	q := joined(3)
	s := sends(crash(q, epoch, 7))[0]
	retry := sends(q.Step(epoch, Failed{Send: s}))
	is.Equal(len(retry), 1)
	is.True(retry[0].Address != s.Address)
	is.Equal(retry[0].Message, s.Message)
	retry = sends(q.Step(epoch, Failed{Send: retry[0]}))
	is.Equal(len(sends(q.Step(epoch, Failed{Send: retry[0]}))), 0) // bounded
}

// A proxy that starts knows nothing; it must learn before the next send reaches it.
func TestStartedProxyAsksUntilAPeerAnswers(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	asked := sends(q.Step(epoch, PeersChanged{Addresses: addresses(10)}))
	is.Equal(len(asked), joinPeers)
	for _, s := range asked {
		q.Step(epoch, Failed{Send: s})
	}
	asked = sends(q.Step(epoch.Add(compareInterval), Tick{}))
	is.Equal(len(asked), joinPeers)
	other := New(Config{})
	crash(other, epoch, 7)
	crash(other, epoch, 7)
	reply, _ := effectOf[Reply](other.Step(epoch.Add(compareInterval), Received{Message: asked[0].Message}))
	q.Step(epoch.Add(compareInterval), Replied{Send: asked[0], Reply: reply.Message})
	is.True(quarantined(q, epoch.Add(compareInterval), 7))

	lone := New(Config{})
	lone.Step(epoch, PeersChanged{Addresses: addresses(2)})
	is.Equal(len(sends(lone.Step(epoch.Add(joinLimit), Tick{}))), 0) // it does not ask for ever
}

func TestNothingIsSentWithoutSuspects(t *testing.T) {
	is := is.New(t)
	q := joined(10)
	for i := range 100 {
		answer(q, epoch, uint64(i))
		is.Equal(len(sends(q.Step(epoch.Add(time.Duration(i)*time.Second), Tick{}))), 0)
	}
}

func TestPeerWithoutBackendServerIsToldForAWhile(t *testing.T) {
	is := is.New(t)
	q := joined(2)
	q.Step(epoch.Add(peerRetention), PeersChanged{Addresses: []string{"1"}})
	is.Equal(q.State().Peers, 2)
	q.Step(epoch.Add(peerRetention+1), PeersChanged{Addresses: []string{"1"}})
	is.Equal(q.State().Peers, 1)
}

func TestInvalidEvidenceIsIgnored(t *testing.T) {
	is := is.New(t)
	for _, e := range []Evidence{
		{Crashes: 2},
		{Fingerprint: 1},
		{Fingerprint: 1, Crashes: maxCrashes + 1},
		{Fingerprint: 1, Crashes: 2, Answered: 3},
		{Fingerprint: 1, Crashes: 2, AgeMs: -1},
		{Fingerprint: 1, Crashes: 2, AgeMs: maxLifetime.Milliseconds() + 1},
	} {
		q := joined(2)
		q.Step(epoch, Received{Message: Message{Evidence: []Evidence{e}}})
		is.Equal(len(q.State().Suspects), 0)
		is.Equal(q.State().Counters.Invalid, uint64(1))
	}
}

func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	q := joined(10)
	for f := range uint64(2 * maxEvidence) {
		crash(q, epoch, f+1)
		crash(q, epoch, f+1)
	}
	is.True(len(q.exchange.pending) <= maxPending)
	reply, _ := effectOf[Reply](q.Step(epoch, Received{Message: Message{}}))
	is.Equal(len(reply.Message.Evidence), maxEvidence)
	for _, s := range sends(q.Step(epoch.Add(time.Second), Tick{})) {
		is.True(len(s.Message.Evidence) <= maxEvidence)
	}
}

// TestEvidenceConvergesInAnyOrder checks that two proxies that receive the same
// evidence in different orders, and repeatedly, know the same.
func TestEvidenceConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evidence := rapid.Custom(func(t *rapid.T) Evidence {
			crashes := rapid.Uint32Range(1, 5).Draw(t, "crashes")
			return Evidence{
				Fingerprint: rapid.Uint64Range(1, 4).Draw(t, "fingerprint"), Crashes: crashes,
				Answered: rapid.Uint32Range(0, crashes).Draw(t, "answered"),
			}
		})
		list := rapid.SliceOfN(evidence, 1, 20).Draw(t, "evidence")
		shuffled := append(rapid.Permutation(list).Draw(t, "order"), list[0])
		a, b := New(Config{Seed: 1}), New(Config{Seed: 2})
		for _, e := range list {
			a.Step(epoch, Received{Message: Message{Evidence: []Evidence{e}}})
		}
		for _, e := range shuffled {
			b.Step(epoch, Received{Message: Message{Evidence: []Evidence{e}}})
		}
		if a.digest(epoch) != b.digest(epoch) {
			t.Fatalf("digests differ: %v and %v", a.State().Suspects, b.State().Suspects)
		}
		if !slices.Equal(a.repeatedCrashes(epoch), b.repeatedCrashes(epoch)) {
			t.Fatal("suspects differ")
		}
	})
}

// TestOneComparisonMakesTwoProxiesEqual checks the exchange after a partition: either
// side may know what the other does not.
func TestOneComparisonMakesTwoProxiesEqual(t *testing.T) {
	is := is.New(t)
	a, b := joined(1), joined(1)
	for range 2 {
		crash(a, epoch, 1)
		crash(b, epoch, 2)
	}
	crash(a, epoch, 3)
	now := epoch.Add(time.Minute)
	queue := sends(a.Step(now, Tick{}))[:1]
	exchanged := 0
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		exchanged++
		reply, _ := effectOf[Reply](b.Step(now, Received{Message: s.Message}))
		for _, next := range sends(a.Step(now, Replied{Send: s, Reply: reply.Message})) {
			if next.Message.Full {
				queue = append(queue, next)
			}
		}
	}
	is.Equal(exchanged, 2)
	is.Equal(a.digest(now), b.digest(now))
	is.Equal(b.Known(1), uint32(2))
	is.Equal(a.Known(2), uint32(2))
}
