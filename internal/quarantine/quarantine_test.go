package quarantine

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"
	"heatherlift.example/heatherlift/internal/outcome"
)

var epoch = time.Unix(1_000_000, 0)

func held(q *Quarantine, now time.Time, fingerprint uint64) bool {
	_, ok := q.Check(now, fingerprint)
	return ok
}

func TestSecondCrashLengthensTheQuarantine(t *testing.T) {
	is := is.New(t)
	q := New(Config{Origin: "a"})
	now := epoch
	effects := q.Step(now, Crashed{Fingerprints: []uint64{1, 2, 3}})
	is.Equal(effects[0].(Publish).Incident.Fingerprints, []uint64{1, 2, 3})
	refusal, ok := q.Check(now, 1)
	is.True(ok)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.Equal(refusal.Reason, outcome.Quarantined)
	is.Equal(refusal.RetryAfter, sharedTime)
	now = now.Add(sharedTime)
	is.True(!held(q, now, 1)) // one of several is held only briefly
	q.Step(now, Learnt{Incident{ID: "b/1", Fingerprints: []uint64{1, 9}}})
	now = now.Add(aloneTime)
	is.True(held(q, now, 1)) // two crashes
	is.True(!held(q, now, 2))
	is.True(!held(q, now, 9))
	now = now.Add(repeatedTime)
	is.True(!held(q, now, 1))
	q.Step(now, Learnt{Incident{ID: "c/1", Fingerprints: []uint64{1}}})
	is.True(held(q, now.Add(repeatedTime), 1))
}

func TestIncidentCountsOnce(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	for range 5 {
		q.Step(epoch, Learnt{Incident{ID: "b/1", Fingerprints: []uint64{1, 2}}})
	}
	is.True(!held(q, epoch.Add(sharedTime), 1))
}

func TestAnsweredRequestsAreNoSuspects(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	q.Step(epoch, Survived{Fingerprint: 1})
	q.Step(epoch, Crashed{Fingerprints: []uint64{1, 2}})
	is.True(!held(q, epoch, 1)) // the stock level that everyone asks for
	is.True(held(q, epoch, 2))
	q.Step(epoch, Survived{Fingerprint: 2})
	is.True(!held(q, epoch, 2)) // an answer clears a suspect
	later := epoch.Add(3 * survivorTime)
	q.Step(later, Crashed{Fingerprints: []uint64{1, 2}})
	is.True(held(q, later, 1)) // an old answer speaks for nothing
}

// TestOthersAreNeverHeld: only fingerprints of an incident are refused, for no
// longer than the longest time, and the table stays within its bound.
func TestOthersAreNeverHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Limit: 5})
		now := epoch
		named := make(map[uint64]time.Time)
		fingerprints := rapid.SliceOfN(rapid.Uint64Range(0, 30), 1, 6)
		name := func(list []uint64) {
			for _, f := range list {
				named[f] = now
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				list := fingerprints.Draw(t, "fingerprints")
				name(list)
				q.Step(now, Crashed{Fingerprints: list})
			},
			"learn": func(t *rapid.T) {
				list := fingerprints.Draw(t, "fingerprints")
				name(list)
				id := strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "incident"))
				q.Step(now, Learnt{Incident{ID: id, Fingerprints: list}})
			},
			"survive": func(t *rapid.T) {
				f := rapid.Uint64Range(0, 30).Draw(t, "fingerprint")
				delete(named, f)
				q.Step(now, Survived{Fingerprint: f})
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
				q.Step(now, Tick{})
			},
			"": func(t *rapid.T) {
				for f := range uint64(60) {
					at, ok := named[f]
					if held(q, now, f) && (!ok || now.Sub(at) >= habitualTime) {
						t.Fatalf("fingerprint %d is held", f)
					}
				}
				if n := len(q.State().Suspects); n > 5 {
					t.Fatalf("%d suspects remembered", n)
				}
			},
		})
	})
}

func BenchmarkCheck(b *testing.B) {
	q := New(Config{})
	for i := range uint64(1000) {
		q.Step(epoch, Crashed{Fingerprints: []uint64{i + 1}})
	}
	f := uint64(0)
	for b.Loop() {
		f++
		q.Check(epoch, f)
	}
}
