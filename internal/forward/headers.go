// Package forward forwards requests from callers to the sidecar proxy of the
// chosen backend server, and from there to the backend server. It makes no
// decisions of its own; the state machines of packages routing and admission
// do.
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
	// RetryHeader marks a request that is itself a retry, so that services
	// further down the call chain do not retry it as well. A backend server
	// copies it to the calls that it makes for the request.
	RetryHeader = "Heatherlift-Retry"
	// IdempotencyHeader is the caller's idempotency key of a request.
	IdempotencyHeader = "Idempotency-Key"
	// OutcomeHeader tells on refusals whether the request was run.
	OutcomeHeader = "Heatherlift-Outcome"
	// ReasonHeader tells why a request was refused.
	ReasonHeader = "Heatherlift-Reason"
	// VersionHeader is the configuration version by which a request was routed.
	VersionHeader = "Heatherlift-Version"
)

// maxRetryAfterSeconds limits the accepted Retry-After values. Larger ones are
// ignored.
const maxRetryAfterSeconds = 3600

// loadHeader is the load that a proxy reports to other proxies with each
// response.
const loadHeader = "Heatherlift-Load"

// linkBusyHeader, with the value 1, marks a refusal between proxies for lack of link time
// for the response. Proxies that do not know it take the refusal for one of the queue.
const linkBusyHeader = "Heatherlift-Link-Busy"

// isReservedHeader reports whether a header name is reserved for this package.
// That includes names with an underscore after the prefix, which some backend
// servers treat like a hyphen.
func isReservedHeader(name string) bool {
	const prefix = "Heatherlift"
	return strings.HasPrefix(name, prefix) && len(name) > len(prefix) && (name[len(prefix)] == '-' || name[len(prefix)] == '_')
}

// connectionOptions are the names that a Connection header lists as specific to the
// connection.
type connectionOptions struct {
	// only is the only option, and all holds them in lower case if there are several.
	only string
	all  map[string]struct{}
}

// connectionOptionsOf returns the options of a header. They are collected once for all fields,
// since both may be many.
func connectionOptionsOf(h http.Header) (o connectionOptions) {
	lines := h["Connection"]
	if len(lines) == 0 {
		return o
	}
	if len(lines) == 1 && !strings.Contains(lines[0], ",") {
		o.only = strings.TrimSpace(lines[0])
		return o
	}
	o.all = make(map[string]struct{})
	for _, line := range lines {
		for option := range strings.SplitSeq(line, ",") {
			o.all[strings.ToLower(strings.TrimSpace(option))] = struct{}{}
		}
	}
	return o
}

// contains reports whether a header is specific to the connection.
func (o connectionOptions) contains(name string) bool {
	if o.all == nil {
		return o.only != "" && strings.EqualFold(o.only, name)
	}
	_, ok := o.all[strings.ToLower(name)]
	return ok
}

// copyEndToEndHeaders copies the end-to-end headers of a response.
// Content-Length is included because it is valid on every hop.
func (d *Dialect) copyEndToEndHeaders(out, in http.Header) {
	options := connectionOptionsOf(in)
	for name, values := range in {
		if (d.isEndToEnd(name) || name == "Content-Length") && !options.contains(name) {
			out[name] = values
		}
	}
}

// writeEndToEndHeaders writes the end-to-end headers of a request.
func (out *outgoingRequest) writeEndToEndHeaders(w *bufio.Writer) {
	in := out.in.Header
	forwarded := out.dialect.isEndToEnd
	if out.fromCaller {
		forwarded = out.dialect.isForwardedFromCaller
	}
	options := connectionOptionsOf(in)
	for name, values := range in {
		if !forwarded(name) || (name == IdempotencyHeader && !out.dialect.OrganisationFromHost) || options.contains(name) {
			continue
		}
		for _, value := range values {
			writeField(w, name, value)
		}
	}
}

// parseDeadline returns the remaining time in the deadline header, 0 if there is
// no header. It reports false if the header is malformed or out of range.
func parseDeadline(h http.Header) (time.Duration, bool) {
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

// formatDeadline returns the value of the deadline header in milliseconds, with
// three decimals.
func formatDeadline(d time.Duration) string {
	d = max(d, time.Microsecond)
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

// writeRefusal writes a refusal as the response. The connection is closed after
// it if closeConn is set or the Connection header is already set to close.
func (d *Dialect) writeRefusal(w http.ResponseWriter, r outcome.Refusal, closeConn bool) {
	h := w.Header()
	if closeConn {
		h["Connection"] = []string{"close"}
	}
	h.Set(OutcomeHeader, string(r.Outcome))
	h.Set(ReasonHeader, string(r.Reason))
	if r.LinkBusy {
		h.Set(linkBusyHeader, "1")
	}
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", d.formatRetryAfter(r.RetryAfter))
	}
	w.WriteHeader(d.refusalStatus(r))
	_ = json.NewEncoder(w).Encode(struct {
		Outcome      outcome.Outcome `json:"outcome"`
		Reason       outcome.Reason  `json:"reason"`
		RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
	}{r.Outcome, r.Reason, r.RetryAfter.Milliseconds()})
}

// parseRefusal returns the refusal in a peer's response, and whether the response
// is a refusal. Any outcome except NotRun is treated as Unknown, because an
// unrecognised value proves nothing.
func parseRefusal(resp *http.Response) (r outcome.Refusal, refused bool) {
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
		RetryAfter: parseRetryAfter(resp.Header),
		LinkBusy:   o == outcome.NotRun && resp.Header.Get(linkBusyHeader) != "",
	}, true
}

// parseRetryAfter returns the time in the Retry-After header, 0 if there is
// none.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) || seconds > maxRetryAfterSeconds {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// fingerprint returns a hash of the organisation, method, target and body,
// which identifies equal requests.
func fingerprint(org string, r *http.Request, body []byte) uint64 {
	var d hash.Hash64 = xxhash.New()
	for _, part := range []string{org, r.Method, requestTarget(r)} {
		_, _ = d.Write([]byte(part))
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	if len(body) == 0 && r.ContentLength != 0 { // the body is streamed
		_, _ = d.Write(strconv.AppendInt(nil, r.ContentLength, 10))
	}
	return d.Sum64()
}
