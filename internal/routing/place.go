package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// transferBytes is the length of an answer at which carrying it to
	// another availability zone costs about as much as the answer is worth.
	// It lies between what the prices of the two deployments come to, 5 KB
	// and 41 KB.
	transferBytes = 14 << 10
	// exchangeBytes is the length of the heads of one request and its answer.
	exchangeBytes = 700
	// maxFarTries bounds the instances of other availability zones that are
	// asked in turn for one request.
	maxFarTries = 2
	// maxSends bounds all sends of one request, for whatever reason.
	maxSends = 8
	// nearPatience is the share of its spare time that a request may wait at
	// one instance of its own zone while there is another.
	nearPatience = 0.25
	// busyMemory bounds the time for which a refusal for a long wait keeps
	// further requests away: a few of them are needed to see the queue shrink.
	busyMemory = 100 * time.Millisecond
	// farBusyMemory is the same for instances of other availability zones,
	// where each question that is in vain costs bytes between zones.
	farBusyMemory = time.Second
	// downTime is how long an instance is left alone after its proxy could
	// not be reached or said that it stops. A try costs a fraction of a
	// millisecond, so it may be repeated often.
	downTime = 500 * time.Millisecond
	// replacedTime is how long an instance is left alone after another one
	// answered at its address. It is the time in which the list must name the
	// new one (the platform's bound for a removal).
	replacedTime = 2 * time.Second
	// meanBytesWeight is the weight of a new length in the mean of a route.
	meanBytesWeight = 0.1
)

// placed reports whether the request is placed by its target: it then asks one
// instance after the other, and each decides from its own queue. Requests
// without a target are placed by scores alone.
func (c *call) placed() bool { return c.match.Route.Target > 0 }

// place chooses the instance for the next send and the patience there. It
// answers load that is uneven among instances and zones: near instances are
// asked first, far ones only if the answer is worth its way, and the instance
// with the shortest known wait keeps the request when all are busy.
func (r *Router) place(now time.Time, c *call) (*instance, float64) {
	r.collect(now, c)
	near, far := r.better(now, r.scratch.near), r.better(now, r.scratch.far)
	cost := r.transferCost(c)
	farAllowed := far != nil && c.farTries < maxFarTries && cost < 1
	switch {
	case near != nil && (len(r.scratch.near) > 1 || c.tried == nil && len(r.scratch.busy) > 0):
		return near, nearPatience
	case near != nil && farAllowed:
		return near, max(nearPatience, cost)
	case near != nil && c.tried == nil:
		return near, 0
	case farAllowed:
		c.farTries++
		return far, max(nearPatience, cost)
	}
	return r.fallback(now, c, near, far), 0
}

// fallback returns the instance that keeps the request: the near one with the
// shortest wait, or else a far one, or one of doubtful health.
func (r *Router) fallback(now time.Time, c *call, near, far *instance) *instance {
	best := near
	for _, i := range r.scratch.busy {
		if i.AvailabilityZone != r.cfg.AvailabilityZone {
			continue
		}
		if best == nil || i.waitLeft(now) < best.waitLeft(now) {
			best = i
		}
	}
	switch {
	case best != nil:
		return best
	case far != nil:
		return far
	case len(r.scratch.busy) > 0:
		return r.better(now, r.scratch.busy)
	case len(r.scratch.ejected) > 0:
		return r.better(now, r.scratch.ejected)
	}
	return nil
}

// waitLeft is what is left of the wait that an instance told.
func (i *instance) waitLeft(now time.Time) time.Duration {
	return max(0, i.busyWait-now.Sub(i.busyAt))
}

// busy notes the wait at an instance that turned a request away.
func (r *Router) busy(now time.Time, i *instance, wait time.Duration) {
	i.busyAt, i.busyWait = now, wait
	memory := min(wait/2, busyMemory)
	if i.AvailabilityZone != r.cfg.AvailabilityZone {
		memory = farBusyMemory
	}
	i.busyUntil = now.Add(memory)
}

// transferCost is the share of a request's worth that its answer costs on the
// way between zones.
func (r *Router) transferCost(c *call) float64 {
	return (r.answerBytes[c.match.Route.Name] + exchangeBytes) / transferBytes
}

// observeBytes counts the length of an answer of a route.
func (r *Router) observeBytes(route string, n int64) {
	if n < 0 {
		return
	}
	mean, ok := r.answerBytes[route]
	if !ok {
		mean = float64(n)
	}
	r.answerBytes[route] = mean + meanBytesWeight*(float64(n)-mean)
}

// placedOutcome takes what a send tells of an instance besides its load.
func (r *Router) placedOutcome(now time.Time, i *instance, e AttemptEnded) {
	if e.Outcome != outcome.NotRun {
		return
	}
	switch e.Reason {
	case outcome.Busy, outcome.Overload:
		r.busy(now, i, e.RetryAfter)
	case outcome.ConnectFailed, outcome.InstanceLeaving:
		i.downUntil = now.Add(downTime)
	case outcome.OtherInstance:
		i.downUntil = now.Add(replacedTime)
	}
}
