package forward

import (
	"io"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// maxSmallBodyBytes is the size up to which a request body is kept in
	// memory, so that the request can be sent again.
	maxSmallBodyBytes = 64 << 10
	// smallBodyTimeout limits the time in which a small body has to arrive.
	smallBodyTimeout = 30 * time.Second
)

// singletonHeaders lists the headers that a request may contain only once.
var singletonHeaders = []string{OrganisationHeader, DeadlineHeader, IdempotencyHeader}

// validate returns the time budget that the caller set, 0 if there is none, or
// the refusal of a request that cannot be forwarded.
func (d *Dialect) validate(r *http.Request) (budget time.Duration, refusal outcome.Refusal, ok bool) {
	if r.Header["Upgrade"] != nil {
		return 0, notRun(outcome.UpgradeUnsupported, http.StatusNotImplemented), false
	}
	ok = d.OrganisationFromHost || hasUnambiguousPath(r)
	for _, name := range singletonHeaders {
		ok = ok && len(r.Header[name]) <= 1
	}
	budget, valid := parseDeadline(r.Header)
	if !ok || !valid {
		return 0, notRun(outcome.MalformedRequest, http.StatusBadRequest), false
	}
	return budget, outcome.Refusal{}, true
}

func notRun(reason outcome.Reason, status int) outcome.Refusal {
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Status: status}
}

// hasUnambiguousPath reports whether all backend servers interpret the path in
// the same way.
func hasUnambiguousPath(r *http.Request) bool {
	p := r.URL.Path
	if !strings.HasPrefix(p, "/") || strings.ContainsFunc(p, isAmbiguousRune) || hasEncodedSlash(r.URL.RawPath) {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// isAmbiguousRune reports whether backend servers differ in how they interpret
// a character.
func isAmbiguousRune(r rune) bool {
	return r < ' ' || r == 0x7f || r == '\\'
}

func hasEncodedSlash(rawPath string) bool {
	return rawPath != "" && strings.Contains(strings.ToLower(rawPath), "%2f")
}

// hasSmallBody reports whether the request body is kept in memory.
func hasSmallBody(r *http.Request) bool {
	return r.ContentLength >= 0 && r.ContentLength <= maxSmallBodyBytes
}

// firstBodyBytes is what is held at once of a body while there is little room.
const firstBodyBytes = 4 << 10

// readSmallBody reads the whole body of a request for which hasSmallBody holds.
// The body has to arrive within the given time, or within smallBodyTimeout if that
// is 0 or longer. What is held of it is charged to the lease; the error is errNoRoom if
// there is no room for it.
func readSmallBody(w http.ResponseWriter, r *http.Request, within time.Duration, lease *intake.Lease) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	defer limitReading(w, within)()
	var body []byte
	for read := 0; read < int(r.ContentLength); {
		// A body is held as it arrives while there is little room, since its sender may
		// stop short of its end.
		size := int(r.ContentLength)
		if !lease.Roomy() {
			size = min(size, max(firstBodyBytes, 2*read))
		}
		if !lease.Acquire(int64(size - len(body))) {
			return nil, errNoRoom
		}
		grown := make([]byte, size)
		copy(grown, body)
		body = grown
		n, err := io.ReadFull(r.Body, body[read:])
		if err != nil {
			return nil, errors.Wrapf(errBody, "%v", err)
		}
		read += n
	}
	return body, nil
}

// readUnsizedBody reads the body of a request that does not state its length, in the same
// time. If it is longer than maxSmallBodyBytes, it reports false, and the body is read again
// from its beginning.
func readUnsizedBody(w http.ResponseWriter, r *http.Request, within time.Duration, lease *intake.Lease) (body []byte, ended bool, err error) {
	if !lease.Acquire(maxSmallBodyBytes) {
		return nil, false, errNoRoom
	}
	defer limitReading(w, within)()
	body, err = io.ReadAll(io.LimitReader(r.Body, maxSmallBodyBytes+1))
	if err != nil {
		return nil, false, errors.Wrapf(errBody, "%v", err)
	}
	if len(body) <= maxSmallBodyBytes {
		return body, true, nil
	}
	if b, ok := r.Body.(*callerBody); ok {
		b.ahead = body
	}
	return nil, false, nil
}

// leaseOf returns what the request of a response writer holds.
func leaseOf(w http.ResponseWriter) *intake.Lease {
	if x, ok := w.(interface{ requestLease() *intake.Lease }); ok {
		return x.requestLease()
	}
	return &intake.Lease{}
}

// limitReading limits the time in which a body has to arrive until the returned function is
// called.
func limitReading(w http.ResponseWriter, within time.Duration) (end func()) {
	controller := http.NewResponseController(w)
	if within <= 0 {
		within = smallBodyTimeout
	}
	_ = controller.SetReadDeadline(time.Now().Add(min(within, smallBodyTimeout)))
	return func() { _ = controller.SetReadDeadline(time.Time{}) }
}
