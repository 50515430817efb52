package forward

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/outcome"
)

// refusalForError returns the refusal for a request whose exchange failed with
// err.
func refusalForError(err error) outcome.Refusal {
	r := outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.ConnectionLost, Status: http.StatusBadGateway}
	if errors.Is(err, ErrNotSent) {
		r.Outcome, r.Reason, r.Status = outcome.NotRun, outcome.ConnectFailed, http.StatusServiceUnavailable
	}
	if errors.Is(err, ErrMalformedResponse) {
		r.Reason = outcome.MalformedAnswer
	}
	if errors.Is(err, ErrDeadlineExpired) {
		r.Reason, r.Status = outcome.DeadlineExpired, http.StatusGatewayTimeout
	}
	return r
}
