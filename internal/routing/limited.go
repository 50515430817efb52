package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLimitedBackoff caps the time for which an instance gets no offers after it
	// refused requests because of the rate limit of its backend server. The time
	// doubles with each refusal, since in a large fleet few of the proxies that ask
	// get a place. If no other instance has room, it is asked all the same.
	maxLimitedBackoff = 15 * time.Second
	// The first of these times is the wait that the instance reported, between
	// minLimitedBackoff and maxFirstLimitedBackoff.
	minLimitedBackoff      = 100 * time.Millisecond
	maxFirstLimitedBackoff = time.Second
	// maxColdBackoff caps that time instead if the backend server has named no rate limit
	// and its service names a warm-up: the refusal came from a warm-up, which takes
	// seconds and ends without a response that says so.
	maxColdBackoff = time.Second
	// maxLimitedSends limits the sends of a request to instances whose rate limit
	// is known to leave no room for it soon.
	maxLimitedSends = 2
)

// chooseLimited returns the instance in the state Limited with the shortest known wait,
// nil if there is none or enough were asked, and whether it is the last one to ask.
func (r *Router) chooseLimited(now time.Time, c *call) (chosen *instance, last bool) {
	limited := r.candidates.limited
	if len(limited) == 0 || c.limitedSends >= maxLimitedSends {
		return nil, false
	}
	c.limitedSends++
	chosen = slices.MinFunc(limited, func(a, b *instance) int {
		return cmp.Compare(a.remaining(now), b.remaining(now))
	})
	return chosen, len(limited) == 1 || c.limitedSends == maxLimitedSends
}

// recordLimited stores the wait until the rate limit of an instance's backend server
// leaves room, and takes the instance out of the candidates for a time.
func (r *Router) recordLimited(now time.Time, i *instance, wait time.Duration) {
	i.reportedWaitAt, i.reportedWait = now, wait
	longest := maxLimitedBackoff
	if i.pool.coldPerSecond > 0 && !i.rateLimited {
		longest = maxColdBackoff
	}
	backoff := max(minLimitedBackoff, min(wait, maxFirstLimitedBackoff), 2*i.limitedBackoff)
	if i.AvailabilityZone != r.cfg.AvailabilityZone {
		backoff = max(backoff, remoteBusyBackoff)
	}
	i.limitedBackoff = min(backoff, longest)
	i.limitedUntil = now.Add(i.limitedBackoff/2 + r.jitter(i.limitedBackoff/2))
}

// recordAccepted shortens the backoff of an instance that has answered a request, and
// ends it if the backend server names no rate limit any more.
func (i *instance) recordAccepted(namedLimit bool) {
	i.limitedBackoff /= 2
	if !namedLimit {
		i.rateLimited, i.limitedBackoff, i.limitedUntil = false, 0, time.Time{}
	}
}
