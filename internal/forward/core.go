package forward

import (
	"bytes"
	"io"
	"net/http"
	"path"
	"strings"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// Core is the reducer that decides about requests.
type Core interface {
	// Route feeds an event about a caller's request to the reducer.
	Route(e routing.Event)
	// Admit feeds an event about a peer's request to the reducer.
	Admit(e admission.Event)
	// RouteDecisions returns the channel on which the effects for a request
	// of this proxy arrive, until release is called.
	RouteDecisions(id uint64) (decisions <-chan routing.Effect, release func())
	// AdmitDecisions is the same for requests of peers.
	AdmitDecisions(id uint64) (decisions <-chan admission.Effect, release func())
	// NextID returns a number that no other request of this process has.
	NextID() uint64
}

// maxBufferedBody is the size up to which a body is held in memory, so that
// the request can be sent again.
const maxBufferedBody = 64 << 10

// errBody marks a request body that could not be read from its sender.
var errBody = errors.New("request body not read")

// readSmallBody returns the body if it is small, or nil if it must be streamed.
func readSmallBody(r *http.Request) ([]byte, error) {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedBody {
		return nil, nil
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, errors.Wrapf(errBody, "%v", err)
	}
	return body, nil
}

// outbound returns the request for the next hop with the given header.
func outbound(r *http.Request, header http.Header, body []byte) *http.Request {
	out := &http.Request{
		Method:        r.Method,
		URL:           r.URL,
		Host:          r.Host,
		Header:        header,
		ContentLength: r.ContentLength,
		Body:          r.Body,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if body != nil {
		out.Body = io.NopCloser(bytes.NewReader(body))
		if len(body) == 0 {
			out.Body = http.NoBody
		}
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps the library from adding its own
	}
	return out
}

// wellFormed reports whether a path has one reading only.
func wellFormed(r *http.Request) bool {
	p := r.URL.Path
	if !strings.HasPrefix(p, "/") || strings.Contains(strings.ToLower(r.URL.RawPath), "%2f") {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// relay writes an answer to its receiver. It panics with
// http.ErrAbortHandler if the answer broke off, so that the receiver sees an
// aborted connection and never a clean end of a partial answer.
func relay(w http.ResponseWriter, x *Exchange, version string) {
	h := w.Header()
	for name, values := range endToEnd(x.Response.Header) {
		h[name] = values
	}
	if version != "" {
		h.Set(VersionHeader, version)
	}
	w.WriteHeader(x.Response.StatusCode)
	if err := copyBody(w, x.Response.Body, x.Response.ContentLength < 0); err != nil {
		x.Close(false)
		panic(http.ErrAbortHandler)
	}
	x.Close(true)
}

// lostOutcome maps a failed exchange to what is known of the request.
func lostOutcome(err error) (outcome.Outcome, outcome.Reason) {
	if errors.Is(err, ErrNotSent) {
		return outcome.NotRun, outcome.ConnectFailed
	}
	return outcome.Unknown, outcome.ConnectionLost
}
