package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxExpiryMargin limits how long before its deadline a request counts as expired.
	// The processes along its path learn the deadline at slightly different times, and a
	// refusal has to reach the sender in time.
	maxExpiryMargin = 20 * time.Millisecond
	// maxTransit bounds the time by which the deadline of a proxy beside a backend server
	// may be later than that of its sender: it counts the time left from when it reads the
	// request, which a busy machine delays.
	maxTransit = 100 * time.Millisecond
	// minHoldUp is the shortest write that counts as waiting for the receiver. One that
	// finds room in the buffer of the socket takes less.
	minHoldUp = time.Millisecond
)

// expiryMargin returns how long before its deadline a request counts as expired that had
// the given time left when it began.
func expiryMargin(left time.Duration) time.Duration {
	return tenthOf(left, maxExpiryMargin)
}

// tenthOf returns a tenth of the time left, at most the limit.
func tenthOf(left, limit time.Duration) time.Duration { return max(0, min(left/10, limit)) }

// timeLimit is the deadline of an exchange.
type timeLimit struct {
	deadline time.Time
	margin   time.Duration
	// transit is how long before the deadline that of the sender may be.
	transit time.Duration
}

// newTimeLimit returns the limit of an exchange that begins now.
func newTimeLimit(deadline time.Time) timeLimit {
	left := time.Until(deadline)
	return timeLimit{deadline: deadline, margin: expiryMargin(left), transit: tenthOf(left, maxTransit)}
}

// refuseAt returns when to give up a wait inside this process, so that the refusal reaches
// the sender before its own deadline.
func (l timeLimit) refuseAt() time.Time { return l.deadline.Add(-l.margin) }

// expired reports whether the deadline has passed. A sender that cancels ctx as much
// as a transit before has left because of the deadline, which it measures itself.
func (l timeLimit) expired(ctx context.Context) bool {
	left := time.Until(l.deadline)
	return left <= 0 || left <= l.transit && ctx.Err() != nil
}

// markExpired marks the error of an exchange with ErrDeadlineExpired if that applies.
func (l timeLimit) markExpired(ctx context.Context, err error) error {
	if l.expired(ctx) {
		return errors.Mark(err, ErrDeadlineExpired)
	}
	return err
}

// holdUp measures the time in which the receiver of a response, or the link, kept its
// body from being read.
type holdUp struct {
	total time.Duration
	// since is when the wait in progress began, zero if there is none.
	since time.Time
}

func (h *holdUp) begin() { h.since = time.Now() }

// end ends the wait in progress, which counts if it took at least the given time.
func (h *holdUp) end(atLeast time.Duration) {
	if d := time.Since(h.since); d >= atLeast {
		h.total += d
	}
	h.since = time.Time{}
}

// duration returns the total, with the wait in progress.
func (h *holdUp) duration() time.Duration {
	if h.since.IsZero() {
		return h.total
	}
	return h.total + time.Since(h.since)
}

// backendAtFault reports whether a response that was not forwarded completely counts as a
// failure of its backend server. Around the deadline, the error does not tell: the
// deadlines of both connections end together, and receivers leave at that time. The
// backend server is then at fault unless its response was complete or the receiver held
// it up for most of the time.
func (rr *responseRelay) backendAtFault(err error) bool {
	budget := rr.deadline.Sub(rr.startedAt)
	switch {
	case errors.Is(err, errNoMemory):
		return false
	case time.Until(rr.deadline) > expiryMargin(budget):
		return errors.Is(err, errResponseBody) && rr.r.Context().Err() == nil
	}
	heldUp, complete := rr.progress()
	return !complete && heldUp <= min(budget, time.Since(rr.startedAt))/2 // nothing is read after the deadline
}

// progress returns how long reading the body was held up, and whether it was read to its
// end.
func (rr *responseRelay) progress() (heldUp time.Duration, complete bool) {
	if rr.ahead != nil {
		return rr.ahead.progress()
	}
	return rr.holdUp.duration(), rr.bodyEnded
}
