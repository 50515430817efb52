package quarantine

import "time"

const (
	// survivorTime is the time for which an answer speaks for a request.
	survivorTime = time.Minute
	maxSurvivors = 4096
)

// survivors remembers the fingerprints of requests that were answered in the
// last one or two periods, in bounded memory.
type survivors struct {
	recent, older map[uint64]struct{}
	since         time.Time
}

func (s *survivors) add(now time.Time, fingerprint uint64) {
	s.rotate(now)
	if len(s.recent) < maxSurvivors {
		s.recent[fingerprint] = struct{}{}
	}
}

func (s *survivors) has(now time.Time, fingerprint uint64) bool {
	s.rotate(now)
	_, recent := s.recent[fingerprint]
	_, older := s.older[fingerprint]
	return recent || older
}

func (s *survivors) rotate(now time.Time) {
	if s.recent != nil && now.Sub(s.since) < survivorTime {
		return
	}
	s.older = s.recent
	if now.Sub(s.since) >= 2*survivorTime {
		s.older = nil
	}
	s.recent = make(map[uint64]struct{})
	s.since = now
}
