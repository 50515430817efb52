package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/node"
)

// loadCounter exposes one counter of the reducer.
type loadCounter struct {
	desc  *prometheus.Desc
	value func(node.RequestStats) uint64
}

func newLoadCounter(name, help string, value func(node.RequestStats) uint64) loadCounter {
	return loadCounter{prometheus.NewDesc("heatherlift_"+name+"_total", help, nil, nil), value}
}

// loadMetrics collects the reducer's counters of routing and rate limits.
type loadMetrics struct {
	host     *Host
	counters []loadCounter
}

func newLoadMetrics(h *Host) *loadMetrics {
	return &loadMetrics{host: h, counters: []loadCounter{
		newLoadCounter("requests", "Requests received from callers.", func(l node.RequestStats) uint64 { return l.Routing.Arrived }),
		newLoadCounter("attempts", "Attempts sent to instances.", func(l node.RequestStats) uint64 { return l.Routing.Attempts }),
		newLoadCounter("redirects", "Attempts sent again because no backend server ran the previous attempt.", func(l node.RequestStats) uint64 { return l.Routing.Redirects }),
		newLoadCounter("retries", "Attempts charged to a retry budget.", func(l node.RequestStats) uint64 { return l.Routing.Retries }),
		newLoadCounter("retry_budget_exhausted", "Retries suppressed because a retry budget was exhausted.", func(l node.RequestStats) uint64 { return l.Routing.RetryBudgetExhausted }),
		newLoadCounter("implausible_retries", "Retries suppressed because too little time was left before the deadline.", func(l node.RequestStats) uint64 { return l.Routing.ImplausibleRetries }),
		newLoadCounter("ejections", "Ejections of instances because of failures.", func(l node.RequestStats) uint64 { return l.Routing.Ejections }),
		newLoadCounter("ejections_denied", "Ejections suppressed because the maximum share of instances was ejected.", func(l node.RequestStats) uint64 { return l.Routing.EjectionsDenied }),
		newLoadCounter("zone_spills", "Attempts sent to another availability zone because the local one was overloaded, slow or had just failed.", func(l node.RequestStats) uint64 { return l.Routing.Spills }),
		newLoadCounter("rate_limited", "Requests refused by a rate limit.", func(l node.RequestStats) uint64 { return l.Routing.RateLimited }),
		newLoadCounter("concurrency_limited", "Requests refused by a concurrency limit.", func(l node.RequestStats) uint64 { return l.Routing.ConcurrencyLimited }),
		newLoadCounter("limit_asks", "Requests for rate-limit credits, counted per organisation.", func(l node.RequestStats) uint64 { return l.Limit.CreditRequests }),
		newLoadCounter("limit_grants", "Requests for rate-limit credits answered as an owner, counted per organisation.", func(l node.RequestStats) uint64 { return l.Limit.Grants }),
		newLoadCounter("limit_failures", "Messages to owners of rate limits that got no reply.", func(l node.RequestStats) uint64 { return l.Limit.Failures }),
		newLoadCounter("limit_borrowed", "Requests admitted on borrowed credits before a grant arrived.", func(l node.RequestStats) uint64 { return l.Limit.Borrowed }),
		newLoadCounter("limit_static", "Requests admitted against the static share of the rate limit.", func(l node.RequestStats) uint64 { return l.Limit.Static }),
	}}
}

// Describe implements prometheus.Collector.
func (m *loadMetrics) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range m.counters {
		ch <- c.desc
	}
}

// Collect implements prometheus.Collector.
func (m *loadMetrics) Collect(ch chan<- prometheus.Metric) {
	var load node.RequestStats
	m.host.view(func(n *node.Node) { load = n.RequestStats() })
	for _, c := range m.counters {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(c.value(load)))
	}
}
