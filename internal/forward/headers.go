// Package forward carries requests: from callers to the proxy beside the
// chosen backend server, and from there to the backend server. It decides
// nothing; the state machines of packages routing and admission do.
package forward

import (
	"bufio"
	"encoding/json"
	"hash"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Headers of the interface to callers.
const (
	// OrganisationHeader names the organisation of a request.
	OrganisationHeader = "Heatherlift-Organisation"
	// DeadlineHeader is the remaining time of a request in milliseconds.
	DeadlineHeader = "Heatherlift-Deadline-Ms"
	// RetryHeader marks a request that is itself a retry: no level below it
	// retries on top. A backend server passes it on with its own calls.
	RetryHeader = "Heatherlift-Retry"
	// IdempotencyHeader is the caller's key for a request.
	IdempotencyHeader = "Idempotency-Key"
	// OutcomeHeader tells on refusals whether the request was run.
	OutcomeHeader = "Heatherlift-Outcome"
	// ReasonHeader tells why a request was refused.
	ReasonHeader = "Heatherlift-Reason"
	// VersionHeader is the version under which a request was routed.
	VersionHeader = "Heatherlift-Version"
)

// maxRetryAfterSeconds bounds the Retry-After headers that are believed.
const maxRetryAfterSeconds = 3600

// loadHeader is the load that a proxy reports with each answer to another.
const loadHeader = "Heatherlift-Load"

// internal reports whether a name is one of this package or one that some
// backend servers do not tell from it.
func internal(name string) bool {
	const stem = "Heatherlift"
	return strings.HasPrefix(name, stem) && len(name) > len(stem) && (name[len(stem)] == '-' || name[len(stem)] == '_')
}

// listed reports whether the Connection header declares a header as one of
// its connection.
func listed(h http.Header, name string) bool {
	for _, line := range h["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}

// copyEndToEnd copies the end-to-end headers of an answer. Its length is one
// of them: it is valid for every hop.
func (d *Dialect) copyEndToEnd(out, in http.Header) {
	for name, values := range in {
		if (d.passes(name) || name == "Content-Length") && !listed(in, name) {
			out[name] = values
		}
	}
}

// writeEndToEnd writes the end-to-end headers of a request.
func (m *message) writeEndToEnd(w *bufio.Writer) {
	in := m.in.Header
	pass := m.dialect.passes
	if m.atEntry {
		pass = m.dialect.fromCaller
	}
	for name, values := range in {
		if !pass(name) || (name == IdempotencyHeader && !m.dialect.HostNames) || listed(in, name) {
			continue
		}
		for _, value := range values {
			writeField(w, name, value)
		}
	}
}

// remaining returns the time in a deadline header, 0 if there is none. It
// reports false if the header is malformed.
func remaining(h http.Header) (time.Duration, bool) {
	text := h.Get(DeadlineHeader)
	if text == "" {
		return 0, true
	}
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms > 0) || ms > math.MaxInt32 {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// formatDeadline returns the text of a deadline header.
func formatDeadline(d time.Duration) string {
	d = max(d, time.Microsecond)
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

// writeRefusal answers a request with a refusal, which ends the connection if
// closing is set or a header says so already.
func (d *Dialect) writeRefusal(w http.ResponseWriter, r outcome.Refusal, closing bool) {
	h := w.Header()
	if closing {
		h["Connection"] = []string{"close"}
	}
	h.Set(OutcomeHeader, string(r.Outcome))
	h.Set(ReasonHeader, string(r.Reason))
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", d.retryAfter(r.RetryAfter))
	}
	w.WriteHeader(d.status(r))
	_ = json.NewEncoder(w).Encode(struct {
		Outcome      outcome.Outcome `json:"outcome"`
		Reason       outcome.Reason  `json:"reason"`
		RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	}{r.Outcome, r.Reason, r.RetryAfter.Milliseconds()})
}

// refusalOf returns the refusal in a peer's answer, if it is one. An outcome
// that this program does not know proves nothing.
func refusalOf(resp *http.Response) (r outcome.Refusal, refused bool) {
	o := outcome.Outcome(resp.Header.Get(OutcomeHeader))
	if o == "" {
		return outcome.Refusal{}, false
	}
	if o != outcome.NotRun {
		o = outcome.Unknown
	}
	return outcome.Refusal{
		Outcome:    o,
		Reason:     outcome.Reason(resp.Header.Get(ReasonHeader)),
		Status:     resp.StatusCode,
		RetryAfter: retryAfter(resp.Header),
	}, true
}

// retryAfter returns the time in a Retry-After header, 0 if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) || seconds > maxRetryAfterSeconds {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// fingerprint identifies requests that are equal in organisation, method,
// target and body.
func fingerprint(org string, r *http.Request, body []byte) uint64 {
	var d hash.Hash64 = xxhash.New()
	for _, part := range []string{org, r.Method, target(r)} {
		_, _ = d.Write([]byte(part))
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
