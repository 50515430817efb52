package forward

import (
	"io"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// maxBufferedBody is the size up to which a body is held in memory, so
	// that the request can be sent again.
	maxBufferedBody = 64 << 10
	// bodyTimeout bounds the time in which a small body has to arrive.
	bodyTimeout = 30 * time.Second
)

// single lists the headers that a caller may give once only.
var single = []string{OrganisationHeader, DeadlineHeader, IdempotencyHeader}

// check returns the time that the caller allows, 0 if it set none, or the
// refusal of a request that cannot be passed on.
func (d *Dialect) check(r *http.Request) (budget time.Duration, refusal outcome.Refusal, ok bool) {
	if r.Header["Upgrade"] != nil {
		return 0, notRun(outcome.UpgradeUnsupported, http.StatusNotImplemented), false
	}
	ok = d.HostNames || wellFormed(r)
	for _, name := range single {
		ok = ok && len(r.Header[name]) <= 1
	}
	budget, valid := remaining(r.Header)
	if !ok || !valid {
		return 0, notRun(outcome.Malformed, http.StatusBadRequest), false
	}
	return budget, outcome.Refusal{}, true
}

func notRun(reason outcome.Reason, status int) outcome.Refusal {
	return outcome.Refusal{Outcome: outcome.NotRun, Reason: reason, Status: status}
}

// wellFormed reports whether a path has one reading only.
func wellFormed(r *http.Request) bool {
	p := r.URL.Path
	if !strings.HasPrefix(p, "/") || strings.ContainsFunc(p, ambiguous) || escapesSlash(r.URL.RawPath) {
		return false
	}
	clean := path.Clean(p)
	return p == clean || p == clean+"/"
}

// ambiguous reports whether backend servers differ about a character.
func ambiguous(c rune) bool {
	return c < ' ' || c == 0x7f || c == '\\'
}

func escapesSlash(rawPath string) bool {
	return rawPath != "" && strings.Contains(strings.ToLower(rawPath), "%2f")
}

// isSmall reports whether the body is held in memory.
func isSmall(r *http.Request) bool {
	return r.ContentLength >= 0 && r.ContentLength <= maxBufferedBody
}

// readSmallBody returns the whole body of a request whose body is small.
func readSmallBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, errors.Wrapf(errBody, "%v", err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}
