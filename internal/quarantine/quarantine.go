// Package quarantine keeps requests that crash backend servers away from them.
// A crash makes every request in flight a suspect; suspects are refused for a
// while at every proxy, briefly after one crash and longer after each further
// one.
//
// It is a pure state machine: it does no I/O and reads no clock.
package quarantine

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Config sets the parameters.
type Config struct {
	// Origin is unique to this start of the process.
	Origin string
	// Limit bounds the fingerprints that are remembered.
	Limit int
}

const (
	defaultLimit = 4096
	// maxSuspects bounds the suspects of one crash.
	maxSuspects = 64
	// maxIncidents bounds the crashes remembered of one suspect.
	maxIncidents = 8
	// memory is the time for which a crash counts.
	memory = 15 * time.Minute
	// sharedTime, aloneTime, repeatedTime and habitualTime are the times in
	// quarantine after one crash with other suspects, one crash without, two
	// crashes, and more.
	sharedTime   = 2 * time.Second
	aloneTime    = 10 * time.Second
	repeatedTime = time.Minute
	habitualTime = 10 * time.Minute
)

// Incident is the end of a backend server.
type Incident struct {
	// ID is unique in the fleet.
	ID string `json:"id"`
	// Fingerprints are those of the requests in flight.
	Fingerprints []uint64 `json:"fingerprints"`
}

// Event is an input of the state machine.
type Event interface{ quarantineEvent() }

// Events.
type (
	// Crashed reports the end of the backend server beside this proxy.
	Crashed struct{ Fingerprints []uint64 }
	// Survived reports that a backend server answered a request.
	Survived struct{ Fingerprint uint64 }
	// Learnt is an incident that another proxy published.
	Learnt struct{ Incident Incident }
	// Tick passes time.
	Tick struct{}
)

func (Crashed) quarantineEvent()  {}
func (Survived) quarantineEvent() {}
func (Learnt) quarantineEvent()   {}
func (Tick) quarantineEvent()     {}

// Effect is an output of the state machine.
type Effect interface{ quarantineEffect() }

// Publish tells every proxy of an incident, which counts for the time TTL.
type Publish struct {
	Incident Incident
	TTL      time.Duration
}

func (Publish) quarantineEffect() {}

// suspect is what is known of one fingerprint.
type suspect struct {
	// incidents are the crashes while a request with the fingerprint ran.
	incidents []string
	last      time.Time
	until     time.Time
}

// Quarantine is the state machine. The zero value is not usable.
type Quarantine struct {
	cfg       Config
	suspects  map[uint64]*suspect
	survivors survivors
	published uint64
	refused   uint64
	swept     time.Time
	effects   []Effect
}

// New returns a state machine that suspects nothing.
func New(cfg Config) *Quarantine {
	cfg.Limit = cmp.Or(cfg.Limit, defaultLimit)
	return &Quarantine{cfg: cfg, suspects: make(map[uint64]*suspect)}
}

// Step applies an event at the given time and returns its effects.
func (q *Quarantine) Step(now time.Time, e Event) []Effect {
	q.effects = nil
	switch e := e.(type) {
	case Crashed:
		q.crashed(now, e.Fingerprints)
	case Survived:
		q.survivors.add(now, e.Fingerprint)
		delete(q.suspects, e.Fingerprint)
	case Learnt:
		q.learn(now, e.Incident)
	case Tick:
		q.sweep(now)
	}
	return q.effects
}

// Check returns the refusal of a request whose fingerprint is in quarantine.
func (q *Quarantine) Check(now time.Time, fingerprint uint64) (outcome.Refusal, bool) {
	s, ok := q.suspects[fingerprint]
	if !ok || !now.Before(s.until) {
		return outcome.Refusal{}, false
	}
	q.refused++
	return outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     outcome.Quarantined,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: s.until.Sub(now),
	}, true
}

// crashed publishes the suspects of a crash.
func (q *Quarantine) crashed(now time.Time, fingerprints []uint64) {
	list := q.suspicious(now, fingerprints)
	if len(list) == 0 {
		return
	}
	q.published++
	incident := Incident{ID: q.cfg.Origin + "/" + strconv.FormatUint(q.published, 36), Fingerprints: list}
	q.learn(now, incident)
	q.effects = append(q.effects, Publish{Incident: incident, TTL: memory})
}

// suspicious leaves out requests that were answered lately, unless all were.
func (q *Quarantine) suspicious(now time.Time, fingerprints []uint64) []uint64 {
	all := make([]uint64, 0, len(fingerprints))
	fresh := make([]uint64, 0, len(fingerprints))
	for _, f := range fingerprints {
		if f == 0 {
			continue
		}
		all = append(all, f)
		if !q.survivors.has(now, f) {
			fresh = append(fresh, f)
		}
	}
	if len(fresh) > 0 {
		all = fresh
	}
	return all[:min(len(all), maxSuspects)]
}

func (q *Quarantine) learn(now time.Time, incident Incident) {
	fingerprints := incident.Fingerprints
	for _, f := range fingerprints[:min(len(fingerprints), maxSuspects)] {
		s, ok := q.suspects[f]
		if ok && slices.Contains(s.incidents, incident.ID) {
			continue
		}
		if !ok || now.Sub(s.last) > memory {
			s = &suspect{}
			q.suspects[f] = s
			q.makeRoom(f)
		}
		s.incidents = append(s.incidents, incident.ID)
		s.incidents = s.incidents[max(0, len(s.incidents)-maxIncidents):]
		s.last = now
		s.until = now.Add(quarantineTime(len(s.incidents), len(fingerprints)))
	}
}

// quarantineTime returns the time in quarantine after the given number of
// crashes, the last of which had the given number of suspects.
func quarantineTime(crashes, suspects int) time.Duration {
	switch {
	case crashes > 2:
		return habitualTime
	case crashes == 2:
		return repeatedTime
	case suspects == 1:
		return aloneTime
	default:
		return sharedTime
	}
}

// makeRoom drops the suspect that is free first, but not the new one.
func (q *Quarantine) makeRoom(added uint64) {
	if len(q.suspects) <= q.cfg.Limit {
		return
	}
	var first uint64
	for f, s := range q.suspects {
		if f == added {
			continue
		}
		other, ok := q.suspects[first]
		if !ok || s.until.Before(other.until) || (s.until.Equal(other.until) && f < first) {
			first = f
		}
	}
	delete(q.suspects, first)
}

// sweep forgets crashes that count no more.
func (q *Quarantine) sweep(now time.Time) {
	if now.Sub(q.swept) < time.Second {
		return
	}
	q.swept = now
	for f, s := range q.suspects {
		if now.Sub(s.last) > memory {
			delete(q.suspects, f)
		}
	}
}
