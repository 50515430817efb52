package forward

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// Noter is implemented by a Core that keeps a log of decisions.
type Noter interface {
	// Note takes a decision about a request. Notable tells that the request
	// did not go as it should. Fields returns pairs of a name and a value; it
	// is called before Note returns, or not at all.
	Note(notable bool, what string, fields func() []any)
}

func note(c Core, notable bool, what string, fields func() []any) {
	if n, ok := c.(Noter); ok {
		n.Note(notable, what, fields)
	}
}

// noteAttempt tells where a request was sent, why, and what came of it.
func (c *entryCall) noteAttempt(d routing.Send, start time.Time, notable bool, fields ...any) {
	note(c.core, notable, "attempt", func() []any {
		w := d.Why
		return append([]any{
			"request", c.dialect.id(c.r),
			"route", d.Route,
			"version", d.Version,
			"attempt", d.Attempt,
			"instance", d.Instance,
			"candidates", w.Candidates,
			"in_flight", w.InFlight,
			"load", w.Load,
			"load_age_ms", w.LoadAge.Milliseconds(),
			"left_ms", d.Deadline.Sub(start).Milliseconds(),
			"took_ms", time.Since(start).Milliseconds(),
		}, fields...)
	})
}

// noteRefusal tells which final answer a request got from this proxy.
func (c *entryCall) noteRefusal(r outcome.Refusal) {
	note(c.core, true, "refused", func() []any {
		return []any{
			"request", c.dialect.id(c.r),
			"organisation", c.organisation,
			"path", c.dialect.path(c.r),
			"outcome", r.Outcome,
			"reason", r.Reason,
			"status", c.dialect.status(r),
			"retry_after_ms", r.RetryAfter.Milliseconds(),
			"age_ms", time.Since(c.began).Milliseconds(),
		}
	})
}

// noteRun tells what became of a request beside the backend server.
func (c *localCall) noteRun(r outcome.Refusal) {
	note(c.core, true, "not served here", func() []any {
		return []any{
			"request", c.dialect.id(c.message.in),
			"instance", c.arrived.Instance,
			"outcome", r.Outcome,
			"reason", r.Reason,
			"held_ms", time.Since(c.began).Milliseconds(),
			"left_ms", time.Until(c.deadline).Milliseconds(),
			"load", c.pressure(),
			"detail", c.detail,
		}
	})
}

func (c *localCall) pressure() float64 {
	if loader, ok := c.core.(Loader); ok {
		return loader.Load()
	}
	return 0
}
