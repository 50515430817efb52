package host

import (
	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/dedupe"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/quarantine"
)

// admissionMetrics collects the metrics of admission control, idempotency keys
// and the quarantine of requests that crash backend servers.
type admissionMetrics struct {
	host *Host

	requests, refused, running, waiting, slots *prometheus.Desc
	rateLimit, leaving, reports, warmUp        *prometheus.Desc
	claims, keys, suspects                     *prometheus.Desc
	incidents, quarantined, evidence           *prometheus.Desc
}

func newAdmissionMetrics(h *Host) *admissionMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("heatherlift_admission_"+name, help, labels, nil)
	}
	return &admissionMetrics{
		host:        h,
		requests:    desc("requests_total", "Events of requests for the local backend server, including fence queries and crashes.", "what"),
		refused:     desc("refused_total", "Requests for the local backend server that were refused, by reason.", "reason"),
		running:     desc("running", "Requests running on the backend server."),
		waiting:     desc("waiting", "Requests waiting for a slot of the backend server or for the result of the claim on their idempotency key."),
		slots:       desc("slots", "Current limit on concurrent requests to the backend server."),
		rateLimit:   desc("rate_limit", "Rate limit that the local backend server names in its responses, in requests per second; absent if it names none."),
		leaving:     desc("reported_leaving", "1 if the local backend server states in its responses that it is about to end, 0 otherwise."),
		warmUp:      prometheus.NewDesc("heatherlift_warmup_seconds_left", "Remaining warm-up time of the local backend server, 0 if it is warm; absent if its service names no warm-up.", nil, nil),
		reports:     desc("reports_total", "Responses in which the local backend server states something about itself, by what.", "what"),
		claims:      desc("claims_total", "Claims by this proxy on idempotency keys, by result.", "result"),
		keys:        desc("keys", "Idempotency keys that this proxy stores as one of their owners."),
		suspects:    desc("suspects", "Fingerprints of requests suspected of crashing backend servers."),
		incidents:   desc("incidents_total", "Crashes of backend servers with requests in flight that this proxy saw, and messages of others that told of a crash, by source.", "source"),
		quarantined: desc("quarantined_total", "Requests refused because they are suspected of crashing backend servers, at entry or for the local backend server."),
		evidence:    desc("crash_evidence_total", "Messages about crashes sent to other proxies, those without a reply, and evidence of others that was out of bounds.", "what"),
	}
}

// Describe implements prometheus.Collector.
func (m *admissionMetrics) Describe(c chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(m, c)
}

// Collect implements prometheus.Collector.
func (m *admissionMetrics) Collect(c chan<- prometheus.Metric) {
	var a admission.State
	var d dedupe.State
	var q quarantine.State
	m.host.view(func(n *node.Node) { a, d, q = n.Admission() })
	counter := func(desc *prometheus.Desc, n uint64, labels ...string) {
		c <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n), labels...)
	}
	gauge := func(desc *prometheus.Desc, n int) {
		c <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(n))
	}
	counter(m.requests, a.Counters.Arrived, "arrived")
	counter(m.requests, a.Counters.Calls, "call")
	counter(m.requests, a.Counters.Run, "run")
	counter(m.requests, a.Counters.Answered, "answered")
	counter(m.requests, a.Counters.Abandoned, "abandoned")
	counter(m.requests, a.Counters.Fences, "fence-asked")
	counter(m.requests, a.Counters.FencesProvenNotRun, "fence-proven")
	counter(m.requests, a.Counters.Crashes, "crash")
	for reason, n := range a.Counters.Refused {
		counter(m.refused, n, string(reason))
	}
	counter(m.claims, d.Counters.Granted, "granted")
	counter(m.claims, d.Counters.Denied, "seen")
	counter(m.claims, d.Counters.ClaimsFailed, "failed")
	gauge(m.running, a.Running)
	gauge(m.waiting, a.Waiting+a.AwaitingClaim)
	gauge(m.slots, a.Slots)
	if a.RateLimit != nil {
		c <- prometheus.MustNewConstMetric(m.rateLimit, prometheus.GaugeValue, *a.RateLimit)
	}
	if a.WarmUp != nil {
		c <- prometheus.MustNewConstMetric(m.warmUp, prometheus.GaugeValue, a.WarmUp.Left.Seconds())
	}
	leaving := 0
	if a.ReportedLeaving {
		leaving = 1
	}
	gauge(m.leaving, leaving)
	counter(m.reports, a.Counters.RateLimitReports, "rate-limit")
	counter(m.reports, a.Counters.LeavingReports, "leaving")
	counter(m.reports, a.Counters.LoadReports, "load")
	counter(m.reports, a.Counters.InvalidReports, "invalid")
	gauge(m.keys, d.Keys)
	gauge(m.suspects, len(q.Suspects))
	counter(m.incidents, q.Counters.LocalCrashes, "local")
	counter(m.incidents, q.Counters.Learnt, "peer")
	counter(m.quarantined, q.Counters.Refused)
	counter(m.evidence, q.Counters.Sent, "sent")
	counter(m.evidence, q.Counters.SendsFailed, "failed")
	counter(m.evidence, q.Counters.Invalid, "invalid")
}
