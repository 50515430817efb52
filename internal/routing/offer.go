package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// breakEvenTransferBytes is the response length at which the transfer to
	// another availability zone costs about as much as the response is worth.
	// The prices of the two deployments give 5 KB and 41 KB; the value lies
	// between them.
	breakEvenTransferBytes = 14 << 10
	// headerBytes is the length of the headers of one request and its response.
	headerBytes = 700
	// maxRemoteOffers limits the instances of other availability zones to which
	// one request is offered.
	maxRemoteOffers = 2
	// maxSends limits all sends of one request, for whatever reason.
	maxSends = 8
	// localMaxWaitShare is the share of its slack that a request may wait at
	// one instance of its own availability zone while there is another.
	localMaxWaitShare = 0.25
	// busyBackoff bounds the time for which a refusal because of a long wait
	// keeps requests away from an instance: a few of them are needed to see the
	// queue shrink.
	busyBackoff = 100 * time.Millisecond
	// remoteBusyBackoff is the corresponding time for instances in other
	// availability zones, where each refused offer costs cross-zone traffic.
	remoteBusyBackoff = time.Second
	// unreachableBackoff is how long an instance is skipped after its proxy was
	// unreachable or reported that it is stopping. An attempt costs a fraction
	// of a millisecond, so it may be repeated often.
	unreachableBackoff = 500 * time.Millisecond
	// replacedBackoff is how long an instance is skipped after a different one
	// answered at its address. Within this time, the platform's bound for a
	// removal, the instance list must name the new one.
	replacedBackoff = 2 * time.Second
	// responseBytesWeight is the weight of a new length in the moving average
	// of a route.
	responseBytesWeight = 0.1
)

// hasTarget reports whether the route has a latency target. Such a request is
// offered to one instance after another, and each accepts or refuses it by the
// state of its own queue. Requests without a target are routed by scores alone.
func (c *call) hasTarget() bool { return c.match.Route.Target > 0 }

// chooseByOffers selects the instance for the next send and the share of its
// slack that the request may wait there, 0 for no limit. It evens out the load
// among instances and availability zones: local instances come first, remote
// ones only if the response is worth the transfer, and if all are busy, the
// instance with the shortest known wait queues the request.
func (r *Router) chooseByOffers(now time.Time, c *call) (*instance, float64) {
	r.collectCandidates(now, c)
	local, remote := r.pickOfTwo(now, r.scratch.local), r.pickOfTwo(now, r.scratch.remote)
	cost := r.transferCost(c)
	remoteAllowed := remote != nil && c.remoteOffers < maxRemoteOffers && cost < 1
	switch {
	case local != nil && (len(r.scratch.local) > 1 || c.tried == nil && len(r.scratch.busy) > 0):
		return local, localMaxWaitShare
	case local != nil && remoteAllowed:
		return local, max(localMaxWaitShare, cost)
	case local != nil && c.tried == nil:
		return local, 0
	case remoteAllowed:
		c.remoteOffers++
		return remote, max(localMaxWaitShare, cost)
	}
	return r.fallback(now, c, local, remote), 0
}

// fallback returns the instance that must queue the request: the local one with
// the shortest known wait, otherwise a remote or an ejected one.
func (r *Router) fallback(now time.Time, c *call, local, remote *instance) *instance {
	best := local
	for _, i := range r.scratch.busy {
		if i.AvailabilityZone != r.cfg.AvailabilityZone {
			continue
		}
		if best == nil || i.remainingWait(now) < best.remainingWait(now) {
			best = i
		}
	}
	switch {
	case best != nil:
		return best
	case remote != nil:
		return remote
	case len(r.scratch.busy) > 0:
		return r.pickOfTwo(now, r.scratch.busy)
	case len(r.scratch.ejected) > 0:
		return r.pickOfTwo(now, r.scratch.ejected)
	}
	return nil
}

// remainingWait returns what is left of the wait that the instance reported.
func (i *instance) remainingWait(now time.Time) time.Duration {
	return max(0, i.reportedWait-now.Sub(i.reportedWaitAt))
}

// recordBusy records the wait at an instance that refused a request because of
// it.
func (r *Router) recordBusy(now time.Time, i *instance, wait time.Duration) {
	i.reportedWaitAt, i.reportedWait = now, wait
	backoff := min(wait/2, busyBackoff)
	if i.AvailabilityZone != r.cfg.AvailabilityZone {
		backoff = remoteBusyBackoff
	}
	i.busyUntil = now.Add(backoff)
}

// transferCost returns the cost of transferring the response between
// availability zones, as a share of its value.
func (r *Router) transferCost(c *call) float64 {
	return (r.meanResponseBytes[c.match.Route.Name] + headerBytes) / breakEvenTransferBytes
}

// observeResponseBytes adds a response length to the moving average of a route.
func (r *Router) observeResponseBytes(route string, n int64) {
	if n < 0 {
		return
	}
	mean, ok := r.meanResponseBytes[route]
	if !ok {
		mean = float64(n)
	}
	r.meanResponseBytes[route] = mean + responseBytesWeight*(float64(n)-mean)
}

// recordRefusal updates an instance with the reason of its refusal.
func (r *Router) recordRefusal(now time.Time, i *instance, e AttemptEnded) {
	if e.Outcome != outcome.NotRun {
		return
	}
	switch e.Reason {
	case outcome.InstanceBusy, outcome.Overload:
		r.recordBusy(now, i, e.RetryAfter)
	case outcome.ConnectFailed, outcome.InstanceLeaving:
		i.downUntil = now.Add(unreachableBackoff)
	case outcome.OtherInstance:
		i.downUntil = now.Add(replacedBackoff)
	}
}
