// Package quarantine refuses requests that are suspected of crashing backend
// servers. The fingerprints of the requests in flight during a crash become
// suspects, except those of recently answered requests; if all were answered
// recently, all become suspects. All proxies refuse requests with the fingerprint
// of a suspect for a limited time, which grows with the number of crashes that it
// was involved in.
//
// The package is a pure state machine: it does no I/O and reads no clock.
package quarantine

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Config holds the parameters of the state machine.
type Config struct {
	// RunID prefixes incident IDs and is unique to this start of the process.
	RunID string
	// MaxSuspects is the maximum number of suspects; 0 means the default.
	MaxSuspects int
}

const (
	defaultMaxSuspects = 4096
	// maxSuspectsPerCrash limits the fingerprints taken from one crash.
	maxSuspectsPerCrash = 64
	// maxIncidentsPerSuspect limits the incidents stored for one suspect.
	maxIncidentsPerSuspect = 8
	// incidentTTL is how long an incident is distributed. A suspect is dropped
	// with all its incidents this long after the latest of them.
	incidentTTL = 15 * time.Minute

	// sharedCrashDuration is the quarantine duration after the first crash of a
	// suspect if there were other suspects of that crash.
	sharedCrashDuration = 2 * time.Second
	// soleSuspectDuration is the duration after the first crash if there was no
	// other suspect.
	soleSuspectDuration = 10 * time.Second
	// secondCrashDuration is the duration after the second crash.
	secondCrashDuration = time.Minute
	// maxDuration is the duration after the third and every further crash.
	maxDuration = 10 * time.Minute
)

// Incident is a crash of a backend server.
type Incident struct {
	// ID is unique in the fleet.
	ID string `json:"id"`
	// Fingerprints identify the requests that are suspected of the crash.
	Fingerprints []uint64 `json:"fingerprints"`
}

// Event is an input of the state machine.
type Event interface{ quarantineEvent() }

// Events.
type (
	// Crashed reports a crash of this proxy's backend server and the
	// fingerprints of the requests that were in flight.
	Crashed struct{ Fingerprints []uint64 }
	// FingerprintAnswered reports that the backend server answered a request
	// with the fingerprint. This proxy then drops the suspect; the other proxies
	// keep it.
	FingerprintAnswered struct{ Fingerprint uint64 }
	// Learnt delivers an incident published by another proxy.
	Learnt struct{ Incident Incident }
	// Tick triggers periodic work.
	Tick struct{}
)

func (Crashed) quarantineEvent()             {}
func (FingerprintAnswered) quarantineEvent() {}
func (Learnt) quarantineEvent()              {}
func (Tick) quarantineEvent()                {}

// Effect is an output of the state machine.
type Effect interface{ quarantineEffect() }

// Publish distributes an incident to all proxies; it expires after TTL.
type Publish struct {
	Incident Incident
	TTL      time.Duration
}

// Recorded reports the suspects of a crash that were recorded, for the log.
type Recorded struct {
	Incident Incident
	// Local reports that the crash is one of this proxy's backend server.
	Local bool
	// MostCrashes is the highest number of crashes of one of the suspects, and
	// QuarantinedUntil the latest end of their quarantines.
	MostCrashes      int
	QuarantinedUntil time.Time
}

func (Publish) quarantineEffect()  {}
func (Recorded) quarantineEffect() {}

// suspect is the state kept for one fingerprint.
type suspect struct {
	// incidents holds the IDs of the crashes during which a request with the
	// fingerprint was in flight.
	incidents        []string
	lastIncident     time.Time
	quarantinedUntil time.Time
}

// Quarantine is the state machine. The zero value is not usable.
type Quarantine struct {
	cfg            Config
	suspects       map[uint64]*suspect
	answered       answeredSet
	publishedCount uint64
	learntCount    uint64
	refusedCount   uint64
	lastSweep      time.Time
	effects        []Effect
}

// New returns a state machine without suspects.
func New(cfg Config) *Quarantine {
	cfg.MaxSuspects = cmp.Or(cfg.MaxSuspects, defaultMaxSuspects)
	return &Quarantine{cfg: cfg, suspects: make(map[uint64]*suspect)}
}

// Step applies an event at the given time and returns its effects.
func (q *Quarantine) Step(now time.Time, e Event) []Effect {
	q.effects = nil
	switch e := e.(type) {
	case Crashed:
		q.recordCrash(now, e.Fingerprints)
	case FingerprintAnswered:
		q.answered.add(now, e.Fingerprint)
		delete(q.suspects, e.Fingerprint)
	case Learnt:
		q.recordIncident(now, e.Incident, false)
	case Tick:
		q.expireSuspects(now)
	}
	return q.effects
}

