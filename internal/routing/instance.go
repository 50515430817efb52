package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// observationHalfLife is the age at which an observation has half its
	// weight.
	observationHalfLife = 5 * time.Second
	// reportedLoadHalfLife is the age at which a reported load has half its
	// weight.
	reportedLoadHalfLife = time.Second
	// slowStart is the time over which a newly ready instance is ramped up to
	// its full share of the load.
	slowStart = 10 * time.Second
	// slowStartMinShare is the share of the load at the beginning of a slow
	// start.
	slowStartMinShare = 0.1
	// defaultLatency is assumed while no latency has been observed for a
	// service.
	defaultLatency = 10 * time.Millisecond

	// Weights of a new sample in the moving averages.
	latencyRiseWeight = 0.3
	latencyFallWeight = 0.1
	outcomeWeight     = 0.2

	// Weights of the failure and refusal rates in the score.
	failurePenalty = 8
	refusalPenalty = 4
	// maxReportedLoad caps a reported load, which bounds the effect of an
	// overstated one.
	maxReportedLoad = 2
	// saturatedRate is the rate of failures or refusals above which an instance
	// counts as saturated.
	saturatedRate = 0.3
)

// busyMark is a refusal for lack of capacity: the instance reported reportedWait at
// reportedWaitAt, and until busyUntil it is a candidate only for the fallback.
type busyMark struct {
	reportedWaitAt, busyUntil time.Time
	reportedWait              time.Duration
}

// instance is the state that this proxy keeps for an instance.
type instance struct {
	Instance
	pool     *pool
	inFlight int

	// latency, failureRate, refusalRate and shedRate are moving averages, last
	// updated at observedAt. shedRate is the part of refusalRate that the backend
	// server itself refused. samples counts the attempts since the last ejection.
	latency     time.Duration
	failureRate float64
	refusalRate float64
	shedRate    float64
	observedAt  time.Time
	samples     int

	costs costState

	// loadAt is the time of the last reported load.
	loadAt time.Time
	// readySince is the beginning of the slow start, zero if there is none.
	readySince time.Time
	heldUntil  time.Time

	// busyMark is set when the instance refused a request because of a long wait or a
	// full queue.
	busyMark
	// linkBusy is set when it refused one because its machine's link has no time for
	// the response. It concerns only requests with large responses.
	linkBusy busyMark
	// rateLimit is the rate limit that the backend server named in the latest
	// response, in requests per second, valid if rateLimited is set. Until
	// limitedUntil the limit leaves no room for a request.
	rateLimit    float64
	rateLimited  bool
	limitedUntil time.Time
	// limitedBackoff is the latest time from a refusal to limitedUntil, without jitter.
	limitedBackoff time.Duration
	// departing means that the backend server has announced its end.
	departing bool
	// downUntil is the time until which no request is sent to the instance's
	// proxy.
	downUntil time.Time
	// silentUntil is the time until which it is tried only if no other one is left.
	silentUntil time.Time

	ejectedUntil time.Time
	ejections    int
}

// decay returns the weight of a value of the given age. It falls hyperbolically
// from 1 and is one half at halfLife.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

// slowStartShare returns the share of its full load that the instance may get.
func (i *instance) slowStartShare(now time.Time) float64 {
	if i.readySince.IsZero() {
		return 1
	}
	age := now.Sub(i.readySince)
	if age >= slowStart {
		return 1
	}
	return max(slowStartMinShare, float64(age)/float64(slowStart))
}

// expectedLatency returns the observed latency, which decays with its age to the
// mean of the service.
func (i *instance) expectedLatency(now time.Time) time.Duration {
	mean := i.pool.meanLatency
	if mean == 0 {
		mean = defaultLatency
	}
	if i.latency == 0 {
		return mean
	}
	w := decay(now.Sub(i.observedAt), observationHalfLife)
	return mean + time.Duration(w*float64(i.latency-mean))
}

