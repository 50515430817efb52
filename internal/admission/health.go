package admission

import "time"

// Health is the result of a health check.
type Health int

// Results of a health check.
const (
	// Healthy means that the backend server accepts requests.
	Healthy Health = iota
	// Unhealthy means that the backend server answered that it accepts no
	// requests.
	Unhealthy
	// NoResponse means that the health check was not answered.
	NoResponse
	// ConnectionRefused means that the connection was refused.
	ConnectionRefused
)

const (
	// consecutiveReports is the number of equal reports in a row that change
	// the state.
	consecutiveReports = 2
	// shortProbeDelay is the time until a suspension is probed with single
	// requests if the backend server does not answer health checks or its load
	// reports contradict them.
	shortProbeDelay = 5 * time.Second
	// longProbeDelay is the time until any other suspension is probed. A drain
	// is over by then.
	longProbeDelay = time.Minute
	// answersToOverrule is the number of answered probes that overrule the
	// health checks.
	answersToOverrule = 3
)

// acceptMode tells which new requests are accepted.
type acceptMode int

const (
	acceptAll acceptMode = iota
	// acceptProbes accepts one request at a time.
	acceptProbes
	acceptNone
)

// healthMonitor decides whether the backend server may get requests. It combines
// health checks, load reports and the outcome of requests.
type healthMonitor struct {
	draining bool
	// suspended is set by failed health checks or reported drains.
	suspended      bool
	suspendedAt    time.Time
	healthyChecks  int
	failedChecks   int
	firstFailureAt time.Time
	lastAnswerAt   time.Time
	lastCheck      Health
	// overruled is set when answered probes contradict the health checks.
	overruled             bool
	answersWhileSuspended int
	// lastLoadAt is the time of the latest load report.
	lastLoadAt time.Time
	// drainReports counts consecutive load reports that announce a drain.
	drainReports int
}

func (m *healthMonitor) recordCheck(now time.Time, h Health) {
	m.lastCheck = h
	if h == Healthy {
		m.healthyChecks++
		m.failedChecks = 0
		if m.healthyChecks >= consecutiveReports && !m.drainReported(now) {
			m.suspended, m.overruled = false, false
		}
		return
	}
	m.healthyChecks = 0
	m.failedChecks++
	if m.failedChecks == 1 {
		m.firstFailureAt = now
	}
	// A backend server that answers requests is not suspended for unanswered
	// health checks.
	contradicted := h == NoResponse && m.lastAnswerAt.After(m.firstFailureAt)
	if m.failedChecks >= consecutiveReports && !m.suspended && !m.overruled && !contradicted {
		m.suspend(now)
	}
}

func (m *healthMonitor) suspend(now time.Time) {
	m.suspended = true
	m.suspendedAt = now
	m.answersWhileSuspended = 0
}

func (m *healthMonitor) recordLoad(now time.Time, draining bool) {
	m.lastLoadAt = now
	if !draining {
		m.drainReports = 0
		return
	}
	m.drainReports++
	if m.drainReported(now) && !m.suspended && !m.overruled {
		m.suspend(now)
	}
}

// loadFresh reports whether the latest load report is recent enough to use.
func (m *healthMonitor) loadFresh(now time.Time) bool {
	return !m.lastLoadAt.IsZero() && now.Sub(m.lastLoadAt) < reportTTL
}

// drainReported reports whether recent load reports announce a drain.
func (m *healthMonitor) drainReported(now time.Time) bool {
	return m.loadFresh(now) && m.drainReports >= consecutiveReports
}

// recordAnswer records that the backend server answered a request. Enough answers
// end a suspension and overrule the health checks.
func (m *healthMonitor) recordAnswer(now time.Time) {
	m.lastAnswerAt = now
	if !m.suspended {
		return
	}
	m.answersWhileSuspended++
	if m.answersWhileSuspended >= answersToOverrule {
		m.suspended, m.overruled = false, true
	}
}

// recordFailure records that the backend server shed a request or failed to answer
// it. The health checks count again, and a suspension starts anew.
func (m *healthMonitor) recordFailure(now time.Time) {
	m.overruled = false
	if m.suspended {
		m.suspend(now)
	}
}

// acceptMode returns which requests the backend server may get. A drain that both
// the health and the load endpoint report is never probed.
func (m *healthMonitor) acceptMode(now time.Time) acceptMode {
	switch {
	case m.draining:
		return acceptNone
	case !m.suspended:
		return acceptAll
	case m.lastCheck != Healthy && m.drainReported(now):
		return acceptNone
	case now.Sub(m.suspendedAt) >= m.probeDelay(now):
		return acceptProbes
	}
	return acceptNone
}

// probeDelay returns the time from suspension until the first probe.
func (m *healthMonitor) probeDelay(now time.Time) time.Duration {
	noAnswer := m.lastCheck == NoResponse || m.lastCheck == ConnectionRefused
	contradicted := m.lastCheck == Unhealthy && m.loadFresh(now) && m.drainReports == 0
	if noAnswer || contradicted {
		return shortProbeDelay
	}
	return longProbeDelay
}
