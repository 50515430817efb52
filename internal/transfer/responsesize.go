package transfer

import "time"

const (
	// defaultDownloadBytes is assumed for a route of downloads before its first response.
	defaultDownloadBytes = 64 << 10
	// highFactor times the mean is assumed for the high quantile before it is learned.
	highFactor = 2
	// sizeWeight is the weight of a new response in the means of its route. About the last
	// 16 responses count, which a busy route sends within a second.
	sizeWeight = 1.0 / 16
	// staleWeight is that of a response after sizeTTL without one. Few are admitted while
	// the estimate refuses a route, and they have to correct it soon.
	staleWeight = 0.5
	// maxSizeRise bounds the length of one response as a multiple of the mean: one that
	// does not end must not stand for its route.
	maxSizeRise = 4
	// maxFirstBytes bounds the first estimate of a route for the same reason. It is what a
	// proxy holds of one response.
	maxFirstBytes = 1 << 20
	// highQuantile is the share of responses that are to be no longer than high. A
	// response beyond it may be late; a higher share would refuse more that are not.
	highQuantile = 0.9
	// highStep is the step of the high quantile per response, as a share of the mean.
	highStep = 0.25
	// sizeTTL is the time without a response after which the estimate of a route is too
	// old to refuse a request by it: only a response renews it.
	sizeTTL = 2 * time.Second
	// maxRoutes bounds the routes for which estimates are kept. A map that is full is
	// cleared.
	maxRoutes = 1024
)

// responseSize estimates the responses of a route.
type responseSize struct {
	// mean and high are the mean and a high quantile of the length in bytes.
	mean, high float64
	// ready is the mean time from the admission of a request until its response begins.
	ready time.Duration
	// lastAt is when the last response was observed.
	lastAt time.Time
}

// observe adds a response of the given length.
func (s *responseSize) observe(now time.Time, bytes int64, ready time.Duration) {
	b, weight := float64(bytes), sizeWeight
	switch {
	case s.lastAt.IsZero():
		b = min(b, maxFirstBytes)
		s.mean, s.high, s.ready = b, highFactor*b, ready
	case s.stale(now):
		weight = staleWeight
	}
	b = min(b, maxSizeRise*max(s.mean, LargeResponseBytes))
	s.mean += weight * (b - s.mean)
	s.ready += time.Duration(weight * float64(ready-s.ready))
	s.observeHigh(b)
	s.lastAt = now
}

// observeHigh moves the high quantile towards the length, in steps that balance when the
// intended share of the responses is below it.
func (s *responseSize) observeHigh(b float64) {
	step := highStep * s.mean
	if b > s.high {
		s.high += step * highQuantile
	} else {
		s.high -= step * (1 - highQuantile)
	}
	s.high = min(max(s.high, s.mean), maxSizeRise*s.mean)
}

func (s *responseSize) large() bool { return s.mean > LargeResponseBytes }

func (s *responseSize) stale(now time.Time) bool { return now.Sub(s.lastAt) >= sizeTTL }
