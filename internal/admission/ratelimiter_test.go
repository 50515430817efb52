package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/outcome"
)

// newWarmHarness returns a harness whose backend server runs slots requests at once.
func newWarmHarness(slots int) *harness {
	h := newHarness(Config{Slots: slots, QueueLength: 50})
	h.step(Assigned{Slots: slots, Restarted: true})
	return h
}

// report delivers a response to the request that names a rate limit, and ends it.
func (h *harness) report(id uint64, perSecond float64) {
	h.step(Reported{ID: id, RateLimited: true, RateLimit: perSecond})
	h.end(id, outcome.Answered, "")
}

// rateLimit returns the rate limit in force, -1 if there is none.
func (h *harness) rateLimit() float64 {
	if limit := h.admission.State(h.now).RateLimit; limit != nil {
		return *limit
	}
	return -1
}

// A response without a limit, or with a higher one, that was sent before the limit was
// named must not end it.
func TestRateLimitIsNotRaisedByAnEarlierResponse(t *testing.T) {
	is := is.New(t)
	h := newWarmHarness(4)
	first, _ := h.arrive("1", 0)
	second, _ := h.arrive("2", 0)
	third, _ := h.arrive("3", 0)
	h.now = h.now.Add(time.Second)
	h.report(first, 50)
	is.Equal(h.rateLimit(), 50.0)
	h.report(second, 80)
	is.Equal(h.rateLimit(), 50.0)
	h.end(third, outcome.Answered, "")
	is.Equal(h.rateLimit(), 50.0)

	h.now = h.now.Add(time.Second)
	fourth, _ := h.arrive("4", 0)
	fifth, _ := h.arrive("5", 0)
	h.now = h.now.Add(time.Second)
	h.report(fourth, 80)
	is.Equal(h.rateLimit(), 80.0)
	h.report(fifth, 20) // a lower one applies at once
	is.Equal(h.rateLimit(), 20.0)
}

func TestRateLimitEndsWithTheFirstLaterResponseWithoutIt(t *testing.T) {
	for _, e := range []Ended{{Outcome: outcome.Answered}, {Outcome: outcome.NotRun, Reason: outcome.BackendServerShed}} {
		is := is.New(t)
		h := newWarmHarness(4)
		id, _ := h.arrive("1", 0)
		h.report(id, 50)
		for _, lost := range []Ended{{Outcome: outcome.Unknown, Reason: outcome.ConnectionLost}, {Outcome: outcome.NotRun, Reason: outcome.OtherInstance}} {
			h.now = h.now.Add(time.Second)
			id, _ = h.arrive("2", 0)
			h.end(id, lost.Outcome, lost.Reason)
			is.Equal(h.rateLimit(), 50.0) // not a response of this backend server
		}
		h.now = h.now.Add(time.Second)
		id, _ = h.arrive("3", 0)
		h.end(id, e.Outcome, e.Reason)
		is.Equal(h.rateLimit(), -1.0)
	}
}

func TestRateLimitEndsWithTheBackendServer(t *testing.T) {
	is := is.New(t)
	h := newWarmHarness(4)
	id, _ := h.arrive("1", 0)
	h.step(Reported{ID: id, RateLimited: true, RateLimit: 5, Leaving: true})
	is.Equal(h.rateLimit(), 5.0)
	is.True(h.admission.State(h.now).ReportedLeaving)
	h.step(Assigned{Slots: 4})
	is.Equal(h.rateLimit(), 5.0)
	h.step(Assigned{Slots: 4, Restarted: true})
	is.Equal(h.rateLimit(), -1.0)
	is.True(!h.admission.State(h.now).ReportedLeaving)
}

// arriveIn adds a request with a deadline after budget, and returns its ID and its
// refusal, if any.
func (h *harness) arriveIn(budget time.Duration, patience float64) (uint64, *outcome.Refusal) {
	h.lastID++
	effects := h.step(Arrived{
		ID: h.lastID, Repeatable: true, Route: "r", Patience: patience, Target: h.now.Add(budget / 2), Deadline: h.now.Add(budget),
	})
	for _, e := range effects {
		if r, ok := e.(Refuse); ok && r.ID == h.lastID {
			return h.lastID, &r.Refusal
		}
	}
	return h.lastID, nil
}

