package forward

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/outcome"
)

// refusalForError maps the error of a failed exchange to the outcome, reason and
// status that are reported to the sender of the request.
func refusalForError(err error) outcome.Refusal {
	r := outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ConnectionLost, Status: http.StatusBadGateway}
	if errors.Is(err, ErrNotSent) {
		r.Outcome, r.Reason, r.Status = outcome.NotRun, outcome.ConnectFailed, http.StatusServiceUnavailable
	}
	if errors.Is(err, errNoConnection) { // not a failure of the instance
		r.Reason = outcome.Overload
	}
	if errors.Is(err, errTooLate) {
		r.Reason = outcome.BackendServerLimited
	}
	if errors.Is(err, ErrMalformedResponse) {
		r.Reason = outcome.MalformedAnswer
	}
	if errors.Is(err, ErrDeadlineExpired) {
		r.Reason, r.Status = outcome.DeadlineExpired, http.StatusGatewayTimeout
	}
	if errors.Is(err, errBody) { // the status stays one that does not exclude a run
		r.Reason = outcome.MalformedRequest
	}
	if errors.Is(err, errWithheld) { // a part of a request is not run
		r.Outcome, r.Reason, r.Status = outcome.NotRun, outcome.InstanceLeaving, http.StatusServiceUnavailable
	}
	if errors.IsAny(err, errNoMemory, errHeldUp) { // not a failure of the instance
		r.Reason, r.Status = outcome.Overload, http.StatusGatewayTimeout
	}
	return r
}
