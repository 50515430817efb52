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
	// QuarantinedUntil is the end of the quarantine.
	QuarantinedUntil time.Time `json:"until"`
}

// State is a snapshot for the state dump.
type State struct {
	Suspects []SuspectState `json:"suspects,omitempty"`
	// PublishedIncidents counts the incidents published by this proxy,
	// LearntIncidents those learnt from others, RefusedRequests the requests
	// refused by it.
	PublishedIncidents uint64 `json:"published"`
	LearntIncidents    uint64 `json:"learnt"`
	RefusedRequests    uint64 `json:"refused"`
}

// State returns a snapshot of the suspects, sorted by fingerprint, and the
// counters.
func (q *Quarantine) State() State {
	s := State{PublishedIncidents: q.publishedCount, LearntIncidents: q.learntCount, RefusedRequests: q.refusedCount}
	for f, suspect := range q.suspects {
		s.Suspects = append(s.Suspects, SuspectState{
			Fingerprint:      strconv.FormatUint(f, 16),
			Incidents:        slices.Clone(suspect.incidents),
			QuarantinedUntil: suspect.quarantinedUntil,
		})
	}
	slices.SortFunc(s.Suspects, func(a, b SuspectState) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return s
}
