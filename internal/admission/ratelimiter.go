package admission

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// rateLimiter holds the rate limit that the backend server names in its responses.
type rateLimiter struct {
	limited   bool
	perSecond float64
	// learntAt is when the latest response that named the limit arrived.
	learntAt time.Time
}

// handleReported records what the backend server states about itself.
func (a *Admission) handleReported(now time.Time, e Reported) {
	r, ok := a.running[e.ID]
	if !ok {
		return
	}
	if e.Invalid {
		a.counters.InvalidReports++
	}
	if e.Leaving {
		a.counters.LeavingReports++
		if !a.reportedLeaving {
			a.reportedLeaving = true
			a.emit(LeavingReported{})
		}
	}
	if e.RateLimited {
		a.counters.RateLimitReports++
		r.namedLimit = true
		a.setRateLimit(now, r, e.RateLimit)
	}
}

// setRateLimit applies the rate limit that the response to r names. Responses may
// arrive out of order: a higher limit applies only if the request started after the
// lower one was learnt.
func (a *Admission) setRateLimit(now time.Time, r *request, perSecond float64) {
	known := a.rate
	if known.limited && perSecond > known.perSecond && r.startedAt.Before(known.learntAt) {
		return
	}
	a.rate = rateLimiter{limited: true, perSecond: perSecond, learntAt: now}
	if !known.limited || known.perSecond != perSecond {
		a.emit(RateLimitChanged{Limited: true, PerSecond: perSecond})
	}
}

// recordUnlimited ends the rate limit if the response to r does not name one. As in
// setRateLimit, the request must have started after the limit was learnt.
func (a *Admission) recordUnlimited(r *request, e Ended) {
	responded := e.Outcome == outcome.Answered || e.Reason == outcome.BackendServerShed
	if !responded || r.namedLimit || !a.rate.limited || r.startedAt.Before(a.rate.learntAt) {
		return
	}
	a.rate = rateLimiter{}
	a.emit(RateLimitChanged{})
}
