package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Dialect names the headers that are spoken with callers and backend servers.
// A field left empty is a header that does not exist.
type Dialect struct {
	// HostNames takes the Host header for the organisation's name and the
	// path as it was sent for the route.
	HostNames bool
	// RequestID is the caller's identifier of a request. Backend servers echo
	// it, so that an answer to another request is recognised.
	RequestID string
	// Signature is on each answer that a backend server made itself.
	Signature string
	// Expect names the instance that is meant; any other refuses the request
	// with 421.
	Expect string
	// NotRun marks the answer of a backend server that did not run the request.
	NotRun string
	// Caller names the service beside whose instance the request began.
	Caller string
	// StatusPromises makes the status tell whether a request was run: 503 and
	// 429 promise that it was not, 502 and 504 promise nothing.
	StatusPromises bool
}

// OwnDialect is heatherlift's own interface.
func OwnDialect() Dialect { return Dialect{} }

// own reports whether this is heatherlift's own interface.
func (d *Dialect) own() bool { return d.RequestID == "" }

// hop lists the headers of this package, between proxies and on refusals.
var hop = map[string]bool{
	OrganisationHeader: true,
	DeadlineHeader:     true,
	RetryHeader:        true,
	OutcomeHeader:      true,
	ReasonHeader:       true,
	VersionHeader:      true,
	loadHeader:         true,
	hopHeader:          true,
}

// passes reports whether a header is end to end: it concerns neither one
// connection only nor the exchange between proxies.
func (d *Dialect) passes(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
		"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Expect", "Host", "Content-Length":
		return false
	}
	if d.own() {
		return !internal(name)
	}
	return !hop[name] && name != d.Expect && name != d.NotRun
}

// fromCaller reports whether a caller's header is passed on; a proxy sets the
// others itself.
func (d *Dialect) fromCaller(name string) bool {
	return d.passes(name) && name != d.Caller
}

// organisation returns the organisation that a request names.
func (d *Dialect) organisation(r *http.Request) string {
	if d.HostNames {
		return r.Host
	}
	return r.Header.Get(OrganisationHeader)
}

// path returns the path by which a request is routed.
func (d *Dialect) path(r *http.Request) string {
	if !d.HostNames {
		return r.URL.Path
	}
	path, _, _ := strings.Cut(target(r), "?")
	return path
}

// key returns the caller's idempotency key.
func (d *Dialect) key(r *http.Request) string {
	if d.HostNames {
		return ""
	}
	return r.Header.Get(IdempotencyHeader)
}

// target returns the request target as it was sent.
func target(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// id returns the caller's identifier of a request.
func (d *Dialect) id(r *http.Request) string {
	if d.RequestID == "" {
		return ""
	}
	return r.Header.Get(d.RequestID)
}

// deadline returns the text of the deadline header for a backend server.
func (d *Dialect) deadline(left time.Duration) string {
	if d.own() {
		return formatDeadline(left)
	}
	return strconv.FormatInt(max(1, left.Milliseconds()), 10)
}

// status returns the status of a refusal that makes no false promise.
func (d *Dialect) status(r outcome.Refusal) int {
	if !d.StatusPromises {
		return r.Status
	}
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if r.Outcome != outcome.NotRun {
			return http.StatusBadGateway
		}
	case http.StatusGatewayTimeout, http.StatusBadGateway, http.StatusConflict:
		if r.Outcome == outcome.NotRun {
			return http.StatusServiceUnavailable
		}
	}
	return r.Status
}

// retryAfter returns the text of the Retry-After header.
func (d *Dialect) retryAfter(wait time.Duration) string {
	if d.StatusPromises {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}
