package admission

import "time"

// Health is the result of a health check.
type Health int

// Results of a health check.
const (
	// Healthy means that the backend server takes work.
	Healthy Health = iota
	// Unhealthy means that it answered that it takes none.
	Unhealthy
	// Silent means that it did not answer.
	Silent
	// Unreachable means that it refused the connection.
	Unreachable
)

const (
	// checksToChange is the number of equal checks in a row that count.
	checksToChange = 2
	// probeAfter is the time after which a stop that other evidence
	// contradicts is tested with single requests.
	probeAfter = 5 * time.Second
	// drainLimit is the time after which a stop without other evidence is
	// tested; a drain is over by then.
	drainLimit = time.Minute
	// probesToOverrule is the number of answered requests that overrule the
	// health checks.
	probesToOverrule = 3
)

// access tells how many new requests are taken.
type access int

const (
	open access = iota
	// probing takes one request at a time.
	probing
	closed
)

// monitor weighs the backend server's health checks against its reports of
// load and against the requests that it answers.
type monitor struct {
	draining bool
	// stopped follows the health checks.
	stopped   bool
	since     time.Time
	healthy   int
	failed    int
	failedAt  time.Time
	answered  time.Time
	last      Health
	overruled bool
	probes    int
	// load is the last reading of the load endpoint.
	loadAt time.Time
	// drains counts the readings in a row that report a drain.
	drains int
}

func (m *monitor) check(now time.Time, h Health) {
	m.last = h
	if h == Healthy {
		m.healthy++
		m.failed = 0
		if m.healthy >= checksToChange && !m.drainReported(now) {
			m.stopped, m.overruled = false, false
		}
		return
	}
	m.healthy = 0
	m.failed++
	if m.failed == 1 {
		m.failedAt = now
	}
	contradicted := h == Silent && m.answered.After(m.failedAt)
	if m.failed >= checksToChange && !m.stopped && !m.overruled && !contradicted {
		m.stop(now)
	}
}

func (m *monitor) stop(now time.Time) {
	m.stopped = true
	m.since = now
	m.probes = 0
}

func (m *monitor) load(now time.Time, draining bool) {
	m.loadAt = now
	if !draining {
		m.drains = 0
		return
	}
	m.drains++
	if m.drainReported(now) && !m.stopped && !m.overruled {
		m.stop(now)
	}
}

// loadFresh reports whether the last reading of the load is recent.
func (m *monitor) loadFresh(now time.Time) bool {
	return !m.loadAt.IsZero() && now.Sub(m.loadAt) < reportLifetime
}

// drainReported reports whether recent readings of the load tell of a drain.
func (m *monitor) drainReported(now time.Time) bool {
	return m.loadFresh(now) && m.drains >= checksToChange
}

// runAnswered notes that the backend server answered a request.
func (m *monitor) runAnswered(now time.Time) {
	m.answered = now
	if !m.stopped {
		return
	}
	m.probes++
	if m.probes >= probesToOverrule {
		m.stopped, m.overruled = false, true
	}
}

// runFailed notes that the backend server did not answer a request.
func (m *monitor) runFailed(now time.Time) {
	m.overruled = false
	if m.stopped {
		m.stop(now)
	}
}

// access decides from the evidence so far. A drain that both endpoints report
// is never tested.
func (m *monitor) access(now time.Time) access {
	switch {
	case m.draining:
		return closed
	case !m.stopped:
		return open
	case m.last != Healthy && m.drainReported(now):
		return closed
	case now.Sub(m.since) >= m.patience(now):
		return probing
	}
	return closed
}

// patience returns the time for which a stop is not tested.
func (m *monitor) patience(now time.Time) time.Duration {
	noAnswer := m.last == Silent || m.last == Unreachable
	contradicted := m.last == Unhealthy && m.loadFresh(now) && m.drains == 0
	if noAnswer || contradicted {
		return probeAfter
	}
	return drainLimit
}
