package source

import (
	"cmp"
	"time"
)

const (
	// defaultReportInterval is the ReportInterval of a platform that names none.
	defaultReportInterval = 1500 * time.Millisecond
	// lapseIntervals is the number of report intervals without a report after which the
	// platform removes the entry of a backend server.
	lapseIntervals = 3
	// reregistrationGrace is the platform's bound on the time after a store
	// outage within which entries that expired during the outage are written
	// again.
	reregistrationGrace = 2 * time.Second
	// graceMargin is the time for which a watch outlasts the grace period.
	graceMargin = 10 * time.Millisecond
	// maxWatchDelay is the time after its wait in which a watch ends or fails.
	maxWatchDelay = time.Second
)

// ShortestLapse returns the duration of the shortest outage of the store in which an entry
// can expire: the last report may have come up to one interval before the outage.
func ShortestLapse(reportInterval time.Duration) time.Duration {
	return (lapseIntervals - 1) * cmp.Or(reportInterval, defaultReportInterval)
}

// storeSightings holds what is known of when the store answered. It tells an outage, in
// which entries may have expired, from calls of this proxy that failed on their own.
type storeSightings struct {
	// at is the latest time at which the store is known to have answered any proxy.
	at time.Time
	// gap is the longest time without a sighting since this proxy was last in touch, by its
	// own calls or a reader's.
	gap time.Duration
	// outageAt is the time of the first failed call since then that is a sign of an
	// outage, zero if there was none.
	outageAt time.Time
}

// record records that the store answered some proxy at the given time.
func (s *storeSightings) record(at time.Time) {
	if !at.After(s.at) {
		return
	}
	s.gap = max(s.gap, at.Sub(s.at))
	s.at = at
}

// recordOutage records a failed call that is a sign of an outage.
func (s *storeSightings) recordOutage(now time.Time) {
	if s.outageAt.IsZero() {
		s.outageAt = now
	}
}

// entriesMayHaveExpired reports whether the store may have been away for all, and for so
// long that entries expired, before an answer to this proxy. Either it was not seen for
// ShortestLapse, or it failed this proxy and was not seen since. An answer to another proxy
// after the failure shows that only this proxy was without it.
func (s *storeSightings) entriesMayHaveExpired(now time.Time, shortestLapse time.Duration) bool {
	if max(s.gap, now.Sub(s.at)) >= shortestLapse {
		return true
	}
	return !s.outageAt.IsZero() && !s.at.After(s.outageAt)
}

// reset begins anew with an answer of the store to this proxy.
func (s *storeSightings) reset(now time.Time) { *s = storeSightings{at: now} }

// shortestLapse is ShortestLapse for the report interval of this platform.
func (f *Follower) shortestLapse() time.Duration { return ShortestLapse(f.cfg.ReportInterval) }