// reportedLoad returns the reported load, weighted by its age. It can only
// raise the score, so that an instance that understates its load is not
// preferred to one that reports none.
func (i *instance) reportedLoad(now time.Time) float64 {
	return min(max(i.Load, 0), maxReportedLoad) * decay(now.Sub(i.loadAt), reportedLoadHalfLife)
}

// score ranks the instance for the next request; lower is better. It is the
// expected latency times the requests in flight per slot, raised by failures,
// refusals, the reported load and a slow start.
func (i *instance) score(now time.Time) float64 {
	w := decay(now.Sub(i.observedAt), observationHalfLife)
	s := float64(i.inFlight+1) * float64(i.expectedLatency(now))
	s *= 1 + failurePenalty*i.failureRate*w
	s *= 1 + refusalPenalty*i.refusalRate*w
	s *= 1 + i.reportedLoad(now)
	return s / (float64(max(i.Slots, 1)) * i.slowStartShare(now))
}

// saturated reports whether requests should spill over to another availability
// zone.
func (i *instance) saturated(now time.Time) bool {
	w := decay(now.Sub(i.observedAt), observationHalfLife)
	return float64(i.inFlight) >= float64(max(i.Slots, 1))*i.slowStartShare(now)*i.coldShare(now) ||
		i.failureRate*w > saturatedRate ||
		i.refusalRate*w > saturatedRate ||
		i.reportedLoad(now) >= 1
}

// errorRate returns the rate at which the backend server fails requests or refuses
// them by itself.
func (i *instance) errorRate(now time.Time) float64 {
	return max(i.failureRate, i.shedRate) * decay(now.Sub(i.observedAt), observationHalfLife)
}

// observeOutcome adds the outcome of an attempt to the failure, refusal and shed
// rates.
func (i *instance) observeOutcome(now time.Time, failed, refused, shed bool) {
	w := decay(now.Sub(i.observedAt), observationHalfLife)
	i.failureRate = ewmaRate(i.failureRate*w, failed)
	i.refusalRate = ewmaRate(i.refusalRate*w, refused)
	i.shedRate = ewmaRate(i.shedRate*w, shed)
	i.observedAt = now
	i.samples++
}

func ewmaRate(rate float64, hit bool) float64 {
	if hit {
		return rate + outcomeWeight*(1-rate)
	}
	return rate - outcomeWeight*rate
}

// observeLatency adds a latency sample. A rise has more weight than a fall. Samples of a
// cold instance are left out: they would keep requests away from it once it is warm.
func (i *instance) observeLatency(now time.Time, d time.Duration) {
	if d <= 0 || i.cold(now) {
		return
	}
	if i.latency == 0 {
		i.latency = d
	} else {
		i.latency = ewmaDuration(i.expectedLatency(now), d, latencyRiseWeight, latencyFallWeight)
	}
	if i.pool.meanLatency == 0 {
		i.pool.meanLatency = d
	}
	i.pool.meanLatency = ewmaDuration(i.pool.meanLatency, d, latencyFallWeight, latencyFallWeight)
}

func ewmaDuration(mean, d time.Duration, rise, fall float64) time.Duration {
	weight := fall
	if d > mean {
		weight = rise
	}
	return mean + time.Duration(weight*float64(d-mean))
}

// recordLoad stores the load that the instance reported, if it reported any.
func (i *instance) recordLoad(now time.Time, load float64) {
	if load > 0 {
		i.Load = load
		i.loadAt = now
	}
}

// isFailure reports whether the result of an attempt counts as a failure of the
// instance.
func isFailure(e AttemptEnded) bool {
	if e.Outcome == outcome.Answered {
		return e.Status >= 500 || e.Truncated
	}
	switch e.Reason {
	case outcome.ConnectFailed, outcome.ConnectionLost, outcome.BackendServerCrashed, outcome.MalformedAnswer:
		return true
	}
	return e.Outcome == outcome.Unknown && e.Reason == outcome.DeadlineExpired
}
