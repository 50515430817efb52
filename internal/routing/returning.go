package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Load patterns: a burst of callers, some of which repeat at once, or a service whose
// backend servers have all just started and run half of what is asked of them until they
// are warm. Requests that were refused come back within half a second, when they are late
// already, take the slots of those that could be answered in time, or use up the attempts
// of their callers before there is room. An answer that is late in any case is worth the
// same as long as its caller waits for it, so these callers are told to return over a
// part of the time that they have left, and not before the service is warm.

const (
	// coldServiceShare is the share of cold instances from which on a service is cold.
	coldServiceShare = 0.5
	// Callers of late requests return between these shares of the time that is left for
	// the start of an answer: soon enough for another attempt after that.
	earliestReturnShare = 0.25
	latestReturnShare   = 0.65
	// maxReturnSpread bounds the time over which the callers come back, as they do not
	// know that they are late.
	maxReturnSpread = time.Second
)

// warmAt returns when so many instances of the service are warm that it is not cold any
// more, zero if it is not cold now or no entry tells.
func (p *pool) warmAt(now time.Time) time.Time {
	cold, last := 0, time.Time{}
	for _, i := range p.instances {
		if now.Before(i.ColdUntil) {
			cold++
			if i.ColdUntil.After(last) {
				last = i.ColdUntil
			}
		}
	}
	if float64(cold) < coldServiceShare*float64(len(p.instances)) {
		return time.Time{}
	}
	return last
}

// returnLate returns the retry delay of a request that its service has no slot for and that
// is late in any case, and whether there is one.
func (r *Router) returnLate(now time.Time, c *call, refusal outcome.Refusal) (time.Duration, bool) {
	if refusal.Reason != outcome.Overload && refusal.Reason != outcome.InstanceBusy || c.mayHaveRun || !c.hasTarget() {
		return 0, false
	}
	p, ok := r.pools[c.group.Service]
	if !ok || now.Add(refusal.RetryAfter+p.meanLatency).Before(c.targetTime()) {
		return 0, false
	}
	left := c.callerDeadline.Sub(now) - 2*p.meanLatency
	earliest := max(refusal.RetryAfter, time.Duration(earliestReturnShare*float64(left)))
	latest := min(time.Duration(latestReturnShare*float64(left)), earliest+maxReturnSpread)
	if warm := p.warmAt(now).Sub(now); warm > earliest {
		earliest, latest = warm, min(left, warm+maxReturnSpread)
	}
	if latest <= earliest {
		return 0, false
	}
	return earliest + r.jitter(latest-earliest), true
}
