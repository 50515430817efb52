package routing

import (
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Load pattern: a proxy is told to stop while its callers go on: bodies end late, requests
// wait for their turn on a connection, attempts fail. What is still in work when the proxy
// ends requests is broken off, and a caller cannot tell whether it has run. A request that
// would not be answered by then is refused while it is certain that it has not run.

const (
	// durationGain and deviationGain are the weights of a new duration in the mean and in
	// the mean deviation, and deviationFactor is the number of deviations within which
	// nearly all lie: the estimator of retransmission timeouts of TCP (RFC 6298).
	durationGain    = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
	// longestDecay is the part of its distance from the mean by which the longest duration
	// decays with each new one.
	longestDecay = 1.0 / 64
	// maxObservedRoutes bounds the routes whose durations are known. Routes come and go with
	// the versions; beyond it all are learned anew.
	maxObservedRoutes = 4096
)

// Stopping reports that the proxy stops and ends requests in flight at a time.
type Stopping struct{ EndsAt time.Time }

func (Stopping) routingEvent() {}

// durations estimates how long the requests of a route take from the time at which they are
// sent, or the end of a streamed body, to the end of the response.
type durations struct {
	mean, deviation time.Duration
	// longest is the longest one of the last some dozens.
	longest time.Duration
}

func (d *durations) observe(took time.Duration) {
	if d.mean == 0 {
		d.mean, d.deviation, d.longest = max(took, 1), took/2, took
		return
	}
	d.longest = max(took, d.longest-time.Duration(longestDecay*float64(d.longest-d.mean)))
	off := took - d.mean
	d.mean += time.Duration(durationGain * float64(off))
	d.deviation += time.Duration(deviationGain * float64(max(off, -off)-d.deviation))
}

// needed returns a time within which nearly all requests end. The deviation says little after
// some durations that are alike by chance.
func (d *durations) needed() time.Duration {
	return max(d.mean+deviationFactor*d.deviation, d.longest+d.longest/8)
}

// observeDuration records the time that an attempt took, or that it took at least.
func (r *Router) observeDuration(now time.Time, c *call, ended bool) {
	took := now.Sub(c.workFrom)
	d, ok := r.durations[c.match.Route.Name]
	if !ok {
		if len(r.durations) >= maxObservedRoutes {
			clear(r.durations)
		}
		d = &durations{}
		r.durations[c.match.Route.Name] = d
	}
	if ended || took > d.needed() {
		d.observe(took)
	}
}

// stop begins the stop of the proxy.
func (r *Router) stop(now time.Time, e Stopping) {
	r.stopSince, r.stopsAt = now, e.EndsAt
}

// sendBy returns the time until which a request of a route must be sent to be answered before
// the proxy ends requests. Of a route without observations nothing is known; its requests are
// sent in the first half of the stop.
func (r *Router) sendBy(route string) time.Time {
	d, ok := r.durations[route]
	if !ok {
		return r.stopSince.Add(r.stopsAt.Sub(r.stopSince) / 2)
	}
	return r.stopsAt.Add(-d.needed())
}

// StopLeavesTime reports whether a request of a route that is sent now will probably be answered
// before this proxy ends requests. It is true if the proxy does not stop, and for a request
// whose caller waits less than that.
func (r *Router) StopLeavesTime(now time.Time, route string, deadline time.Time) bool {
	return r.stopsAt.IsZero() || deadline.Before(r.stopsAt) || now.Before(r.sendBy(route))
}

// bodySent records that the whole body of a streamed request has been sent: its work begins
// then.
func (r *Router) bodySent(now time.Time, e BodySent) {
	if c, ok := r.calls[e.ID]; ok && c.current != nil {
		c.workFrom = now
	}
}

// withheld ends a request whose body was not sent to its end for lack of time.
func (r *Router) withheld(now time.Time, e Withheld) {
	c, ok := r.calls[e.ID]
	if !ok || c.current == nil {
		return
	}
	c.current.forgetSent(c)
	c.releaseInstance()
	r.stats.RefusedByStop++
	r.endRefused(now, c, refusalOfStop())
}

// refusalOfStop returns the refusal of a request that this proxy has no time for. The caller
// may try another one at once.
func refusalOfStop() outcome.Refusal {
	return notRunRefusal(outcome.InstanceLeaving, http.StatusServiceUnavailable, 0)
}
