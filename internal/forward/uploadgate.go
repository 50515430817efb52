package forward

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/transfer"
)

// uploadGate is a transfer.Gate for concurrent use.
type uploadGate struct {
	observe func(admitted bool)
	mu      sync.Mutex
	gate    *transfer.Gate
}

func (g *uploadGate) decide(b transfer.Body) transfer.Decision {
	g.mu.Lock()
	d := g.gate.Decide(time.Now(), b)
	g.mu.Unlock()
	g.observe(d.Admitted)
	return d
}

// awaitUpload waits until an offered body may be sent over the link of this machine. It
// returns the refusal of a body that would come too late: the request was not run.
func (l *LocalForwarder) awaitUpload(r *http.Request, arrived admission.Arrived) (outcome.Refusal, bool) {
	if l.uploads == nil || !strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		return outcome.Refusal{}, true
	}
	decision := l.uploads.decide(transfer.Body{Bytes: r.ContentLength, Target: arrived.Target, Deadline: arrived.Deadline, Patience: arrived.Patience})
	if !decision.Admitted {
		refusal := notRun(outcome.Overload, http.StatusServiceUnavailable)
		if arrived.Patience > 0 {
			refusal.Reason = outcome.InstanceBusy
		}
		refusal.RetryAfter = decision.Wait
		l.logUpload(r, arrived, refusal)
		return refusal, false
	}
	if decision.Wait == 0 {
		return outcome.Refusal{}, true
	}
	timer := time.NewTimer(decision.Wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return outcome.Refusal{}, true
	case <-r.Context().Done():
		return notRun(outcome.Cancelled, http.StatusServiceUnavailable), false
	}
}

func (l *LocalForwarder) logUpload(r *http.Request, arrived admission.Arrived, refusal outcome.Refusal) {
	logDecision(l.core, true, "upload refused", func() []any {
		return []any{
			"request", l.dialect.RequestID(r),
			"instance", arrived.Instance,
			"bytes", r.ContentLength,
			"reason", refusal.Reason,
			"retry_after_ms", refusal.RetryAfter.Milliseconds(),
			"left_ms", time.Until(arrived.Deadline).Milliseconds(),
		}
	})
}
