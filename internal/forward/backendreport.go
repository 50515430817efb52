package forward

import (
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
)

// errBackendReport reports a header in which a backend server describes its own
// state with an invalid value.
var errBackendReport = errors.New("invalid report of a backend server")

// leavingValue is the value of Dialect.LeavingHeader.
const leavingValue = "1"

// backendReport is what a backend server states about itself in a response.
type backendReport struct {
	// rateLimit is the rate limit that it names, in requests per second, valid if
	// rateLimited is set.
	rateLimit   float64
	rateLimited bool
	// leaving means that it is about to end and wants no new requests.
	leaving bool
}

// backendReport returns what the backend server states about itself in the header
// of a response. Invalid values are left out and returned as errBackendReport.
func (d *Dialect) backendReport(h http.Header) (r backendReport, err error) {
	if text := fieldValue(h, d.RateLimitHeader); text != "" {
		if r.rateLimit, r.rateLimited = parseRateLimit(text); !r.rateLimited {
			err = errors.Wrapf(errBackendReport, "%s: %q", d.RateLimitHeader, text)
		}
	}
	if text := fieldValue(h, d.LeavingHeader); text != "" {
		r.leaving = text == leavingValue
		if !r.leaving {
			err = errors.Join(err, errors.Wrapf(errBackendReport, "%s: %q", d.LeavingHeader, text))
		}
	}
	return r, err
}

// parseRateLimit parses a rate limit in requests per second. It reports false unless
// that is a finite number of at least 0.
func parseRateLimit(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return 0, false
	}
	return perSecond, true
}

// fields returns the report as fields of a log line.
func (r backendReport) fields() (fields []any) {
	if r.rateLimited {
		fields = append(fields, "rate_limit", r.rateLimit)
	}
	if r.leaving {
		fields = append(fields, "leaving", true)
	}
	return fields
}

// fieldValue returns the value of a header, empty if the dialect does not have it.
func fieldValue(h http.Header, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}

// passReport passes on what the backend server states about itself in a response to
// the request.
func (c *backendRequest) passReport(h http.Header) {
	report, err := c.dialect.backendReport(h)
	if err != nil {
		logDecision(c.core, true, "invalid report", func() []any {
			return []any{"request", c.dialect.requestID(c.outgoing.in), "instance", c.arrived.Instance, "detail", err.Error()}
		})
	}
	if err != nil || report != (backendReport{}) {
		c.core.Admit(admission.Reported{
			ID: c.arrived.ID, RateLimited: report.rateLimited, RateLimit: report.rateLimit, Leaving: report.leaving, Invalid: err != nil,
		})
	}
}
