package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// SuspectState describes one suspect.
type SuspectState struct {
	// Fingerprint is in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Incidents holds the IDs of the latest incidents.
	Incidents []string `json:"incidents"`
	// Until is the end of the quarantine.
	Until time.Time `json:"until"`
}

// State is a snapshot for the state dump.
type State struct {
	Suspects []SuspectState `json:"suspects,omitempty"`
	// Published counts the incidents published by this proxy, Refused the
	// requests refused by it.
	Published uint64 `json:"published"`
	Refused   uint64 `json:"refused"`
}

// State returns a snapshot of the suspects, sorted by fingerprint, and the
// counters.
func (q *Quarantine) State() State {
	s := State{Published: q.publishedCount, Refused: q.refusedCount}
	for f, suspect := range q.suspects {
		s.Suspects = append(s.Suspects, SuspectState{
			Fingerprint: strconv.FormatUint(f, 16),
			Incidents:   slices.Clone(suspect.incidents),
			Until:       suspect.quarantinedUntil,
		})
	}
	slices.SortFunc(s.Suspects, func(a, b SuspectState) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return s
}