// limit has the backend server name a limit.
func (h *harness) limit(perSecond float64) {
	id, _ := h.arrive("limit", 0)
	h.report(id, perSecond)
}

// Requests start only as the limit allows, at the time for which WakeAt asks.
func TestWaitingRequestsStartWithTheTokens(t *testing.T) {
	is := is.New(t)
	h := newWarmHarness(20)
	h.limit(10)
	var wake time.Time
	started := 0
	count := func(effects []Effect) {
		for _, e := range effects {
			switch e := e.(type) {
			case Run:
				started++
			case WakeAt:
				wake = e.At
			}
		}
	}
	for range 10 {
		h.lastID++
		count(h.step(Arrived{ID: h.lastID, Repeatable: true, Deadline: h.now.Add(time.Minute)}))
	}
	is.Equal(started, 0) // a new limit starts without tokens
	for n := 1; n <= 10; n++ {
		is.Equal(wake.Sub(h.now).Round(time.Millisecond), 100*time.Millisecond)
		h.now = wake
		count(h.step(Tick{}))
		is.Equal(started, n)
	}
}

// What the limit does not let start in time is refused at once, and a caller that comes
// back after Retry-After is served.
func TestRequestBeyondTheLimitIsRefusedAtOnceWithATrueRetryAfter(t *testing.T) {
	is := is.New(t)
	h := newWarmHarness(4)
	h.limit(2)
	_, refusal := h.arriveIn(300*time.Millisecond, 0) // the first token comes after 500 ms
	is.True(refusal != nil)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.Equal(refusal.Reason, outcome.BackendServerLimited)
	h.now = h.now.Add(refusal.RetryAfter)
	_, refusal = h.arriveIn(300*time.Millisecond, 0)
	is.True(refusal == nil)
	running, _ := h.admission.InFlight()
	is.Equal(running, 1)
}

// Callers that are refused together and come back when they were told find a token each,
// instead of being refused again all but one.
func TestCallersRefusedTogetherAreServedWhenTheyComeBack(t *testing.T) {
	is := is.New(t)
	const budget = 300 * time.Millisecond
	h := newHarness(Config{Slots: 20, QueueLength: 50, MinRetryAfter: 100 * time.Millisecond})
	h.step(Assigned{Slots: 20, Restarted: true})
	h.limit(10)
	var returns []time.Time
	for range 40 {
		if _, refusal := h.arriveIn(budget, 0); refusal != nil {
			is.Equal(refusal.Reason, outcome.BackendServerLimited)
			returns = append(returns, h.now.Add(refusal.RetryAfter))
		}
	}
	slices.SortFunc(returns, time.Time.Compare)
	refusedAgain := 0
	for _, at := range returns {
		for h.now = h.now.Add(10 * time.Millisecond); h.now.Before(at); h.now = h.now.Add(10 * time.Millisecond) {
			for _, e := range h.step(Tick{}) {
				if run, ok := e.(Run); ok {
					h.report(run.ID, 10)
				}
			}
		}
		if _, refusal := h.arriveIn(budget, 0); refusal != nil {
			refusedAgain++
		}
	}
	is.True(len(returns) > 30)
	is.True(refusedAgain*10 <= len(returns)) // nine in ten are served
}

// A request that has other instances to try is passed on for the limit, unless its token
// comes soon.
func TestOfferedRequestIsPassedOnForTheLimit(t *testing.T) {
	is := is.New(t)
	h := newWarmHarness(4)
	h.limit(2)
	_, refusal := h.arriveIn(2*time.Second, 0.25) // it would wait 500 ms of 1 s
	is.True(refusal != nil)
	is.Equal(refusal.Reason, outcome.BackendServerLimited)
	h.now = h.now.Add(400 * time.Millisecond)
	_, refusal = h.arriveIn(2*time.Second, 0.25)
	is.True(refusal == nil)
}

