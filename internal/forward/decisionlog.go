package forward

import (
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// DecisionLogger is implemented by a Core that keeps a decision log.
type DecisionLogger interface {
	// LogDecision records a decision about a request. The argument notable is
	// set when the request was refused, failed or was retried. The function
	// fields returns alternating names and values; it is called before
	// LogDecision returns, or not at all.
	LogDecision(notable bool, event string, fields func() []any)
}

func logDecision(c Core, notable bool, event string, fields func() []any) {
	if n, ok := c.(DecisionLogger); ok {
		n.LogDecision(notable, event, fields)
	}
}

// logAttempt logs the chosen instance, the inputs of the choice and the result
// of an attempt.
func (c *callerRequest) logAttempt(d routing.Send, start time.Time, notable bool, fields ...any) {
	logDecision(c.core, notable, "attempt", func() []any {
		choice := d.Choice
		if choice.Estimate != (routing.Estimate{}) {
			fields = append(choice.Estimate.LogFields(), fields...)
		}
		return append([]any{
			"request", c.dialect.RequestID(c.r),
			"route", d.Route,
			"version", d.Version,
			"attempt", d.Attempt,
			"call", c.call,
			"instance", d.Instance,
			"candidates", choice.Candidates,
			"in_flight", choice.InFlight,
			"load", choice.Load,
			"load_age_ms", choice.LoadAge.Milliseconds(),
			"fingerprint", strconv.FormatUint(c.fingerprint, 16),
			"left_ms", d.Deadline.Sub(start).Milliseconds(),
			"target_ms", timeToTarget(d, start).Milliseconds(),
			"took_ms", time.Since(start).Milliseconds(),
		}, fields...)
	})
}

// timeToTarget returns the time from the start of an attempt until the target of its
// request, 0 if it has none.
func timeToTarget(d routing.Send, start time.Time) time.Duration {
	if d.Target.IsZero() {
		return 0
	}
	return d.Target.Sub(start)
}

// logRefusal logs the refusal that is the final response to a request.
func (c *callerRequest) logRefusal(r outcome.Refusal) {
	logDecision(c.core, true, "refused", func() []any {
		return []any{
			"request", c.dialect.RequestID(c.r),
			"organisation", c.organisation,
			"path", c.dialect.path(c.r),
			"call", c.call,
			"fingerprint", strconv.FormatUint(c.fingerprint, 16),
			"outcome", r.Outcome,
			"reason", r.Reason,
			"status", c.dialect.refusalStatus(r),
			"retry_after_ms", r.RetryAfter.Milliseconds(),
			"age_ms", time.Since(c.startedAt).Milliseconds(),
		}
	})
}

// logNotServed logs a request that was not served by the local backend server.
func (c *backendRequest) logNotServed(r outcome.Refusal) {
	logDecision(c.core, true, "not served here", func() []any {
		return []any{
			"request", c.dialect.RequestID(c.outgoing.in),
			"instance", c.arrived.Instance,
			"fingerprint", strconv.FormatUint(c.arrived.Fingerprint, 16),
			"outcome", r.Outcome,
			"reason", r.Reason,
			"held_ms", time.Since(c.startedAt).Milliseconds(),
			"left_ms", time.Until(c.deadline).Milliseconds(),
			"load", c.currentLoad(),
			"detail", c.detail,
		}
	})
}

// logTruncation logs a response of the local backend server to another proxy that was aborted
// because its body did not end properly. The other proxy only learns that it was.
func (b backendResult) logTruncation() {
	if b.exchange.truncation == nil {
		return
	}
	c := b.request
	logDecision(c.core, true, "response cut", func() []any {
		return []any{
			"request", c.dialect.RequestID(c.outgoing.in),
			"instance", c.arrived.Instance,
			"status", b.exchange.Response.StatusCode,
			"left_ms", time.Until(c.deadline).Milliseconds(),
			"detail", b.exchange.truncation.Error(),
		}
	})
}

func (c *backendRequest) currentLoad() float64 {
	if reporter, ok := c.core.(LoadReporter); ok {
		return reporter.BackendLoad()
	}
	return 0
}
