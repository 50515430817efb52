package forward

import "github.com/cockroachdb/errors"

// Errors returned by this package. Use errors.Is to test for them.
var (
	// ErrNotSent marks an exchange of which no byte reached the network.
	ErrNotSent = errors.New("request not sent")
	// errUnreachable marks an ErrNotSent whose connection was refused or could not be
	// opened within dialTimeout.
	errUnreachable = errors.New("cannot connect")
	// errTooLate marks an ErrNotSent whose connection was ready only after the time by
	// which a cold backend server may be sent the request.
	errTooLate = errors.New("too late for a cold backend server")
	// errShuttingDown is the cause of requests that are cancelled at the end of a
	// shutdown.
	errShuttingDown = errors.New("shutting down")
	// ErrConnectionLost marks an exchange whose connection failed after part of
	// the request was sent and before the response was received: its header, and
	// its body if that is buffered to verify it.
	ErrConnectionLost = errors.New("connection lost")
	// ErrDeadlineExpired marks an exchange that failed and whose deadline has
	// passed.
	ErrDeadlineExpired = errors.New("deadline expired")
	// ErrMalformedResponse marks a response that cannot be forwarded: its header
	// is malformed or unexpected, its end cannot be verified, or it belongs to
	// another request.
	ErrMalformedResponse = errors.New("malformed response")
	// errRequestHeaderTooLarge marks a request header above the limit of callers.
	errRequestHeaderTooLarge = errors.New("request header too large")
	// errResponseBody marks a response body that could not be read to its end.
	errResponseBody = errors.New("could not read response body")
	// errNoMemory marks a response that this proxy had no memory for until its deadline.
	errNoMemory = errors.New("no memory for the response in time")
	// errHeldUp marks a response that was held up until its deadline on the way from this
	// proxy to its receiver.
	errHeldUp = errors.New("response held up until its deadline")
	// errNoRoom marks a request for which callers hold too much already.
	errNoRoom = errors.New("no room for the request")
	// errNoConnection marks an ErrNotSent for which this proxy has no connection left.
	errNoConnection = errors.New("no connection left")
	// errWithheld marks an exchange that failed since the end of a streamed body was not sent:
	// the response would not have come before the end of a shutdown. The receiver has not
	// responded.
	errWithheld = errors.New("the end of the body was not sent since this proxy stops")
	// errBody marks a request body that could not be read from its sender.
	errBody = errors.New("could not read request body")
)
