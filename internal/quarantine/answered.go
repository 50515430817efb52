package quarantine

import "time"

const (
	// answeredPeriod is the length of a period of answeredSet, which keeps a
	// fingerprint for at least one period and less than three.
	answeredPeriod = time.Minute
	// maxAnsweredPerPeriod is the maximum number of fingerprints recorded in one
	// period.
	maxAnsweredPerPeriod = 4096
)

// answeredSet holds the fingerprints of requests answered in the current and
// the previous period, in bounded memory.
type answeredSet struct {
	current, previous map[uint64]struct{}
	periodStart       time.Time
}

// add records an answered fingerprint. It does nothing once the set of the
// current period is full.
func (s *answeredSet) add(now time.Time, fingerprint uint64) {
	s.rotate(now)
	if len(s.current) < maxAnsweredPerPeriod {
		s.current[fingerprint] = struct{}{}
	}
}

func (s *answeredSet) has(now time.Time, fingerprint uint64) bool {
	s.rotate(now)
	_, inCurrent := s.current[fingerprint]
	_, inPrevious := s.previous[fingerprint]
	return inCurrent || inPrevious
}

// rotate starts a new period if the current one is over.
func (s *answeredSet) rotate(now time.Time) {
	if s.current != nil && now.Sub(s.periodStart) < answeredPeriod {
		return
	}
	s.previous = s.current
	if now.Sub(s.periodStart) >= 2*answeredPeriod {
		s.previous = nil
	}
	s.current = make(map[uint64]struct{})
	s.periodStart = now
}
