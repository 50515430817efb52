// Package forward carries requests: from callers to the proxy beside the
// chosen backend server, and from there to the backend server. It decides
// nothing; the state machines of packages routing and admission do.
package forward

import (
	"encoding/json"
	"hash"
	"math"
	"net/http"
	"net/textproto"
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
	// IdempotencyHeader is the caller's key for a request.
	IdempotencyHeader = "Idempotency-Key"
	// OutcomeHeader tells on refusals whether the request was run.
	OutcomeHeader = "Heatherlift-Outcome"
	// ReasonHeader tells why a request was refused.
	ReasonHeader = "Heatherlift-Reason"
	// VersionHeader is the version under which a request was routed.
	VersionHeader = "Heatherlift-Version"
)

// Headers between proxies.
const (
	internalPrefix    = "Heatherlift-"
	requestHeader     = "Heatherlift-Request"
	repeatableHeader  = "Heatherlift-Repeatable"
	fingerprintHeader = "Heatherlift-Fingerprint"
)

// hopByHop lists headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of h without the headers of one hop and without
// those of this package.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		if !strings.HasPrefix(name, internalPrefix) {
			out[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
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
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

// writeRefusal answers a request with a refusal.
func writeRefusal(w http.ResponseWriter, r outcome.Refusal) {
	h := w.Header()
	h.Set(OutcomeHeader, string(r.Outcome))
	h.Set(ReasonHeader, string(r.Reason))
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := int64(math.Ceil(r.RetryAfter.Seconds()))
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(struct {
		Outcome      outcome.Outcome `json:"outcome"`
		Reason       outcome.Reason  `json:"reason"`
		RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	}{r.Outcome, r.Reason, r.RetryAfter.Milliseconds()})
}

// refusalOf returns the refusal in a peer's answer, if it is one.
func refusalOf(resp *http.Response) (outcome.Outcome, outcome.Reason, bool) {
	o := outcome.Outcome(resp.Header.Get(OutcomeHeader))
	return o, outcome.Reason(resp.Header.Get(ReasonHeader)), o != ""
}

// retryAfter returns the time in a Retry-After header, 0 if there is none.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// fingerprint identifies requests that are equal in organisation, method,
// target and body.
func fingerprint(org string, r *http.Request, body []byte) uint64 {
	var d hash.Hash64 = xxhash.New()
	for _, part := range []string{org, r.Method, r.URL.RequestURI()} {
		_, _ = d.Write([]byte(part))
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}
