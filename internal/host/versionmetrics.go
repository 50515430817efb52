package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/node"
)

// versionMetrics collects the metrics of readiness and configuration versions.
type versionMetrics struct {
	host                       *Host
	ready, refused, violations *prometheus.Desc
}

func newVersionMetrics(h *Host) *versionMetrics {
	return &versionMetrics{
		host:       h,
		ready:      prometheus.NewDesc("heatherlift_ready", "1 if the proxy is ready to accept requests, 0 otherwise.", nil, nil),
		refused:    prometheus.NewDesc("heatherlift_version_refused", "Refused configuration version newer than the one held, 0 if there is none.", nil, nil),
		violations: prometheus.NewDesc("heatherlift_version_violations_total", "Messages from peers that violated the protocol for distributing configuration versions.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (m *versionMetrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.ready
	out <- m.refused
	out <- m.violations
}

// Collect implements prometheus.Collector.
func (m *versionMetrics) Collect(out chan<- prometheus.Metric) {
	var v node.VersionStats
	m.host.view(func(n *node.Node) { v = n.VersionStats() })
	ready := 0.0
	if v.Ready {
		ready = 1
	}
	out <- prometheus.MustNewConstMetric(m.ready, prometheus.GaugeValue, ready)
	out <- prometheus.MustNewConstMetric(m.refused, prometheus.GaugeValue, float64(v.Refused))
	out <- prometheus.MustNewConstMetric(m.violations, prometheus.CounterValue, float64(v.Violations))
}
