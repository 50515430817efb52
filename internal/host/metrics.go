package host

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"heatherlift.example/heatherlift/internal/decisionlog"
	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/outcome"
)

// Exponential buckets of the attempt duration histogram, with a factor of 2.
const (
	minAttemptBucket   = 250 * time.Microsecond
	attemptBucketCount = 18
)

// Exponential buckets of the histogram of estimate errors, with a factor of 2.
const (
	minEstimateErrorBucket   = time.Millisecond
	estimateErrorBucketCount = 12
)

// metrics holds the metrics of a proxy. It implements peer.Observer.
type metrics struct {
	registry        *prometheus.Registry
	bytesSent       prometheus.Counter
	bytesReceived   prometheus.Counter
	attemptDuration prometheus.Histogram
	estimateError   *prometheus.HistogramVec
	messagesRefused *prometheus.CounterVec
	sourceCalls     *prometheus.CounterVec
	refusals        *prometheus.CounterVec
	panics          *prometheus.CounterVec
	uploadOffers    *prometheus.CounterVec
	responsesHeld   prometheus.Gauge
	responsesPaced  prometheus.Counter
	responsePlans   *prometheus.CounterVec
	calls           prometheus.Counter
	requestsCut     *prometheus.CounterVec
	// clientsTurnedAway counts connections and requests that were refused for lack of room.
	clientsTurnedAway *prometheus.CounterVec
	log               *log.Logger
}

func newMetrics(h *Host) *metrics {
	peerBytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherlift_peer_bytes_total", Help: "Bytes of control messages exchanged with other proxies, TLS included.",
	}, []string{"direction"})
	m := &metrics{
		registry:      prometheus.NewRegistry(),
		bytesSent:     peerBytes.WithLabelValues("sent"),
		bytesReceived: peerBytes.WithLabelValues("received"),
		attemptDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "heatherlift_attempt_duration_seconds",
			Help:    "Time from sending an attempt to receiving the response header, for answered attempts.",
			Buckets: prometheus.ExponentialBuckets(minAttemptBucket.Seconds(), 2, attemptBucketCount),
		}),
		estimateError: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "heatherlift_estimate_error_seconds",
			Help:    "Difference between the expected time until a response header and the actual one, by whether the response was later or earlier than expected.",
			Buckets: prometheus.ExponentialBuckets(minEstimateErrorBucket.Seconds(), 2, estimateErrorBucketCount),
		}, []string{"response"}),
		messagesRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_peer_messages_refused_total", Help: "Messages and connections of other proxies that were refused, by cause.",
		}, []string{"cause"}),
		sourceCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_source_calls_total", Help: "Calls to the services of the platform, by kind and result.",
		}, []string{"kind", "result"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_requests_refused_total", Help: "Requests of callers that were refused, by outcome and reason.",
		}, []string{"outcome", "reason"}),
		panics: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_panics_total", Help: "Panics that were recovered, by place. Each one is a defect.",
		}, []string{"place"}),
		uploadOffers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_upload_offers_total", Help: "Bodies of uploads that other proxies offered to this one, by decision.",
		}, []string{"decision"}),
		responsesHeld: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "heatherlift_response_held_bytes", Help: "Bytes of responses that this proxy holds in memory for receivers that have not read them.",
		}),
		responsesPaced: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherlift_response_paced_bytes_total", Help: "Bytes of large responses that were sent in pieces over the link of the machine.",
		}),
		responsePlans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherlift_response_plans_total", Help: "Requests of other proxies whose response needs link time, by decision.",
		}, []string{"decision"}),
		calls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "heatherlift_calls_total", Help: "Requests that the local backend server sent to this proxy, by the address of their connections.",
		}),
		requestsCut: newCutCounter(),
		log:         h.log,

		clientsTurnedAway: newTurnedAwayCounter(),
	}
	m.registry.MustRegister(m.clientsTurnedAway, newIntakeMetrics(h))
	m.registry.MustRegister(newAdmissionMetrics(h))
	m.registry.MustRegister(peerBytes, m.attemptDuration, m.estimateError, m.messagesRefused, m.sourceCalls, m.refusals, m.panics, m.uploadOffers, m.calls, m.requestsCut)
	m.registry.MustRegister(m.responsesHeld, m.responsesPaced, m.responsePlans)
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.registry.MustRegister(newRequestMetrics(h))
	m.registry.MustRegister(newVersionMetrics(h))
	m.registry.MustRegister(newEvacuationMetrics(h))
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "heatherlift_version_in_force", Help: "Configuration version that this proxy enforces.",
	}, func() float64 {
		var v float64
		h.view(func(n *node.Node) { v = float64(n.Head().Version) })
		return v
	}))
	return m
}

// countLostLines exports the number of log lines that were lost.
func (m *metrics) countLostLines(q decisionlog.Output) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "heatherlift_log_lines_lost_total", Help: "Log lines that the output did not take.",
	}, func() float64 { return float64(q.Dropped()) }))
}

// Bytes implements peer.Observer.
func (m *metrics) Bytes(sent, received int) {
	m.bytesSent.Add(float64(sent))
	m.bytesReceived.Add(float64(received))
}

// observeEstimate records how far an estimate of the time until a response was off.
func (m *metrics) observeEstimate(expected, actual time.Duration) {
	if actual > expected {
		m.estimateError.WithLabelValues("later").Observe((actual - expected).Seconds())
		return
	}
	m.estimateError.WithLabelValues("earlier").Observe((expected - actual).Seconds())
}

// MessageRefused implements peer.Observer.
func (m *metrics) MessageRefused(cause string) {
	m.messagesRefused.WithLabelValues(cause).Inc()
}

func (m *metrics) countSourceCall(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.sourceCalls.WithLabelValues(kind, result).Inc()
}

func (m *metrics) countUploadOffer(admitted bool) {
	m.uploadOffers.WithLabelValues(decisionLabel(admitted)).Inc()
}

// responseObserver returns the observer of responses on the link of the machine, which adds
// what they hold to the account and bounds it.
func (m *metrics) responseObserver(account *intake.Account, bound int64) forward.ResponseObserver {
	return forward.ResponseObserver{
		HeldBound: bound,
		Held: func(delta int64) {
			m.responsesHeld.Add(float64(delta))
			account.AddShared(delta)
		},
		Paced:   func(bytes int) { m.responsesPaced.Add(float64(bytes)) },
		Decided: func(admitted bool) { m.responsePlans.WithLabelValues(decisionLabel(admitted)).Inc() },
	}
}

func decisionLabel(admitted bool) string {
	if admitted {
		return "admitted"
	}
	return "refused"
}

func (m *metrics) countRefusal(r outcome.Refusal) {
	m.refusals.WithLabelValues(string(r.Outcome), string(r.Reason)).Inc()
}
