package warmup

import (
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

// Source names what shows that a backend server is cold.
type Source string

// Sources. The first two state the remaining time; after the others the warm-up time of
// the service is assumed.
const (
	Health        Source = "health"
	Entry         Source = "entry"
	ObservedStart Source = "observed-start"
	Evacuation    Source = "evacuation-end"
	ProxyStart    Source = "proxy-start"
)

const (
	// checkInterval is the time between two health checks while requests run. A
	// backend server may become cold at any moment, and a check costs it about a
	// twentieth of a request.
	checkInterval = time.Second
	// minCheckGap is the shortest time between two health checks, since several signs
	// of one start follow each other.
	minCheckGap = 250 * time.Millisecond
	// checkExpiry is the time after which a health check without a result counts as
	// lost. It exceeds the timeout of a check.
	checkExpiry = 5 * time.Second
)

// claim is the end of a warm-up according to one kind of evidence.
type claim struct {
	source Source
	// since is when the evidence was seen, until the end of the warm-up that it shows.
	since, until time.Time
}

// Tracker decides whether a backend server is cold. It is cold until the latest end that
// any kind of evidence shows: a health response, the entry in the list of instances and
// the last sign of a start. A health response ends what was seen before it was asked for.
// The zero value is a tracker of a service that names no warm-up.
type Tracker struct {
	limits     config.ServiceLimits
	configured bool
	// health, entry and sign hold the latest evidence of each kind.
	health, entry, sign claim
	// asked is when the latest health check was requested; asking means that its result
	// is awaited.
	asked  time.Time
	asking bool
	// wanted means that a health check is due because of new evidence.
	wanted bool
}

// Configure applies the limits of the version in force. With the first version nothing
// is known of the backend server: this proxy may have been restarted while it is cold.
func (t *Tracker) Configure(now time.Time, limits config.ServiceLimits) {
	if t.configured && limits == t.limits {
		return
	}
	first := !t.configured
	t.limits, t.configured = limits, true
	if first {
		t.Sign(now, ProxyStart)
		return
	}
	t.sign.until = t.signEnd()
	t.wanted = true
}

// Adopt applies the rate that another proxy names, as long as no version is in force here:
// until then the backend server counts as cold. It reports whether the rate has changed; a
// higher one than known does not count.
func (t *Tracker) Adopt(perSecond float64) bool {
	if t.configured || perSecond <= 0 || t.Enabled() && perSecond >= t.limits.WarmUpPerSecond {
		return false
	}
	t.limits.WarmUpPerSecond = perSecond
	return true
}

// Enabled reports whether the service names a warm-up.
func (t *Tracker) Enabled() bool { return t.limits.NamesWarmUp() }

// PerSecond returns the rate of requests that a cold backend server can serve.
func (t *Tracker) PerSecond() float64 { return t.limits.WarmUpPerSecond }

// Path returns the path of the health check.
func (t *Tracker) Path() string { return t.limits.HealthPath }

// Sign records that the backend server may have become cold.
func (t *Tracker) Sign(now time.Time, source Source) {
	t.Refused(now, source)
	t.wanted = true
}

// Refused records that the backend server refuses connections, so that it will be cold
// once it has started. It need not be asked before.
func (t *Tracker) Refused(now time.Time, source Source) {
	t.sign = claim{source: source, since: now}
	t.sign.until = t.signEnd()
}

// signEnd returns the end of the warm-up that the last sign of a start shows, zero if
// there is none or a health response has ended it.
func (t *Tracker) signEnd() time.Time {
	if t.sign.since.IsZero() {
		return time.Time{}
	}
	return t.sign.since.Add(time.Duration(t.limits.WarmUp))
}

// Listed records that a new entry states the remaining time. The entry is older than that
// by an unknown time, so that the end is late rather than early, and an entry without a
// remaining time ends only what earlier ones showed.
func (t *Tracker) Listed(now time.Time, left time.Duration) {
	until := now.Add(left)
	if left > 0 && until.After(t.end().until) {
		t.wanted = true
	}
	t.entry = claim{source: Entry, since: now, until: until}
}

// Checked records the result of a health check: the remaining time, valid if stated.
func (t *Tracker) Checked(now time.Time, left time.Duration, stated bool) {
	t.asking = false
	if !stated {
		return
	}
	t.health = claim{source: Health, since: now, until: now.Add(left)}
	if !t.sign.since.After(t.asked) {
		t.sign = claim{}
	}
	if !t.entry.since.After(t.asked) {
		t.entry = claim{}
	}
}

// Ask reports whether a health check is due, which counts as requested then. Running
// tells whether the backend server runs requests.
func (t *Tracker) Ask(now time.Time, running bool) bool {
	since := now.Sub(t.asked)
	switch {
	case !t.Enabled() || t.limits.HealthPath == "":
		return false
	case t.asking && since < checkExpiry, since < minCheckGap:
		return false
	case !t.wanted && !(running && since >= checkInterval):
		return false
	}
	t.wanted, t.asking, t.asked = false, true, now
	return true
}

// end returns the evidence that shows the latest end of the warm-up.
func (t *Tracker) end() claim {
	latest := t.health
	for _, c := range []claim{t.entry, t.sign} {
		if c.until.After(latest.until) {
			latest = c
		}
	}
	return latest
}

// State is the state of the backend server at a time.
type State struct {
	Cold bool `json:"cold"`
	// Source is the evidence that shows that it is cold, empty if it is warm.
	Source Source `json:"source,omitempty"`
	// Left is the remaining time, 0 if it is not known.
	Left time.Duration `json:"left_ns"`
}

// State returns the state at the given time.
func (t *Tracker) State(now time.Time) State {
	if t.Enabled() && !t.configured {
		return State{Cold: true, Source: ProxyStart}
	}
	latest := t.end()
	if !t.Enabled() || !latest.until.After(now) {
		return State{}
	}
	return State{Cold: true, Source: latest.source, Left: latest.until.Sub(now)}
}