// A limit that is named while requests wait refuses those that it does not let start in
// time, and no others.
func TestLimitNamedToALongQueueRefusesWhatItCannotServe(t *testing.T) {
	is := is.New(t)
	h := newWarmHarness(1)
	first, _ := h.arriveIn(time.Second, 0)
	for range 20 {
		_, refusal := h.arriveIn(time.Second, 0)
		is.True(refusal == nil)
	}
	h.step(Reported{ID: first, RateLimited: true, RateLimit: 5})
	refused := 0
	for _, e := range h.step(Tick{}) {
		if r, ok := e.(Refuse); ok {
			is.Equal(r.Refusal.Reason, outcome.BackendServerLimited)
			refused++
		}
	}
	is.Equal(refused, 15) // 5 may start within the second
}

// A restarted proxy keeps to the limit that the senders of requests have learnt, until the
// backend server has responded.
func TestRestartedProxyAdoptsTheLimitOfSenders(t *testing.T) {
	is := is.New(t)
	h := newWarmHarness(4)
	send := func(limit float64) uint64 {
		h.lastID++
		h.step(Arrived{ID: h.lastID, Repeatable: true, Deadline: h.now.Add(time.Minute), RateLimited: limit >= 0, RateLimit: limit})
		return h.lastID
	}
	id := send(20)
	is.Equal(h.rateLimit(), 20.0)
	send(30)
	is.Equal(h.rateLimit(), 20.0)
	send(10)
	is.Equal(h.rateLimit(), 10.0)
	running, _ := h.admission.InFlight()
	is.Equal(running, 0)
	h.now = h.now.Add(time.Second)
	h.step(Tick{})
	h.report(id, 50)
	is.Equal(h.rateLimit(), 50.0)
	send(5) // older than the response
	is.Equal(h.rateLimit(), 50.0)
}

// In any window the backend server gets no more than its limits allow and a small burst,
// whatever arrives, and however late the timers are.
func TestStartsKeepToTheLimitInAnyWindow(t *testing.T) {
	const window, slack = 4 * time.Second, 5
	rapid.Check(t, func(t *rapid.T) {
		h := newWarmHarness(50)
		h.limit(1)
		type span struct {
			from, to time.Time
			limit    float64
		}
		var spans []span
		var starts []time.Time
		var running []uint64
		count := func(effects []Effect) {
			for _, e := range effects {
				if run, ok := e.(Run); ok {
					starts = append(starts, h.now)
					running = append(running, run.ID)
				}
			}
		}
		for range 200 {
			from := h.now
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			spans = append(spans, span{from, h.now, max(minRate, h.rateLimit())})
			count(h.step(Tick{}))
			for range rapid.IntRange(0, 20).Draw(t, "arrivals") {
				h.lastID++
				count(h.step(Arrived{ID: h.lastID, Repeatable: true, Deadline: h.now.Add(10 * time.Second)}))
			}
			next := rapid.SampledFrom([]float64{0, 0.3, 1, 8, 23.4, 100}).Draw(t, "limit")
			for len(running) > rapid.IntRange(0, 10).Draw(t, "running") {
				id := running[0]
				running = running[1:]
				count(h.step(Reported{ID: id, RateLimited: true, RateLimit: next}))
				count(h.step(Ended{ID: id, Outcome: outcome.Answered}))
			}
			n, allowed := 0, float64(slack)
			begin := h.now.Add(-window)
			for _, at := range starts {
				if at.After(begin) {
					n++
				}
			}
			for _, s := range spans {
				if s.to.After(begin) {
					allowed += s.limit * min(s.to.Sub(begin), s.to.Sub(s.from)).Seconds()
				}
			}
			if float64(n) > allowed {
				t.Fatalf("%d starts in %v, %.1f allowed", n, window, allowed)
			}
		}
	})
}
