package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/node"
)

// evacuationMetrics collects the metrics of evacuated availability zones.
type evacuationMetrics struct {
	host               *Host
	evacuated, ignored *prometheus.Desc
}

func newEvacuationMetrics(h *Host) *evacuationMetrics {
	return &evacuationMetrics{
		host:      h,
		evacuated: prometheus.NewDesc("heatherlift_zone_evacuated", "1 for each availability zone to which nothing is sent because the operator evacuated it.", []string{"zone"}, nil),
		ignored:   prometheus.NewDesc("heatherlift_evacuation_keys_ignored_total", "Evacuations that had no effect when they were read, by cause.", []string{"cause"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (m *evacuationMetrics) Describe(out chan<- *prometheus.Desc) {
	out <- m.evacuated
	out <- m.ignored
}

// Collect implements prometheus.Collector.
func (m *evacuationMetrics) Collect(out chan<- prometheus.Metric) {
	var s *node.EvacuationStats
	m.host.view(func(n *node.Node) { s = n.EvacuationStats() })
	if s == nil {
		return
	}
	for _, e := range s.Evacuations {
		out <- prometheus.MustNewConstMetric(m.evacuated, prometheus.GaugeValue, 1, e.Zone)
	}
	out <- prometheus.MustNewConstMetric(m.ignored, prometheus.CounterValue, float64(s.Malformed), "malformed")
	out <- prometheus.MustNewConstMetric(m.ignored, prometheus.CounterValue, float64(s.Unknown), "unknown zone")
}
