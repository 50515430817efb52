package node

import (
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

// journalLength bounds the decisions kept in memory.
const journalLength = 256

// violationInterval is the shortest time between two violations entered.
const violationInterval = 10 * time.Second

// Entry is a decision of the proxy.
type Entry struct {
	At    time.Time `json:"at"`
	What  string    `json:"what"`
	Cause string    `json:"cause,omitempty"`
}

// journal is a ring of the last decisions.
type journal struct {
	entries []Entry
	next    int
	// fresh holds the entries of the present step.
	fresh []Entry
	// violation is when a violation was last entered.
	violation time.Time
}

func (j *journal) add(now time.Time, what, cause string) {
	e := Entry{At: now, What: what, Cause: cause}
	j.fresh = append(j.fresh, e)
	if len(j.entries) < journalLength {
		j.entries = append(j.entries, e)
		return
	}
	j.entries[j.next] = e
	j.next = (j.next + 1) % journalLength
}

func (j *journal) addVersion(now time.Time, s *config.Snapshot) {
	j.add(now, "version in force", strconv.FormatUint(s.Version, 10))
	for _, r := range s.Rejected {
		j.add(now, "organisation rejected", r.Organisation+": "+r.Problems.Error())
	}
}

func (j *journal) addTransition(now time.Time, t member.Transition) {
	if t.More > 0 {
		j.add(now, "further instances changed state", strconv.Itoa(t.More))
		return
	}
	j.add(now, "instance "+t.To.String(), t.ID+": "+t.Cause)
}

// addViolation enters at most one violation an interval, so that a peer cannot
// push everything else out.
func (j *journal) addViolation(now time.Time, from, cause string) {
	if !j.violation.IsZero() && now.Sub(j.violation) < violationInterval {
		return
	}
	j.violation = now
	j.add(now, "violation by "+strconv.Quote(from), cause)
}

// list returns the entries, oldest first.
func (j *journal) list() []Entry {
	out := make([]Entry, 0, len(j.entries))
	out = append(out, j.entries[j.next:]...)
	return append(out, j.entries[:j.next]...)
}
