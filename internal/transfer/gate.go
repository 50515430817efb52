// Package transfer decides when the bodies of uploads may be sent over the link of a
// machine. It is a pure state machine: it does no I/O and reads no clock.
//
// Bodies that arrive together fill the queue of a slow link, and every short request,
// message and version on it waits behind them. The receiver therefore tells each sender
// when to begin, at a rate below that of the link, and refuses a body that could not
// arrive in time before any of it is sent.
package transfer

import "time"

const (
	// linkShare is the share of the link that bodies may take. The rest is left for
	// short requests, messages and versions.
	linkShare = 0.8
	// UnknownBytes is assumed for a body without a length.
	UnknownBytes = 64 << 10
)

// Gate paces the bodies that arrive over one link. It is not safe for concurrent use.
type Gate struct {
	// bytesPerSecond is the rate at which bodies may arrive.
	bytesPerSecond float64
	// busyUntil is when the last admitted body has arrived.
	busyUntil time.Time
}

// NewGate returns the gate of a link with the given bandwidth in Mbit/s, nil if that is
// 0, which means unknown.
func NewGate(linkMbps float64) *Gate {
	if linkMbps <= 0 {
		return nil
	}
	return &Gate{bytesPerSecond: linkShare * linkMbps * 1e6 / 8}
}

// Body is a body that a sender offers.
type Body struct {
	// Bytes is its length, negative if unknown.
	Bytes int64
	// Target is the time until which a response has its full value, zero if unknown,
	// and Deadline the end of the request.
	Target, Deadline time.Time
	// Patience is the share of the time left that the body may wait while its sender
	// has others to ask, 0 if it has none.
	Patience float64
}

// Decision tells when a body may be sent, or that it is refused.
type Decision struct {
	Admitted bool
	// Wait is the time after which an admitted body may be sent, or after which a
	// refused one would be admitted if nothing else came.
	Wait time.Duration
}

// Decide admits or refuses a body. A body is refused if it would have to wait longer
// than its sender allows, or if it would arrive after the target: a queue of bodies that
// are late makes those behind it late too. One that cannot arrive by its deadline is
// refused in any case.
func (g *Gate) Decide(now time.Time, b Body) Decision {
	wait := max(0, g.busyUntil.Sub(now))
	transfer := g.transferTime(b.Bytes)
	end := b.Deadline
	if !b.Target.IsZero() && b.Target.Before(end) && b.Target.After(now) {
		end = b.Target
	}
	slack := end.Sub(now) - transfer
	allowed := slack
	if b.Patience > 0 {
		allowed = time.Duration(b.Patience * float64(slack))
	}
	alone := time.Duration(linkShare * float64(transfer)) // on a link without other bodies
	if wait > 0 && wait > allowed || now.Add(wait+alone).After(b.Deadline) {
		return Decision{Wait: wait - max(0, allowed)}
	}
	g.busyUntil = now.Add(wait + transfer)
	return Decision{Admitted: true, Wait: wait}
}

func (g *Gate) transferTime(bytes int64) time.Duration {
	if bytes < 0 {
		bytes = UnknownBytes
	}
	return time.Duration(float64(bytes) / g.bytesPerSecond * float64(time.Second))
}
