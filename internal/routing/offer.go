package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/transfer"
)

const (
	// breakEvenTransferBytes is the length of headers and response at which
	// their transfer between availability zones costs as much as a response
	// within the target is worth. The prices of two deployments give 5 KB and
	// 41 KB; the value lies between them.
	breakEvenTransferBytes = 14 << 10
	// headerBytes is the length of the headers of one request and its response.
	headerBytes = 700
	// maxRemoteOffers limits the offers of one request to instances in other
	// availability zones. An offer is a send that the instance refuses if the
	// request would wait too long there; a send to the fallback instance, which
	// has no wait limit, does not count.
	maxRemoteOffers = 2
	// maxSends limits all sends of one request, including those that no backend
	// server has seen. Up to maxLimitedRefusals refusals because of a rate limit do
	// not count: many instances may name one at once, before this proxy knows.
	maxSends           = 8
	maxLimitedRefusals = 8
	// maxOffers limits the offers of one request, minOffers while nearly all offers to
	// the service are declined, see offerLimit. The next send is to the fallback: a
	// service with many instances has always another one to ask, and a request that
	// none of them can answer within its target must not be refused for that.
	maxOffers, minOffers = 7, 2
	// contendedAcceptance is the share of accepted offers below which fewer are made.
	contendedAcceptance = 0.5
	// acceptanceWeight is the weight of an offer in that share.
	acceptanceWeight = 0.05
	// offerMaxWaitShare is the share of its slack that an offered request may
	// wait at the instance. The slack is the time until the target less the
	// expected service time. A transfer cost above this share replaces it if
	// the instance, or the next one to try, is in another availability zone.
	offerMaxWaitShare = 0.25
	// maxLocalBusyBackoff caps the time for which an instance in the local
	// availability zone gets no offers after it refused a request because of a
	// long wait or a full queue. It is short because only new requests show
	// that the queue has shrunk.
	maxLocalBusyBackoff = 100 * time.Millisecond
	// remoteBusyBackoff is the time for which an instance in another
	// availability zone gets no offers after such a refusal. It is longer
	// because each refused offer costs cross-zone traffic.
	remoteBusyBackoff = time.Second
	// unreachableBackoff is how long an instance is skipped after its proxy was
	// unreachable or refused a request with InstanceLeaving. It is short because a
	// refused connection costs only a fraction of a millisecond.
	unreachableBackoff = 500 * time.Millisecond
	// silentBackoff is how long it gets no requests while there are others, after it did
	// not answer a connection attempt at all, which costs a request minSilence or more.
	// Machines that have lost power stay listed for some seconds.
	silentBackoff = 3 * time.Second
	minSilence    = 100 * time.Millisecond
	// replacedBackoff is how long an instance is skipped after a different one
	// answered at its address. It is the platform's upper bound on the time
	// until a removed instance has left the instance list, which must then name
	// the new one.
	replacedBackoff = 2 * time.Second
	// responseBytesWeight is the weight of a new length in the moving average
	// of a route.
	responseBytesWeight = 0.1
)

// hasTarget reports whether the route has a latency target. Its requests are
// offered to one instance after another, and each accepts or refuses them by the
// state of its own queue. Other requests are routed by scores alone.
func (c *call) hasTarget() bool { return c.match.Route.Target > 0 }

// chooseByOffers selects the instance for the next send and the share of its
// slack that the request may wait there, 0 for no limit. To balance the load
// among instances and availability zones, it offers the request to local
// instances first, and then to remote ones if the transfer of the response
// costs less than the response is worth. If none is left, or if the only local
// one has no alternative, the request is sent without a limit.
func (r *Router) chooseByOffers(now time.Time, c *call) (*instance, float64) {
	r.collectCandidates(now, c)
	local := r.pick(now, c, withoutErrorProne(now, r.candidates.local))
	if i := r.reachedWithoutLink(now, c); i != nil {
		local = i
	}
	remote := r.pick(now, c, withoutErrorProne(now, r.candidates.remote))
	cost := r.transferCost(c)
	remoteAllowed := remote != nil && c.remoteOffers < maxRemoteOffers && cost < 1
	switch {
	case c.sends-c.limitedRefusals >= r.offerLimit(c.group.Service):
	case local != nil && remoteAllowed && (local.errorProne(now) && !remote.errorProne(now) || r.leavesColdZone(now, local, remote)):
		c.remoteOffers++
		return remote, max(offerMaxWaitShare, cost)
	case local != nil && remoteAllowed && r.onlyRemoteInTime(now, c, local, remote):
		r.stats.PlacedForTarget++
		c.remoteOffers++
		return remote, max(offerMaxWaitShare, cost)
	case local != nil && (len(r.candidates.local) > 1 || c.tried == nil && len(r.candidates.busy) > 0):
		return local, offerMaxWaitShare
	case local != nil && remoteAllowed:
		return local, max(offerMaxWaitShare, cost)
	case local != nil && c.tried == nil && (local.rateLimited || local.cold(now)):
		return local, 1 // the others follow, at any cost
	case local != nil && c.tried == nil:
		return local, 0
	case remoteAllowed:
		c.remoteOffers++
		return remote, max(offerMaxWaitShare, cost)
	}
	if chosen := r.fallback(now, c, local, remote); chosen != nil {
		return chosen, 0
	}
	if limited, last := r.chooseLimited(now, c); limited != nil {
		if last {
			return limited, 0
		}
		return limited, 1 // as long as the target allows, since another one follows
	}
	return r.pickLastResort(now, c), 0
}

