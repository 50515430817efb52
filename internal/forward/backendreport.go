package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"

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
	// load is the load that it states, valid if loaded is set.
	load   admission.ServerLoad
	loaded bool
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
	if text := fieldValue(h, d.ServerLoadHeader); text != "" {
		if r.load, r.loaded = parseServerLoad(text); !r.loaded {
			err = errors.Join(err, errors.Wrapf(errBackendReport, "%s: %q", d.ServerLoadHeader, text))
		}
	}
	return r, err
}

const (
	// maxLoadCount bounds the counts of requests and slots in a stated load.
	maxLoadCount = 1_000_000
	// minLoadFigures and maxLoadFigures are the figures of a stated load:
	// RUNNING,WAITING,SLOTS[,PERCENT].
	minLoadFigures, maxLoadFigures = 3, 4
)

// parseServerLoad parses the load that a backend server states. It reports false unless
// all figures are integers within their bounds.
func parseServerLoad(text string) (admission.ServerLoad, bool) {
	figures := strings.Split(text, ",")
	if len(figures) < minLoadFigures || len(figures) > maxLoadFigures {
		return admission.ServerLoad{}, false
	}
	var n [maxLoadFigures]int
	for k, figure := range figures {
		high := maxLoadCount
		if k == minLoadFigures {
			high = maxPercent
		}
		var ok bool
		if n[k], ok = parseFigure(strings.TrimSpace(figure), high); !ok || k == minLoadFigures && n[k] == 0 {
			return admission.ServerLoad{}, false
		}
	}
	return admission.ServerLoad{Running: n[0], Waiting: n[1], Slots: n[2], Percent: float64(n[3])}, true
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

// withoutLoad returns the report without the load, which only the proxy beside the
// backend server uses.
func (r backendReport) withoutLoad() backendReport {
	r.load, r.loaded = admission.ServerLoad{}, false
	return r
}

// passReport passes on what the backend server states about itself in a response to
// the request. A response of a run is also passed on for its service time, if that is
// reported to other proxies.
func (c *backendRequest) passReport(h http.Header, answered bool) {
	report, err := c.dialect.backendReport(h)
	if err != nil {
		logDecision(c.core, true, "invalid report", func() []any {
			return []any{"request", c.dialect.RequestID(c.outgoing.in), "instance", c.arrived.Instance, "detail", err.Error()}
		})
	}
	answered = answered && c.reportsCosts
	if err != nil || report != (backendReport{}) || answered {
		c.core.Admit(admission.Reported{
			ID: c.arrived.ID, RateLimited: report.rateLimited, RateLimit: report.rateLimit, Leaving: report.leaving, Invalid: err != nil,
			Load: report.load, Loaded: report.loaded, Answered: answered,
		})
	}
}
