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

func quarantined(q *Quarantine, now time.Time, fingerprint uint64) bool {
	_, ok := q.Check(now, fingerprint)
	return ok
}

func TestRepeatedCrashesLengthenTheQuarantine(t *testing.T) {
	is := is.New(t)
	q := New(Config{RunID: "a"})
	now := epoch
	effects := q.Step(now, Crashed{Fingerprints: []uint64{1, 2, 3}})
	is.Equal(effects[0].(Publish).Incident.Fingerprints, []uint64{1, 2, 3})
	refusal, ok := q.Check(now, 1)
	is.True(ok)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.Equal(refusal.Reason, outcome.Quarantined)
	is.Equal(refusal.RetryAfter, sharedCrashDuration)
	now = now.Add(sharedCrashDuration)
	is.True(!quarantined(q, now, 1)) // short quarantine for one of several suspects
	q.Step(now, Learnt{Incident{ID: "b/1", Fingerprints: []uint64{1, 9}}})
	now = now.Add(soleSuspectDuration)
	is.True(quarantined(q, now, 1)) // two crashes
	is.True(!quarantined(q, now, 2))
	is.True(!quarantined(q, now, 9))
	now = now.Add(secondCrashDuration)
	is.True(!quarantined(q, now, 1))
	q.Step(now, Learnt{Incident{ID: "c/1", Fingerprints: []uint64{1}}})
	is.True(quarantined(q, now.Add(secondCrashDuration), 1))
}

func TestDuplicateIncidentIsCountedOnce(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	for range 5 {
		q.Step(epoch, Learnt{Incident{ID: "b/1", Fingerprints: []uint64{1, 2}}})
	}
	is.True(!quarantined(q, epoch.Add(sharedCrashDuration), 1))
}

func TestAnsweredRequestsAreNotSuspected(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	q.Step(epoch, FingerprintAnswered{Fingerprint: 1})
	q.Step(epoch, Crashed{Fingerprints: []uint64{1, 2}})
	is.True(!quarantined(q, epoch, 1)) // answered recently
	is.True(quarantined(q, epoch, 2))
	q.Step(epoch, FingerprintAnswered{Fingerprint: 2})
	is.True(!quarantined(q, epoch, 2)) // an answer ends the quarantine
	later := epoch.Add(3 * answeredPeriod)
	q.Step(later, Crashed{Fingerprints: []uint64{1, 2}})
	is.True(quarantined(q, later, 1)) // the answer has expired
}

// TestOnlyReportedFingerprintsAreQuarantined checks with random events that only
// fingerprints of an incident are refused, for less than the maximum duration,
// and that the number of suspects stays within the limit.
func TestOnlyReportedFingerprintsAreQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{MaxSuspects: 5})
		now := epoch
		reported := make(map[uint64]time.Time)
		fingerprints := rapid.SliceOfN(rapid.Uint64Range(0, 30), 1, 6)
		report := func(list []uint64) {
			for _, f := range list {
				reported[f] = now
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"crash": func(t *rapid.T) {
				list := fingerprints.Draw(t, "fingerprints")
				report(list)
				q.Step(now, Crashed{Fingerprints: list})
			},
			"learn": func(t *rapid.T) {
				list := fingerprints.Draw(t, "fingerprints")
				report(list)
				id := strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "incident"))
				q.Step(now, Learnt{Incident{ID: id, Fingerprints: list}})
			},
			"survive": func(t *rapid.T) {
				f := rapid.Uint64Range(0, 30).Draw(t, "fingerprint")
				delete(reported, f)
				q.Step(now, FingerprintAnswered{Fingerprint: f})
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "seconds")) * time.Second)
				q.Step(now, Tick{})
			},
			"": func(t *rapid.T) {
				for fingerprint := range uint64(60) {
					reportedAt, ok := reported[fingerprint]
					if quarantined(q, now, fingerprint) && (!ok || now.Sub(reportedAt) >= maxDuration) {
						t.Fatalf("fingerprint %d is quarantined without a recent incident", fingerprint)
					}
				}
				if n := len(q.State().Suspects); n > 5 {
					t.Fatalf("%d suspects stored, want at most 5", n)
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
