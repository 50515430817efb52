package host

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/outcome"
)

// Buckets of attempt durations, each twice the one before.
const (
	shortestAttempt = 250 * time.Microsecond
	attemptBuckets  = 18
)

// metrics holds the counters of a proxy. It implements peer.Observer.
type metrics struct {
	registry    *prometheus.Registry
	bytesSent   prometheus.Counter
	bytesRecvd  prometheus.Counter
	attempts    prometheus.Histogram
	peerRefused *prometheus.CounterVec
	sourceCalls *prometheus.CounterVec
	refusals    *prometheus.CounterVec
}

func newMetrics(h *Host) *metrics {
	peerBytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherlift_peer_bytes_total", Help: "Bytes exchanged with other proxies for control.",
	}, []string{"direction"})
	m := &metrics{
		registry:   prometheus.NewRegistry(),
		bytesSent:  peerBytes.WithLabelValues("sent"),
		bytesRecvd: peerBytes.WithLabelValues("received"),
		attempts: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "heatherlift_attempt_duration_seconds",
			Help:    "Time from sending an attempt that was answered to the answer's header.",
			Buckets: prometheus.ExponentialBuckets(shortestAttempt.Seconds(), 2, attemptBuckets),
		}),
		peerRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_peer_messages_refused_total", Help: "Messages of other proxies that broke the protocol.",
		}, []string{"cause"}),
		sourceCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_source_calls_total", Help: "Calls of the platform's services.",
		}, []string{"kind", "result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_requests_refused_total", Help: "Requests of callers that were refused.",
		}, []string{"outcome", "reason"}),
	}
	m.registry.MustRegister(newAdmissionMetrics(h))
	m.registry.MustRegister(peerBytes, m.attempts, m.peerRefused, m.sourceCalls, m.refusals)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registry.MustRegister(newLoadMetrics(h))
	m.registry.MustRegister(newVersionMetrics(h))
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "heatherlift_version_in_force", Help: "Version that this proxy enforces.",
	}, func() float64 {
		var v float64
		h.view(func(n *node.Node) { v = float64(n.Head().Version) })
		return v
	}))
	return m
}

// Bytes implements peer.Observer.
func (m *metrics) Bytes(sent, received int) {
	m.bytesSent.Add(float64(sent))
	m.bytesRecvd.Add(float64(received))
}

// Refused implements peer.Observer.
func (m *metrics) Refused(cause string) {
	m.peerRefused.WithLabelValues(cause).Inc()
}

func (m *metrics) sourceCall(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.sourceCalls.WithLabelValues(kind, result).Inc()
}

func (m *metrics) refused(r outcome.Refusal) {
	m.refusals.WithLabelValues(string(r.Outcome), string(r.Reason)).Inc()
}
