package forward

import "github.com/cockroachdb/errors"

// Errors returned by this package. Use errors.Is to test for them.
var (
	// ErrNotSent marks an exchange of which no byte reached the network.
	ErrNotSent = errors.New("request not sent")
	// ErrConnectionLost marks an exchange whose connection failed after part of
	// the request was sent and before the response header was received.
	ErrConnectionLost = errors.New("connection lost")
	// ErrDeadlineExpired marks an exchange that was ended by its deadline.
	ErrDeadlineExpired = errors.New("deadline expired")
	// ErrMalformedResponse marks a response whose header is malformed or whose end
	// cannot be verified.
	ErrMalformedResponse = errors.New("malformed response")
	// errRequestHeaderTooLarge marks a request header larger than
	// maxRequestHeaderBytes.
	errRequestHeaderTooLarge = errors.New("request header too large")
	// errBody marks a request body that could not be read from its sender.
	errBody = errors.New("could not read request body")
)
