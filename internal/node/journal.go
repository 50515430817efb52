package node

import (
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
)

// journalCapacity is the number of entries kept in memory.
const journalCapacity = 256

// violationInterval is the minimum time between two recorded violations.
const violationInterval = 10 * time.Second

// rateLimitInterval is the minimum time between two recorded rate limits.
const rateLimitInterval = time.Second

// JournalEntry records an event or a decision of the proxy.
type JournalEntry struct {
	At time.Time `json:"at"`
	// What names the event or the decision.
	What string `json:"what"`
	// Cause gives the reason or further details.
	Cause string `json:"cause,omitempty"`
}

// journal is a ring buffer of the latest entries.
type journal struct {
	entries []JournalEntry
	next    int
	// stepEntries holds the entries added in the current step.
	stepEntries []JournalEntry
	// lastRateLimit is when a rate limit was last recorded.
	lastRateLimit time.Time
	// lastViolation is when a violation was last recorded.
	lastViolation time.Time
}

func (j *journal) add(now time.Time, what, cause string) {
	e := JournalEntry{At: now, What: what, Cause: cause}
	j.stepEntries = append(j.stepEntries, e)
	if len(j.entries) < journalCapacity {
		j.entries = append(j.entries, e)
		return
	}
	j.entries[j.next] = e
	j.next = (j.next + 1) % journalCapacity
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

// addViolation records at most one violation per violationInterval, so that a
// misbehaving peer cannot evict all other entries.
func (j *journal) addViolation(now time.Time, from, cause string) {
	if !j.lastViolation.IsZero() && now.Sub(j.lastViolation) < violationInterval {
		return
	}
	j.lastViolation = now
	j.add(now, "protocol violation by "+strconv.Quote(from), cause)
}

// addRateLimit records at most one rate limit per rateLimitInterval, since a backend
// server may name another one with each response.
func (j *journal) addRateLimit(now time.Time, instance string, e admission.RateLimitChanged) {
	if !j.lastRateLimit.IsZero() && now.Sub(j.lastRateLimit) < rateLimitInterval {
		return
	}
	j.lastRateLimit = now
	if !e.Limited {
		j.add(now, "backend server names no rate limit any more", instance)
		return
	}
	j.add(now, "backend server names a rate limit", instance+": "+strconv.FormatFloat(e.PerSecond, 'f', -1, 64)+" requests a second")
}

// list returns the entries in chronological order.
func (j *journal) list() []JournalEntry {
	out := make([]JournalEntry, 0, len(j.entries))
	out = append(out, j.entries[j.next:]...)
	return append(out, j.entries[:j.next]...)
}
