package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// SuspectState is what is known of one fingerprint.
type SuspectState struct {
	// Fingerprint is in hexadecimal.
	Fingerprint string    `json:"fingerprint"`
	Incidents   []string  `json:"incidents"`
	Until       time.Time `json:"until"`
}

// State is the state for a dump.
type State struct {
	Suspects  []SuspectState `json:"suspects,omitempty"`
	Published uint64         `json:"published"`
	Refused   uint64         `json:"refused"`
}

// State returns the state.
func (q *Quarantine) State() State {
	s := State{Published: q.published, Refused: q.refused}
	for f, suspect := range q.suspects {
		s.Suspects = append(s.Suspects, SuspectState{
			Fingerprint: strconv.FormatUint(f, 16),
			Incidents:   slices.Clone(suspect.incidents),
			Until:       suspect.until,
		})
	}
	slices.SortFunc(s.Suspects, func(a, b SuspectState) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return s
}
