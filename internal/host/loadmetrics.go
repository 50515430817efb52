package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/node"
)

// loadCounter is a counter that the reducer keeps.
type loadCounter struct {
	desc  *prometheus.Desc
	value func(node.Load) uint64
}

func newLoadCounter(name, help string, value func(node.Load) uint64) loadCounter {
	return loadCounter{prometheus.NewDesc("heatherlift_"+name+"_total", help, nil, nil), value}
}

// loadMetrics exposes the reducer's counters of requests and limits.
type loadMetrics struct {
	host     *Host
	counters []loadCounter
}

func newLoadMetrics(h *Host) *loadMetrics {
	return &loadMetrics{host: h, counters: []loadCounter{
		newLoadCounter("requests", "Requests of callers.", func(l node.Load) uint64 { return l.Routing.Arrived }),
		newLoadCounter("attempts", "Attempts sent to instances.", func(l node.Load) uint64 { return l.Routing.Attempts }),
		newLoadCounter("redirects", "Attempts after one that no backend server worked on.", func(l node.Load) uint64 { return l.Routing.Redirects }),
		newLoadCounter("retries", "Attempts charged to the retry budgets.", func(l node.Load) uint64 { return l.Routing.Retries }),
		newLoadCounter("retry_budget_exhausted", "Retries that the budgets forbade.", func(l node.Load) uint64 { return l.Routing.RetryBudgetExhausted }),
		newLoadCounter("implausible_retries", "Retries left out for want of time.", func(l node.Load) uint64 { return l.Routing.ImplausibleRetries }),
		newLoadCounter("ejections", "Instances ejected for failures.", func(l node.Load) uint64 { return l.Routing.Ejections }),
		newLoadCounter("ejections_denied", "Ejections that the floor forbade.", func(l node.Load) uint64 { return l.Routing.EjectionsDenied }),
		newLoadCounter("zone_spills", "Attempts that left the availability zone under load.", func(l node.Load) uint64 { return l.Routing.Spills }),
		newLoadCounter("rate_limited", "Requests beyond a rate limit.", func(l node.Load) uint64 { return l.Routing.RateLimited }),
		newLoadCounter("concurrency_limited", "Requests beyond a concurrency limit.", func(l node.Load) uint64 { return l.Routing.ConcurrencyLimited }),
		newLoadCounter("limit_asks", "Requests for credits of one organisation.", func(l node.Load) uint64 { return l.Limit.Asks }),
		newLoadCounter("limit_grants", "Requests for credits answered as an owner.", func(l node.Load) uint64 { return l.Limit.Grants }),
		newLoadCounter("limit_failures", "Messages to owners of limits without reply.", func(l node.Load) uint64 { return l.Limit.Failures }),
		newLoadCounter("limit_borrowed", "Requests admitted before credits came.", func(l node.Load) uint64 { return l.Limit.Borrowed }),
		newLoadCounter("limit_static", "Requests admitted against the static share.", func(l node.Load) uint64 { return l.Limit.Static }),
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
	var load node.Load
	m.host.view(func(n *node.Node) { load = n.Load() })
	for _, c := range m.counters {
		ch <- prometheus.MustNewConstMetric(c.desc, prometheus.CounterValue, float64(c.value(load)))
	}
}
