package source

import "time"

const (
	// defaultResyncLimit is the ResyncLimit of a platform that names none. The waits of
	// calls to the store are chosen for it.
	defaultResyncLimit = 3 * time.Second
	// minResyncLimit bounds the rate of calls.
	minResyncLimit = time.Second
)

// ScaleToResync shortens a wait of a call to the store for a resync limit below the
// default: the state of a proxy must be current again that long after a disturbance of
// its connection to the store, or of the store, has ended. A longer limit, or none (0),
// leaves the wait as it is.
func ScaleToResync(wait, limit time.Duration) time.Duration {
	if limit <= 0 || limit >= defaultResyncLimit {
		return wait
	}
	return time.Duration(float64(wait) * float64(max(limit, minResyncLimit)) / float64(defaultResyncLimit))
}

// LimitToLapse returns the resync limit, shortened so that a proxy that follows the store
// notices a failed connection before an entry can have expired in an outage that was as
// long. A limit of 0 stands for none.
func LimitToLapse(limit, reportInterval time.Duration) time.Duration {
	if lapse := ShortestLapse(reportInterval); limit <= 0 || lapse < limit {
		return lapse
	}
	return limit
}
