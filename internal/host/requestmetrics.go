package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/node"
)

// requestCounter exposes one counter of node.RequestStats.
type requestCounter struct {
	desc  *prometheus.Desc
	value func(node.RequestStats) uint64
}

func newRequestCounter(name, help string, value func(node.RequestStats) uint64) requestCounter {
	return requestCounter{prometheus.NewDesc("heatherlift_"+name+"_total", help, nil, nil), value}
}

// requestMetrics collects the counters of routing and rate limits.
type requestMetrics struct {
	host     *Host
	counters []requestCounter
}

func newRequestMetrics(h *Host) *requestMetrics {
	return &requestMetrics{host: h, counters: []requestCounter{
		newRequestCounter("requests", "Requests received from callers.", func(s node.RequestStats) uint64 { return s.Routing.Arrived }),
		newRequestCounter("waited_for_version", "Requests that waited for the first version of a process that had just started.", func(s node.RequestStats) uint64 { return s.Routing.WaitedForVersion }),
		newRequestCounter("attempts", "Attempts sent to instances.", func(s node.RequestStats) uint64 { return s.Routing.Attempts }),
		newRequestCounter("redirects", "Further attempts that are not charged to a retry budget, because no backend server ran the previous attempt.", func(s node.RequestStats) uint64 { return s.Routing.Redirects }),
		newRequestCounter("retries", "Attempts charged to a retry budget.", func(s node.RequestStats) uint64 { return s.Routing.Retries }),
		newRequestCounter("retry_budget_exhausted", "Retries suppressed because a retry budget was exhausted.", func(s node.RequestStats) uint64 { return s.Routing.RetryBudgetExhausted }),
		newRequestCounter("implausible_retries", "Retries suppressed because too little time was left before the deadline.", func(s node.RequestStats) uint64 { return s.Routing.ImplausibleRetries }),
		newRequestCounter("refused_by_stop", "Requests refused because they would not have been answered before the end of a stop of this proxy.", func(s node.RequestStats) uint64 { return s.Routing.RefusedByStop }),
		newRequestCounter("late_returns", "Refused requests that are late in any case, whose callers were told to return over a part of the time that they have left.", func(s node.RequestStats) uint64 { return s.Routing.LateReturns }),
		newRequestCounter("ejections", "Ejections of instances because of failures.", func(s node.RequestStats) uint64 { return s.Routing.Ejections }),
		newRequestCounter("ejections_denied", "Ejections suppressed because the maximum share of instances was ejected.", func(s node.RequestStats) uint64 { return s.Routing.EjectionsDenied }),
		newRequestCounter("zone_spills", "Attempts sent to another availability zone because the local one was overloaded, slow or had just failed.", func(s node.RequestStats) uint64 { return s.Routing.ZoneSpills }),
		newRequestCounter("placed_by_finish", "Attempts whose instance was chosen by expected finish.", func(s node.RequestStats) uint64 { return s.Routing.PlacedByFinish }),
		newRequestCounter("placed_for_target", "Attempts sent to another availability zone because only the instance there was expected to meet the target.", func(s node.RequestStats) uint64 { return s.Routing.PlacedForTarget }),
		newRequestCounter("cost_reports", "Reports of waits and service times received from other proxies.", func(s node.RequestStats) uint64 { return s.Routing.CostReports }),
		newRequestCounter("rate_limited", "Requests refused by a rate limit.", func(s node.RequestStats) uint64 { return s.Routing.RateLimited }),
		newRequestCounter("concurrency_limited", "Requests refused by a concurrency limit.", func(s node.RequestStats) uint64 { return s.Routing.ConcurrencyLimited }),
		newRequestCounter("limit_asks", "Requests for rate-limit credits, counted per organisation.", func(s node.RequestStats) uint64 { return s.Limit.CreditRequests }),
		newRequestCounter("limit_grants", "Requests for rate-limit credits answered as an owner, counted per organisation.", func(s node.RequestStats) uint64 { return s.Limit.Grants }),
		newRequestCounter("limit_failures", "Messages to owners of rate limits that got no reply.", func(s node.RequestStats) uint64 { return s.Limit.Failures }),
		newRequestCounter("limit_borrowed", "Requests admitted on borrowed credits before a grant arrived.", func(s node.RequestStats) uint64 { return s.Limit.Borrowed }),
		newRequestCounter("limit_static", "Requests admitted against the static share of the rate limit.", func(s node.RequestStats) uint64 { return s.Limit.Static }),
	}}
}

// Describe implements prometheus.Collector.
func (m *requestMetrics) Describe(ch chan<- *prometheus.Desc) {
	for _, c := range m.counters {
		ch <- c.desc
	}
}

// Collect implements prometheus.Collector.
func (m *requestMetrics) Collect(ch chan<- prometheus.Metric) {
	var stats node.RequestStats
	m.host.view(func(n *node.Node) { stats = n.RequestStats() })
	for _, c := range m.counters {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(c.value(stats)))
	}
}
