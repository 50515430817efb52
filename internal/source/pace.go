package source

import (
	"math/rand/v2"
	"time"
)

const (
	// listRate bounds the readings of the list by all proxies together, in
	// calls a second.
	listRate = 500
	// soonWindow bounds the delay of a reading that is repeated soon.
	soonWindow = time.Second
	// retryBase and retryLimit bound the full-jitter backoff.
	retryBase  = 500 * time.Millisecond
	retryLimit = 15 * time.Second
	// watchInterval is the mean time between two readings by a proxy that
	// watches the list for others.
	watchInterval = 2 * time.Second
	// perInstance and perInstanceOften are the mean times between two
	// transfers of the list for each instance on it.
	perInstance      = 80 * time.Millisecond
	perInstanceOften = 13 * time.Millisecond
	// maxDoublings keeps the backoff from overflowing.
	maxDoublings = 10
)

// Pace tells when to read the platform's list of instances, so that a fleet
// that starts at once stays within the platform's rate. It reads no clock.
type Pace struct {
	interval time.Duration
	size     int
	failures int
	rng      *rand.Rand
}

// NewPace returns the pace of a proxy that reads the list once in an interval
// on average, and knows of about size proxies before its first reading.
func NewPace(interval time.Duration, size int, seed uint64) *Pace {
	return &Pace{interval: interval, size: size, rng: rand.New(rand.NewPCG(seed, 2))}
}

// First returns the delay of the first reading.
func (p *Pace) First() time.Duration {
	return p.jitter(p.spread())
}

// Read returns the delay of the reading after one that listed size instances.
// The interval grows with the list, so that the bytes a second do not.
func (p *Pace) Read(size int) time.Duration {
	p.succeeded(size)
	return p.about(max(p.interval, 2*p.spread(), time.Duration(size)*perInstance))
}

// ReadOften is Read for the few proxies that watch the list for all others. A
// list that was not transferred cost nothing and is read again soon.
func (p *Pace) ReadOften(size int, transferred bool) time.Duration {
	p.succeeded(size)
	mean := min(p.interval, watchInterval)
	if transferred {
		mean = max(mean, time.Duration(size)*perInstanceOften)
	}
	return p.about(mean)
}

func (p *Pace) succeeded(size int) {
	p.failures = 0
	p.size = max(size, 1)
}

// about returns a random delay with the given mean, at least half of it.
func (p *Pace) about(mean time.Duration) time.Duration {
	return mean/2 + p.jitter(mean)
}

// Soon returns the delay of the reading after one that was too early to be of
// use, since the list lags behind the start.
func (p *Pace) Soon() time.Duration {
	return p.jitter(max(soonWindow, 2*p.spread()))
}

// Failed returns the delay of the reading after one that failed, with full
// jitter. The mean is no less than the time in which all can read once.
func (p *Pace) Failed() time.Duration {
	p.failures++
	window := min(retryLimit, retryBase<<min(p.failures, maxDoublings))
	return p.jitter(max(window, 2*p.spread()))
}

// spread is the time in which every proxy can read the list once.
func (p *Pace) spread() time.Duration {
	return time.Duration(p.size) * time.Second / listRate
}

func (p *Pace) jitter(window time.Duration) time.Duration {
	return time.Duration(p.rng.Int64N(int64(window) + 1))
}
