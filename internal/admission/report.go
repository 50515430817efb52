package admission

import "time"

// departure is the announced end of a process of the backend server. It is not taken
// back: it ends with the process.
type departure struct {
	// instance is the instance to which the answered request was addressed.
	instance string
}

// concerns reports whether a request is addressed to the process that ends. Another one
// may have taken its address before this proxy knows.
func (d *departure) concerns(r *request) bool {
	return d != nil && (r.Instance == d.instance || r.Instance == "")
}

// handleReported records what the backend server states about itself.
func (a *Admission) handleReported(now time.Time, e Reported) {
	r, ok := a.running[e.ID]
	if !ok {
		return
	}
	if e.Invalid {
		a.counters.InvalidReports++
	}
	a.recordCost(now, r, e)
	if e.Leaving {
		a.counters.LeavingReports++
		a.setDeparture(now, r)
	}
	if e.RateLimited {
		a.counters.RateLimitReports++
		r.namedLimit = true
		a.setRateLimit(now, r, e.RateLimit)
	}
}

// setDeparture records that the backend server that responded to r is about to end, and
// refuses the requests that wait for it.
func (a *Admission) setDeparture(now time.Time, r *request) {
	if a.departure != nil && a.departure.instance == r.Instance {
		return
	}
	a.departure = &departure{instance: r.Instance}
	a.emit(LeavingReported{})
	a.refuseWaiting(now, a.departure.concerns)
}
