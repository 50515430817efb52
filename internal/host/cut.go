package host

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/forward"
)

// newCutCounter returns the counter of requests that ended without a complete response.
func newCutCounter() *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "heatherlift_requests_cut_total", Help: "Requests of callers whose connection ended without a complete response, by cause.",
	}, []string{"cause"})
	for _, cause := range forward.CutCauses {
		c.WithLabelValues(string(cause))
	}
	return c
}

// recordCut counts and logs a request whose connection ended without a complete
// response.
func (h *Host) recordCut(c forward.Cut) {
	h.metrics.requestsCut.WithLabelValues(string(c.Cause)).Inc()
	h.LogDecision(true, "request cut", func() []any {
		fields := []any{"cause", c.Cause, "caller", c.Caller, "age_ms", c.Age.Milliseconds(), "response_started", c.ResponseStarted}
		if c.Request != nil {
			fields = append(fields, "request", h.dialect.RequestID(c.Request))
		}
		if end := h.abortsAt(); !end.IsZero() {
			fields = append(fields, "shutdown_left_ms", time.Until(end).Milliseconds())
		}
		return fields
	})
}