// Check reports whether the fingerprint is in quarantine, and if so returns the
// refusal for the request.
func (q *Quarantine) Check(now time.Time, fingerprint uint64) (outcome.Refusal, bool) {
	s, ok := q.suspects[fingerprint]
	if !ok || !now.Before(s.quarantinedUntil) {
		return outcome.Refusal{}, false
	}
	q.refusedCount++
	return outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     outcome.Quarantined,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: s.quarantinedUntil.Sub(now),
	}, true
}

// recordCrash records a local crash and publishes its suspects.
func (q *Quarantine) recordCrash(now time.Time, fingerprints []uint64) {
	list := q.selectSuspects(now, fingerprints)
	if len(list) == 0 {
		return
	}
	q.publishedCount++
	incident := Incident{ID: q.cfg.RunID + "/" + strconv.FormatUint(q.publishedCount, 36), Fingerprints: list}
	q.effects = append(q.effects, Publish{Incident: incident, TTL: incidentTTL})
	q.recordIncident(now, incident, true)
}

// selectSuspects returns the fingerprints that were not answered recently, or
// all of them if every one was, up to maxSuspectsPerCrash. It skips 0, which marks
// a request without a fingerprint.
func (q *Quarantine) selectSuspects(now time.Time, fingerprints []uint64) []uint64 {
	candidates := make([]uint64, 0, len(fingerprints))
	unanswered := make([]uint64, 0, len(fingerprints))
	for _, f := range fingerprints {
		if f == 0 {
			continue
		}
		candidates = append(candidates, f)
		if !q.answered.has(now, f) {
			unanswered = append(unanswered, f)
		}
	}
	if len(unanswered) > 0 {
		candidates = unanswered
	}
	return candidates[:min(len(candidates), maxSuspectsPerCrash)]
}

// recordIncident puts the fingerprints of an incident in quarantine. It skips
// suspects for which the incident is already stored.
func (q *Quarantine) recordIncident(now time.Time, incident Incident, local bool) {
	fingerprints := incident.Fingerprints
	recorded := Recorded{Incident: incident, Local: local}
	for _, f := range fingerprints[:min(len(fingerprints), maxSuspectsPerCrash)] {
		s, ok := q.suspects[f]
		if ok && slices.Contains(s.incidents, incident.ID) {
			continue
		}
		if !ok || now.Sub(s.lastIncident) > incidentTTL {
			s = &suspect{}
			q.suspects[f] = s
			q.evictExcept(f)
		}
		s.incidents = append(s.incidents, incident.ID)
		s.incidents = s.incidents[max(0, len(s.incidents)-maxIncidentsPerSuspect):]
		s.lastIncident = now
		s.quarantinedUntil = now.Add(quarantineDuration(len(s.incidents), len(fingerprints)))
		recorded.MostCrashes = max(recorded.MostCrashes, len(s.incidents))
		if s.quarantinedUntil.After(recorded.QuarantinedUntil) {
			recorded.QuarantinedUntil = s.quarantinedUntil
		}
	}
	if recorded.MostCrashes == 0 {
		return
	}
	if !local {
		q.learntCount++
	}
	q.effects = append(q.effects, recorded)
}

// quarantineDuration returns the quarantine duration for a fingerprint that was
// involved in the given number of crashes, the latest of which had the given
// number of suspects.
func quarantineDuration(crashes, suspects int) time.Duration {
	switch {
	case crashes > 2:
		return maxDuration
	case crashes == 2:
		return secondCrashDuration
	case suspects == 1:
		return soleSuspectDuration
	default:
		return sharedCrashDuration
	}
}

// evictExcept drops one suspect if there are more than the limit: the one, other
// than keep, whose quarantine ends first.
func (q *Quarantine) evictExcept(keep uint64) {
	if len(q.suspects) <= q.cfg.MaxSuspects {
		return
	}
	var victim uint64
	for f, s := range q.suspects {
		if f == keep {
			continue
		}
		current, ok := q.suspects[victim]
		if !ok || s.quarantinedUntil.Before(current.quarantinedUntil) || (s.quarantinedUntil.Equal(current.quarantinedUntil) && f < victim) {
			victim = f
		}
	}
	delete(q.suspects, victim)
}

// expireSuspects drops suspects whose latest incident is older than incidentTTL.
// It does so at most once a second.
func (q *Quarantine) expireSuspects(now time.Time) {
	if now.Sub(q.lastSweep) < time.Second {
		return
	}
	q.lastSweep = now
	for f, s := range q.suspects {
		if now.Sub(s.lastIncident) > incidentTTL {
			delete(q.suspects, f)
		}
	}
}
