package forward

import "github.com/cockroachdb/errors"

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrNotSent marks an exchange of which no byte reached the network.
	ErrNotSent = errors.New("request not sent")
	// ErrLost marks an exchange whose connection failed after bytes of the
	// request had been sent and before the answer's header came.
	ErrLost = errors.New("connection lost")
	// ErrExpired marks an exchange that its deadline ended.
	ErrExpired = errors.New("deadline expired")
	// ErrBadAnswer marks an answer whose end cannot be verified or whose
	// header is malformed.
	ErrBadAnswer = errors.New("malformed answer")
	// errHeadTooLarge marks a caller's head beyond maxHeaderBytes.
	errHeadTooLarge = errors.New("request header too large")
	// errBody marks a request body that could not be read from its sender.
	errBody = errors.New("request body not read")
)