// reachedWithoutLink returns the candidate on this machine for a download, nil if there
// is none.
func (r *Router) reachedWithoutLink(now time.Time, c *call) *instance {
	if r.cfg.SelfAddress == "" || !c.match.Route.Download {
		return nil
	}
	for _, i := range r.candidates.local {
		if i.Address == r.cfg.SelfAddress && !i.errorProne(now) {
			return i
		}
	}
	return nil
}

// errorProne reports whether the backend server fails or refuses so many requests that
// others get the next one first. What they do not accept still goes to it: a part of
// its capacity is left.
func (i *instance) errorProne(now time.Time) bool { return i.errorRate(now) > saturatedRate }

// withoutErrorProne returns the instances that are not error-prone, or the list itself
// if there are only such. The order of the list changes.
func withoutErrorProne(now time.Time, list []*instance) []*instance {
	sound := 0
	for k, i := range list {
		if !i.errorProne(now) {
			list[sound], list[k] = list[k], list[sound]
			sound++
		}
	}
	if sound == 0 {
		return list
	}
	return list[:sound]
}

// fallback returns the instance to which the request is sent without a wait
// limit after all offers: the local one with the shortest known wait, otherwise
// a remote one, nil if there is none.
func (r *Router) fallback(now time.Time, c *call, local, remote *instance) *instance {
	best := local
	for _, i := range r.candidates.busy {
		if i.AvailabilityZone != r.cfg.AvailabilityZone {
			continue
		}
		if best == nil || r.remainingWait(now, c, i) < r.remainingWait(now, c, best) {
			best = i
		}
	}
	switch {
	case best != nil:
		return best
	case remote != nil:
		return remote
	case len(r.candidates.busy) > 0:
		return r.pick(now, c, r.candidates.busy)
	}
	return nil
}

// needsLinkTime reports whether the response is so large that the link of an instance's
// machine may have no time for it. Where this proxy does not know yet, a refusal of the
// request itself tells.
func (r *Router) needsLinkTime(c *call) bool {
	route := c.match.Route
	return c.hasTarget() && (route.Download || c.linkRefused || r.meanResponseBytes[route.Name] > transfer.LargeResponseBytes)
}

// isBusy reports whether the instance is marked as busy for the call.
func (r *Router) isBusy(now time.Time, c *call, i *instance) bool {
	return now.Before(i.busyUntil) || now.Before(i.linkBusy.busyUntil) && r.needsLinkTime(c)
}

// remainingWait returns what is left of the wait that the instance reported for
// requests such as the call.
func (r *Router) remainingWait(now time.Time, c *call, i *instance) time.Duration {
	wait := i.remaining(now)
	if r.needsLinkTime(c) {
		wait = max(wait, i.linkBusy.remaining(now))
	}
	return wait
}

// remaining returns what is left of the reported wait.
func (b *busyMark) remaining(now time.Time) time.Duration {
	return max(0, b.reportedWait-now.Sub(b.reportedWaitAt))
}

// recordBusy stores the wait that an instance reported when it refused a
// request, and marks the instance as busy for a time.
func (r *Router) recordBusy(now time.Time, i *instance, mark *busyMark, wait time.Duration) {
	mark.reportedWaitAt, mark.reportedWait = now, wait
	backoff := min(wait/2, maxLocalBusyBackoff)
	if i.AvailabilityZone != r.cfg.AvailabilityZone {
		backoff = remoteBusyBackoff
	}
	mark.busyUntil = now.Add(backoff)
}

// transferCost returns the expected cost of transferring the response between
// availability zones, relative to what a response within the target is worth.
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

// Load pattern: more is asked of a service than it can run, for seconds. Every offer is
// declined, and those of all requests cost the proxies, which have a small share of a
// processor, the time in which they would forward what the service can run.

// offerLimit returns the number of offers that one request gets. It falls from maxOffers to
// minOffers with the share of accepted offers: further ones would be declined as well.
func (r *Router) offerLimit(service string) int {
	p, ok := r.pools[service]
	if !ok {
		return maxOffers
	}
	share := min(1, (1-p.declined)/contendedAcceptance)
	return minOffers + int(share*(maxOffers-minOffers))
}

// recordOffer records whether an instance accepted an offer.
func (p *pool) recordOffer(e AttemptEnded) {
	declined := 0.0
	if e.Outcome == outcome.NotRun {
		if e.Reason != outcome.InstanceBusy {
			return
		}
		declined = 1
	}
	p.declined += acceptanceWeight * (declined - p.declined)
}

// startBackoff starts the backoff of an instance that the result of an attempt
// calls for, if the request was not run.
func (r *Router) startBackoff(now time.Time, c *call, i *instance, e AttemptEnded) {
	if e.Outcome != outcome.NotRun {
		return
	}
	switch e.Reason {
	case outcome.InstanceBusy, outcome.Overload:
		mark := &i.busyMark
		if e.LinkBusy {
			mark = &i.linkBusy
		}
		r.recordBusy(now, i, mark, e.RetryAfter)
	case outcome.ConnectFailed, outcome.InstanceLeaving:
		i.downUntil = now.Add(unreachableBackoff)
		if e.Reason == outcome.ConnectFailed && now.Sub(c.sentAt) >= minSilence {
			i.silentUntil = now.Add(silentBackoff)
		}
	case outcome.OtherInstance, outcome.InstanceReplaced:
		i.downUntil = now.Add(replacedBackoff)
	}
}
