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
	// consecutiveReports is the number of consecutive failed health checks, or
	// of consecutive load reports of a drain, that suspend the backend server,
	// and of consecutive successful health checks that end the suspension.
	consecutiveReports = 2
	// shortProbeDelay is the time from suspension until the backend server is
	// probed with single requests if it does not answer health checks or its
	// load reports contradict them.
	shortProbeDelay = 5 * time.Second
	// longProbeDelay is the time from suspension until the first probe in all
	// other cases. It exceeds the duration of a drain.
	longProbeDelay = time.Minute
	// answersToOverrule is the number of requests answered since the start of a
	// suspension that end it and overrule the health checks.
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
	// listedAsDraining is the value of the latest Draining event. While it is
	// set, the backend server gets no requests, whatever it reports itself.
	listedAsDraining bool
	// suspended means that the backend server gets no requests or, once the
	// probe delay has passed, one at a time. It is set by failed health checks
	// or reported drains.
	suspended   bool
	suspendedAt time.Time
	// healthyChecks and failedChecks count consecutive successful and failed
	// checks. firstFailureAt is when the latest series of failed checks began.
	healthyChecks  int
	failedChecks   int
	firstFailureAt time.Time
	lastAnswerAt   time.Time
	lastCheck      Health
	// overruled means that failed health checks and reported drains do not
	// suspend the backend server, because it answered requests during a
	// suspension.
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

func (m *healthMonitor) recordLoadReport(now time.Time, draining bool) {
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

// recordAnswer records that the backend server answered a request. After
// answersToOverrule answers it ends a suspension and overrules the health checks.
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

// recordFailure records that the backend server shed a request or that a
// connection to it failed. The health checks are no longer overruled. If the
// backend server is suspended, the probe delay and the count of answers start
// again.
func (m *healthMonitor) recordFailure(now time.Time) {
	m.overruled = false
	if m.suspended {
		m.suspend(now)
	}
}

// acceptMode returns which requests the backend server may get. It is not probed
// while its load reports announce a drain and the latest health check failed.
func (m *healthMonitor) acceptMode(now time.Time) acceptMode {
	switch {
	case m.listedAsDraining:
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
