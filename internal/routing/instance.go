package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// forgetHalf is the time after which an observation counts half.
	forgetHalf = 5 * time.Second
	// reportHalf is the time after which a reported load counts half.
	reportHalf = time.Second
	// slowStart is the time in which a newly ready instance gets its full share.
	slowStart = 10 * time.Second
	// slowStartMin is the share with which an instance starts.
	slowStartMin = 0.1
	// defaultLatency stands for a latency that was never observed.
	defaultLatency = 10 * time.Millisecond

	latencyRise   = 0.3
	latencyFall   = 0.1
	outcomeWeight = 0.2

	failurePenalty = 8
	refusalPenalty = 4
	// maxReportedLoad bounds the weight of a report.
	maxReportedLoad = 2
	saturatedShare  = 0.3
)

// instance is what this proxy knows of an instance.
type instance struct {
	Instance
	pool     *pool
	inFlight int

	latency    time.Duration
	failures   float64
	refusals   float64
	observedAt time.Time
	samples    int

	loadAt     time.Time
	readySince time.Time
	heldUntil  time.Time

	// busyWait is the wait that the instance told at busyAt; it is not asked
	// again before busyUntil.
	busyAt, busyUntil time.Time
	busyWait          time.Duration
	// downUntil ends the time in which the instance's proxy is not tried.
	downUntil time.Time

	ejectedUntil time.Time
	ejections    int
}

// decay returns the weight of a value of the given age.
func decay(age, half time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(half) / float64(half+age)
}

// ramp returns the share of its load that a newly ready instance may get.
func (i *instance) ramp(now time.Time) float64 {
	if i.readySince.IsZero() {
		return 1
	}
	age := now.Sub(i.readySince)
	if age >= slowStart {
		return 1
	}
	return max(slowStartMin, float64(age)/float64(slowStart))
}

// expectedLatency returns the observed latency, which returns to the mean of
// the service with time.
func (i *instance) expectedLatency(now time.Time) time.Duration {
	mean := i.pool.latency
	if mean == 0 {
		mean = defaultLatency
	}
	if i.latency == 0 {
		return mean
	}
	w := decay(now.Sub(i.observedAt), forgetHalf)
	return mean + time.Duration(w*float64(i.latency-mean))
}

// reportedLoad returns the reported load. A report can only raise the score,
// so that an instance which reports too little gains nothing over a silent one.
func (i *instance) reportedLoad(now time.Time) float64 {
	return min(max(i.Load, 0), maxReportedLoad) * decay(now.Sub(i.loadAt), reportHalf)
}

// score estimates the time that a request would take; lower is better.
func (i *instance) score(now time.Time) float64 {
	w := decay(now.Sub(i.observedAt), forgetHalf)
	s := float64(i.inFlight+1) * float64(i.expectedLatency(now))
	s *= 1 + failurePenalty*i.failures*w
	s *= 1 + refusalPenalty*i.refusals*w
	s *= 1 + i.reportedLoad(now)
	return s / (float64(max(i.Slots, 1)) * i.ramp(now))
}

// saturated reports whether load should go to another availability zone.
func (i *instance) saturated(now time.Time) bool {
	w := decay(now.Sub(i.observedAt), forgetHalf)
	return float64(i.inFlight) >= float64(max(i.Slots, 1))*i.ramp(now) ||
		i.failures*w > saturatedShare ||
		i.refusals*w > saturatedShare ||
		i.reportedLoad(now) >= 1
}

// observe counts the outcome of an attempt.
func (i *instance) observe(now time.Time, failed, refused bool) {
	w := decay(now.Sub(i.observedAt), forgetHalf)
	i.failures = average(i.failures*w, failed)
	i.refusals = average(i.refusals*w, refused)
	i.observedAt = now
	i.samples++
}

func average(mean float64, hit bool) float64 {
	if hit {
		return mean + outcomeWeight*(1-mean)
	}
	return mean - outcomeWeight*mean
}

// observeLatency counts a latency. Rises count more than falls.
func (i *instance) observeLatency(now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	if i.latency == 0 {
		i.latency = d
	} else {
		i.latency = smooth(i.expectedLatency(now), d, latencyRise, latencyFall)
	}
	if i.pool.latency == 0 {
		i.pool.latency = d
	}
	i.pool.latency = smooth(i.pool.latency, d, latencyFall, latencyFall)
}

func smooth(mean, d time.Duration, rise, fall float64) time.Duration {
	weight := fall
	if d > mean {
		weight = rise
	}
	return mean + time.Duration(weight*float64(d-mean))
}

// report stores a reported load.
func (i *instance) report(now time.Time, load float64) {
	if load > 0 {
		i.Load = load
		i.loadAt = now
	}
}

// failed reports whether an outcome speaks against the instance.
func failed(e AttemptEnded) bool {
	if e.Outcome == outcome.Answered {
		return e.Status >= 500
	}
	switch e.Reason {
	case outcome.ConnectFailed, outcome.ConnectionLost, outcome.Crashed, outcome.BadAnswer:
		return true
	}
	return e.Outcome == outcome.Unknown && e.Reason == outcome.DeadlineExpired
}
