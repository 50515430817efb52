// Package warmup decides whether a backend server is cold, how many requests it may
// then receive, and when to ask it. It is pure: it does no I/O and reads no clock.
package warmup

import (
	"math"
	"time"
)

const (
	// span is the time over which the platform counts the requests that a cold backend
	// server receives.
	span = time.Second
	// SendDelay is the longest time from the admission of a request until it is sent. It
	// covers slow machines and connections that are established first; later a request is
	// not sent to a cold backend server.
	SendDelay = 250 * time.Millisecond
	// Window is the time over which admitted requests are counted: those sent within
	// one span were admitted within it.
	Window = span + SendDelay
	// headroom is the part of a token that the bucket may hold beyond the limit on the
	// requests of a window, since only whole requests count.
	headroom = 0.9
	// maxBurst limits the requests that start together after a pause: work takes twice
	// as long on a cold backend server.
	maxBurst = 4
	// minPerSecond is the lowest rate of the bucket, so that the wait for a token stays
	// within the time for which callers wait.
	minPerSecond = 0.25
	// roundingError is added before a product is rounded down.
	roundingError = 1e-9
)

// Tolerance is by how much a cold backend server may receive more requests than the rate
// that its service names: in one second that rate times Over, and Slack more.
type Tolerance struct {
	// Over is 1 if it is 0.
	Over  float64
	Slack float64
}

// over returns the factor on the named rate.
func (t Tolerance) over() float64 {
	if t.Over == 0 {
		return 1
	}
	return t.Over
}

// Rate returns the rate that the tolerance allows for a named one.
func (t Tolerance) Rate(perSecond float64) float64 { return perSecond * t.over() }

// Budget bounds the requests that a cold backend server may receive: a token bucket
// spreads them, and Limit is the bound in any Window. The zero value bounds nothing.
type Budget struct {
	// PerSecond and Burst are the rate and the capacity of the bucket.
	PerSecond, Burst float64
	// Limit is the largest number of requests that may start in any Window.
	Limit int
}

// Budget returns the budget of a service that names a rate. The rate of the bucket is
// lower than what the tolerance allows if otherwise late sends could exceed the bound.
func (t Tolerance) Budget(perSecond float64) Budget {
	rate := t.Rate(perSecond)
	limit := max(1, math.Floor(rate+t.Slack+roundingError))
	rate = max(minPerSecond, min(rate, (limit+headroom-1)/Window.Seconds()))
	return Budget{
		PerSecond: rate,
		Burst:     min(limit+headroom-rate*Window.Seconds(), maxBurst),
		Limit:     int(min(limit, math.MaxInt32)),
	}
}

// Starts holds when requests started in the last Window.
type Starts struct {
	times []time.Time
	// unknownUntil is the end of the time in which starts that were not recorded, such
	// as those of an earlier process of this proxy, may use the whole budget.
	unknownUntil time.Time
}

// NewStarts returns the starts from the given time on. What started before is not known
// and counts as the whole budget for one Window.
func NewStarts(now time.Time) Starts { return Starts{unknownUntil: now.Add(Window)} }

// Record adds a start.
func (s *Starts) Record(now time.Time) {
	s.expire(now)
	s.times = append(s.times, now)
}

// expire drops the starts that lie a Window or more back.
func (s *Starts) expire(now time.Time) {
	n := 0
	for n < len(s.times) && now.Sub(s.times[n]) >= Window {
		n++
	}
	s.times = s.times[n:]
}

// Wait returns the time until the n-th next request, counted from 1, may start with no
// more than limit starts in any Window.
func (s *Starts) Wait(now time.Time, n, limit int) time.Duration {
	s.expire(now)
	wait := max(0, s.unknownUntil.Sub(now))
	over := len(s.times) + min(n, limit) - limit
	if over <= 0 {
		return wait
	}
	return max(wait, s.times[over-1].Add(Window).Sub(now))
}
