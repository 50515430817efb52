package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// Counters holds event counts since the start of the process.
type Counters struct {
	// LocalCrashes counts crashes seen by this proxy, Learnt the messages of
	// others that told of a crash.
	LocalCrashes uint64 `json:"local_crashes"`
	Learnt       uint64 `json:"learnt"`
	// Refused counts the requests refused as suspects.
	Refused uint64 `json:"refused"`
	// Sent counts messages to other proxies, SendsFailed those without a reply.
	Sent        uint64 `json:"sent"`
	SendsFailed uint64 `json:"sends_failed"`
	// Invalid counts evidence of other proxies that was ignored because it is
	// out of bounds, Evicted the suspects dropped beyond the limit.
	Invalid uint64 `json:"invalid"`
	Evicted uint64 `json:"evicted"`
}

// SuspectState describes one suspect.
type SuspectState struct {
	// Fingerprint is in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Crashes and Answered are those of Evidence.
	Crashes  uint32 `json:"crashes"`
	Answered uint32 `json:"answered"`
	// QuarantinedUntil is the end of the quarantine, zero if there is none.
	QuarantinedUntil time.Time `json:"until,omitzero"`
}

// State is a snapshot for the state dump.
type State struct {
	Suspects []SuspectState `json:"suspects,omitempty"`
	Peers    int            `json:"peers"`
	Counters Counters       `json:"counters"`
}

// State returns a snapshot of the suspects, sorted by fingerprint, and the
// counters.
func (q *Quarantine) State() State {
	s := State{Peers: len(q.exchange.peers), Counters: q.counters}
	for f, suspect := range q.suspects {
		s.Suspects = append(s.Suspects, SuspectState{
			Fingerprint:      strconv.FormatUint(f, 16),
			Crashes:          suspect.crashes,
			Answered:         suspect.answered,
			QuarantinedUntil: suspect.quarantinedUntil,
		})
	}
	slices.SortFunc(s.Suspects, func(a, b SuspectState) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return s
}
