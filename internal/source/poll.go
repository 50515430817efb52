package source

import (
	"math/rand/v2"
	"time"
)

const (
	// fleetReadRate bounds the reads of the list by the whole fleet, in calls
	// per second.
	fleetReadRate = 500
	// earlyReadWindow is the minimum jitter window of EarlyReadDelay.
	earlyReadWindow = time.Second
	// pollRetryBase and pollRetryLimit bound the exponential backoff with full
	// jitter after a failed read of the list.
	pollRetryBase  = 500 * time.Millisecond
	pollRetryLimit = 15 * time.Second
	// watcherInterval is the mean time between two reads by a proxy that
	// watches the list on behalf of others.
	watcherInterval = 2 * time.Second
	// transferIntervalPerInstance and watcherIntervalPerInstance are the mean
	// times between two transfers of the list, per instance on the list.
	transferIntervalPerInstance = 80 * time.Millisecond
	watcherIntervalPerInstance  = 13 * time.Millisecond
	// maxDoublings prevents the backoff from overflowing.
	maxDoublings = 10
)

// PollSchedule schedules reads of the platform's list of instances, so that a
// fleet that starts simultaneously stays within the platform's rate limit. It
// reads no clock.
type PollSchedule struct {
	interval  time.Duration
	fleetSize int
	failures  int
	rng       *rand.Rand
}

// NewPollSchedule returns the schedule of a proxy that reads the list once per
// interval on average. Size is the assumed number of proxies until the first
// read.
func NewPollSchedule(interval time.Duration, size int, seed uint64) *PollSchedule {
	return &PollSchedule{interval: interval, fleetSize: size, rng: rand.New(rand.NewPCG(seed, 2))}
}

// InitialDelay returns the delay before the first read.
func (p *PollSchedule) InitialDelay() time.Duration {
	return p.jitter(p.fleetReadTime())
}

// NextDelay returns the delay before the next read after one that listed size
// instances. The mean delay grows with the list, so that the transferred bytes
// per second do not.
func (p *PollSchedule) NextDelay(size int) time.Duration {
	p.recordSuccess(size)
	return p.randomAround(max(p.interval, 2*p.fleetReadTime(), time.Duration(size)*transferIntervalPerInstance))
}

// NextWatcherDelay is like NextDelay, for the few proxies that watch the list
// on behalf of all others. A list that was not transferred cost no bandwidth,
// so it is read again soon.
func (p *PollSchedule) NextWatcherDelay(size int, transferred bool) time.Duration {
	p.recordSuccess(size)
	mean := min(p.interval, watcherInterval)
	if transferred {
		mean = max(mean, time.Duration(size)*watcherIntervalPerInstance)
	}
	return p.randomAround(mean)
}

func (p *PollSchedule) recordSuccess(size int) {
	p.failures = 0
	p.fleetSize = max(size, 1)
}

// randomAround returns a random delay with the given mean, between half and one
// and a half of it.
func (p *PollSchedule) randomAround(mean time.Duration) time.Duration {
	return mean/2 + p.jitter(mean)
}

// EarlyReadDelay returns the delay before the next read while the proxy holds no
// configuration version. Such a read may have come too early to be useful, since
// the list lags behind the start of the fleet.
func (p *PollSchedule) EarlyReadDelay() time.Duration {
	return p.jitter(max(earlyReadWindow, 2*p.fleetReadTime()))
}

// FailureDelay returns the delay before the next read after a failed one:
// exponential backoff with full jitter. The mean delay is at least the time in
// which the whole fleet can read the list once.
func (p *PollSchedule) FailureDelay() time.Duration {
	p.failures++
	window := min(pollRetryLimit, pollRetryBase<<min(p.failures, maxDoublings))
	return p.jitter(max(window, 2*p.fleetReadTime()))
}

// fleetReadTime is the time in which the whole fleet can read the list once.
func (p *PollSchedule) fleetReadTime() time.Duration {
	return time.Duration(p.fleetSize) * time.Second / fleetReadRate
}

func (p *PollSchedule) jitter(window time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(window) + 1))
}
