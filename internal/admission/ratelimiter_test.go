package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

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
	h := newHarness(Config{Slots: 4, QueueLength: 10})
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
		h := newHarness(Config{Slots: 4, QueueLength: 10})
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
	h := newHarness(Config{Slots: 4, QueueLength: 10})
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
