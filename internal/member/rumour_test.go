package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1_700_000_000, 0)

func rumour(key string, ttl time.Duration) Rumour {
	return Rumour{Key: key, Payload: json.RawMessage(`{"n":1}`), TTL: ttl}
}

func TestRumourTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := newRumours()
	big := json.RawMessage(fmt.Sprintf("\"%01000d\"", 1))
	for i := range 2 * MaxRumours {
		table.add(epoch, Rumour{Key: fmt.Sprint("k", i), Payload: big, TTL: time.Minute}, false)
	}
	is.True(len(table.held) <= MaxRumours)
	is.True(table.bytes <= MaxRumoursBytes)
	is.Equal(table.dropped, uint64(2*MaxRumours-len(table.held)))
	is.Equal(table.held[len(table.held)-1].Key, fmt.Sprint("k", 2*MaxRumours-1)) // the oldest are evicted
	table.expire(epoch.Add(time.Minute))
	is.Equal(len(table.held), 0)
	is.Equal(table.bytes, 0)
	is.Equal(table.hash, uint64(0))
}

func TestKeysOfShortRumoursAreBounded(t *testing.T) {
	is := is.New(t)
	table := newRumours()
	table.add(epoch, rumour("long", time.Hour), false)
	for i := range 20 * MaxRumours {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		table.expire(now)
		table.add(now, rumour(fmt.Sprint("k", i), 10*time.Millisecond), false)
	}
	is.True(len(table.known) <= MaxRumours+maxKnownRumours)
	is.Equal(len(table.known), len(table.keyOrder))
	_, again := table.add(epoch.Add(time.Minute), rumour("long", time.Hour), false)
	is.True(!again) // the key of a held rumour is not evicted
}

func TestCopyReadAfterAPauseIsNotForwarded(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: validTestRecord("self"), Interval: testInterval, SuspectAfter: testSuspectAfter, ForgetAfter: testForgetAfter})
	m.Step(epoch, Tick{})
	resumed := epoch.Add(time.Minute)
	late := Gossip{From: "peer", Rumours: []Rumour{rumour("k", time.Minute)}}
	m.Step(resumed, Received{Message: late})
	is.Equal(len(m.rumours.held), 1) // stored, but not forwarded
	is.Equal(m.rumours.hash, uint64(0))
	is.Equal(len(m.queue.bySubject), 1) // only this instance's record
	fresh := Gossip{From: "peer", Rumours: []Rumour{rumour("k", time.Second)}}
	now := resumed.Add(testInterval)
	m.Step(now, Received{Message: fresh})
	is.Equal(m.rumours.held[0].expires, now.Add(time.Second))
	is.True(m.rumours.hash != 0)
}

func TestCopyReadBeforeTheFirstTickIsNotForwarded(t *testing.T) {
	is := is.New(t)
	m := New(Config{Self: validTestRecord("self"), Interval: testInterval, SuspectAfter: testSuspectAfter, ForgetAfter: testForgetAfter})
	m.Step(epoch, Received{Message: Gossip{From: "peer", Rumours: []Rumour{rumour("k", time.Minute)}}})
	m.Step(epoch, Tick{})
	m.Step(epoch, Received{Message: Gossip{From: "peer", Rumours: []Rumour{rumour("l", time.Minute)}}})
	is.Equal(len(m.rumours.held), 2)
	is.Equal(m.rumours.hash, uint64(0))
}

func TestLateCopyOfAnExpiredRumourIsNotNew(t *testing.T) {
	is := is.New(t)
	table := newRumours()
	_, first := table.add(epoch, rumour("k", time.Second), false)
	is.True(first)
	late := epoch.Add(time.Second)
	table.expire(late)
	_, again := table.add(late, rumour("k", time.Millisecond), false)
	is.True(!again)
	later := late.Add(expiredKeyRetention)
	table.expire(later)
	_, again = table.add(later, rumour("k", time.Second), false)
	is.True(again)
}
