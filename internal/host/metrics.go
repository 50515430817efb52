package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/outcome"
)

// metrics holds the counters of a proxy. It implements peer.Observer.
type metrics struct {
	registry    *prometheus.Registry
	peerBytes   *prometheus.CounterVec
	peerRefused *prometheus.CounterVec
	sourceCalls *prometheus.CounterVec
	refusals    *prometheus.CounterVec
}

func newMetrics(h *Host) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		peerBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_peer_bytes_total", Help: "Bytes exchanged with other proxies for control.",
		}, []string{"direction"}),
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
	m.registry.MustRegister(m.peerBytes, m.peerRefused, m.sourceCalls, m.refusals)
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
	m.peerBytes.WithLabelValues("sent").Add(float64(sent))
	m.peerBytes.WithLabelValues("received").Add(float64(received))
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
