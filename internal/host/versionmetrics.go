package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/node"
)

// versionMetrics collects the metrics of readiness and configuration versions.
type versionMetrics struct {
	host                       *Host
	ready, refused, violations *prometheus.Desc
	era, restorations, dropped *prometheus.Desc
}

func newVersionMetrics(h *Host) *versionMetrics {
	return &versionMetrics{
		host:         h,
		ready:        prometheus.NewDesc("heatherlift_ready", "1 if the proxy is ready to accept requests, 0 otherwise.", nil, nil),
		refused:      prometheus.NewDesc("heatherlift_version_refused", "Refused configuration version newer than the one held, 0 if there is none.", nil, nil),
		violations:   prometheus.NewDesc("heatherlift_version_violations_total", "Messages from peers that violated the protocol for distributing configuration versions.", nil, nil),
		era:          prometheus.NewDesc("heatherlift_store_era", "Era of the platform's store, 0 if it names none.", nil, nil),
		restorations: prometheus.NewDesc("heatherlift_store_restorations_total", "Restorations of the platform's store from an older copy.", nil, nil),
		dropped:      prometheus.NewDesc("heatherlift_store_answers_dropped_total", "Answers of the platform's store or of readers that were dropped, by cause.", []string{"cause"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (m *versionMetrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.ready
	out <- m.refused
	out <- m.violations
	out <- m.era
	out <- m.restorations
	out <- m.dropped
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
	if v.Store == nil {
		return
	}
	out <- prometheus.MustNewConstMetric(m.era, prometheus.GaugeValue, float64(v.Store.Position.Era))
	out <- prometheus.MustNewConstMetric(m.restorations, prometheus.CounterValue, float64(v.Store.Restorations))
	out <- prometheus.MustNewConstMetric(m.dropped, prometheus.CounterValue, float64(v.Store.LateAnswers), "older era")
	out <- prometheus.MustNewConstMetric(m.dropped, prometheus.CounterValue, float64(v.Store.MissingEras), "no era")
}
