package node

import (
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// maxEndedAfterAnswers is the number of backend servers that a crashing request may end if they
// answer it first.
const maxEndedAfterAnswers = 5

// answeringEndings answer the crashing request before they end.
var answeringEndings = []ending{
	{runFor: 20 * time.Millisecond, endsAfter: time.Millisecond, answers: true},
	{runFor: 20 * time.Millisecond, endsAfter: 100 * time.Millisecond, answers: true},
	{runFor: 20 * time.Millisecond, endsAfter: 400 * time.Millisecond, answers: true},
	{runFor: 20 * time.Millisecond, endsAfter: time.Second, answers: true},
}

// A request that is answered before the backend server ends was never suspected, as it was not
// in flight (review/7). Other requests have run for a while, or begin with it.
func TestCrashingRequestThatIsAnsweredIsNotSentOn(t *testing.T) {
	t.Parallel()
	for _, e := range answeringEndings {
		for _, n := range []int{6, 12, 60} {
			for _, warm := range []bool{true, false} {
				f := newCrashFleet(uint64(n), n)
				f.ending = e
				if warm {
					f.startInnocent(35*time.Second, min(4, 150/n))
					f.run(10 * time.Second)
					f.sendCrashing(f.now.Add(20 * time.Second))
				} else {
					f.start(20*time.Second, min(4, 150/n))
				}
				f.run(25 * time.Second)
				t.Logf("end %v after the answer, other requests before: %v", e.endsAfter, warm)
				f.report(t, n)
				if f.ended > maxEndedAfterAnswers {
					t.Errorf("%d backend servers ended, want at most %d", f.ended, maxEndedAfterAnswers)
				}
				if f.late > maxLateSends {
					t.Errorf("%d sends late, want at most %d", f.late, maxLateSends)
				}
				if warm && f.quarantined*1000 > f.innocent {
					t.Errorf("%d of %d innocent requests refused as suspects, want at most one in a thousand", f.quarantined, f.innocent)
				}
			}
		}
	}
}

// history is what became of one request that a caller sends again and again.
type history struct{ served, refused, refusedLate int }

// poll sends a request from one proxy at a pace until the given time. A refusal is late if the
// request was served often before.
func (f *crashFleet) poll(h *history, p *crashProxy, fingerprint uint64, pace time.Duration, until time.Time) {
	const often = 20
	if f.now.After(until) {
		return
	}
	f.call(p, int(fingerprint%crashServices), fingerprint, func(result outcome.Refusal) {
		switch {
		case result.Outcome == outcome.Answered:
			h.served++
		case result.Reason == outcome.Quarantined && h.served >= often:
			h.refusedLate++
		case result.Reason == outcome.Quarantined:
			h.refused++
		}
	})
	f.after(pace/2+f.jitter(pace), func() { f.poll(h, p, fingerprint, pace, until) })
}

// Requests that come again and again while backend servers end for other reasons: 1,000
// histories. None that was served 20 times is refused.
func TestRepeatedRequestsAreServedBesideEnds(t *testing.T) {
	t.Parallel()
	const fleets, callers = 25, 40
	refused, late, served := 0, 0, 0
	for seed := range uint64(fleets) {
		f := newCrashFleet(700+seed, []int{6, 12, 20}[seed%3])
		until := f.now.Add(2 * time.Minute)
		histories := make([]history, callers)
		for i := range histories {
			pace := []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}[i%4]
			f.after(f.jitter(time.Second), func() {
				f.poll(&histories[i], f.random(1)[0], uint64(1000+i), pace, until)
			})
		}
		for f.now.Before(until) {
			f.run(time.Second + f.jitter(2*time.Second))
			f.redeploy(f.random(1)[0])
		}
		for _, h := range histories {
			refused, late, served = refused+h.refused, late+h.refusedLate, served+h.served
		}
	}
	t.Logf("%d served; refused as suspects: %d before they were served 20 times, %d later", served, refused, late)
	if late > 0 {
		t.Errorf("%d refusals of requests that were served 20 times", late)
	}
}
