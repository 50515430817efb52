package routing

import "time"

// departureRetention is the time for which the announced end of an instance is kept once
// the list of instances lacks it, as its entry may come back.
const departureRetention = 10 * time.Minute

// departure is the announced end of a process of an instance. It is not taken back.
type departure struct {
	incarnation uint64
	// listedAt is the time of the latest list with the instance.
	listedAt time.Time
}

// reported records what the backend server states in its response.
func (r *Router) reported(now time.Time, e Reported) {
	c, ok := r.calls[e.ID]
	if !ok || c.current == nil {
		return
	}
	i := c.current
	if e.RateLimited {
		c.namedLimit = true
		i.rateLimit, i.rateLimited = e.RateLimit, true
	}
	if e.Leaving && !i.departing {
		i.departing = true
		r.departures[i.ID] = departure{incarnation: i.Incarnation, listedAt: now}
		r.emit(InstanceLeaving{Instance: i.ID})
	}
}

// hasDeparted reports whether the process of an instance has announced its end.
func (r *Router) hasDeparted(record Instance) bool {
	d, ok := r.departures[record.ID]
	return ok && d.incarnation == record.Incarnation
}

// forgetDepartures drops the announced ends of instances that have been replaced, or that
// the list has lacked for departureRetention.
func (r *Router) forgetDepartures(now time.Time) {
	for id, d := range r.departures {
		i, listed := r.instances[id]
		switch {
		case listed && i.Incarnation == d.incarnation:
			d.listedAt = now
			r.departures[id] = d
		case listed, now.Sub(d.listedAt) > departureRetention:
			delete(r.departures, id)
		}
	}
}
