package routing

import (
	"net/http"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Load pattern: all proxies of a fleet restart at once, and callers reach them in the half
// second until they have a version. A refusal would bring these callers back a second
// later, when the backend servers, which are cold and had nothing to do meanwhile, have
// more requests than they can run.

const (
	// startTime is the age of a process up to which requests wait for its first version.
	// A proxy of a fleet that restarts at once has one after about half of it; one that
	// has none by then cannot tell when it will.
	startTime = time.Second
	// maxStartWaitDivisor is the inverse of the share of its time that a request may
	// wait, so that its caller can still try again.
	maxStartWaitDivisor = 4
	// maxStartingRequests bounds the requests that wait. They hold a connection each.
	maxStartingRequests = 128
)

// startingRequest is a request that waits for the first version.
type startingRequest struct {
	Arrived
	since time.Time
	until time.Time
}

// awaitVersion keeps a request until the first version is in force, or refuses it if that
// is not to be expected soon, or if it has no time to wait.
func (r *Router) awaitVersion(now time.Time, e Arrived) {
	until := r.startedAt.Add(startTime)
	if e.Budget > 0 {
		until = earlier(until, now.Add(e.Budget/maxStartWaitDivisor-e.Elapsed))
	}
	if !e.NotAfter.IsZero() {
		until = earlier(until, e.NotAfter)
	}
	if !now.Before(until) || r.versionRefused || len(r.starting) >= maxStartingRequests {
		r.refuseWithoutVersion(e.ID)
		return
	}
	r.stats.WaitedForVersion++
	r.starting = append(r.starting, startingRequest{Arrived: e, since: now, until: until})
}

// routeStarting routes the requests that waited, those with the least time first.
func (r *Router) routeStarting(now time.Time) {
	waiting := r.starting
	r.starting, r.versionRefused = nil, false
	slices.SortStableFunc(waiting, func(a, b startingRequest) int { return a.until.Compare(b.until) })
	for _, w := range waiting {
		w.Elapsed += now.Sub(w.since)
		r.route(now, w.Arrived)
	}
}

// refuseStarting refuses the requests that have waited long enough, or all of them if no
// version is to be expected.
func (r *Router) refuseStarting(now time.Time) {
	r.starting = slices.DeleteFunc(r.starting, func(w startingRequest) bool {
		if !r.versionRefused && now.Before(w.until) {
			return false
		}
		r.refuseWithoutVersion(w.ID)
		return true
	})
}

// expectNoVersion refuses all requests that wait, and those that arrive before a version
// that can be put in force.
func (r *Router) expectNoVersion(now time.Time) {
	r.versionRefused = true
	r.refuseStarting(now)
}

// abandonStarting forgets a request whose caller has left.
func (r *Router) abandonStarting(id uint64) {
	r.starting = slices.DeleteFunc(r.starting, func(w startingRequest) bool { return w.ID == id })
}

func (r *Router) refuseWithoutVersion(id uint64) {
	r.refuse(id, notRunRefusal(outcome.NoVersion, http.StatusServiceUnavailable, r.withJitter(time.Second)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
