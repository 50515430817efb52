package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/routing"
)

// errLoadReport reports a load header of another proxy with an invalid value.
var errLoadReport = errors.New("invalid load report of a proxy")

const (
	// maxReportedWait bounds the wait and the service time in a report. It exceeds all
	// deadlines.
	maxReportedWait = 10 * time.Minute
	// maxPercent bounds a reported slowness: a machine a hundred times slower than
	// usual gets no requests anyway.
	maxPercent = 10_000
	// learnedSuffix marks a slowness that the backend server did not state itself.
	learnedSuffix = "e"
	// Figures in the load header: LOAD, or LOAD,WAIT,SERVICE,PERCENT with the wait and
	// the service time in milliseconds. SERVICE is empty on refusals.
	costReportFigures = 4
)

// LoadReporter is implemented by a Core that knows the load of the local backend
// server.
type LoadReporter interface {
	// BackendLoad returns the number of running and waiting requests per slot.
	BackendLoad() float64
}

// CostReporter is implemented by a Core that knows the wait for the local backend server.
type CostReporter interface {
	// CostReport returns the report on a request, and false if there is none.
	CostReport(e admission.Arrived) (admission.CostReport, bool)
}

// ReportCosts makes the forwarder report the wait for the backend server, the service
// time of each request and the slowness to other proxies. It must be called before the
// first request.
func (l *LocalForwarder) ReportCosts() { l.reportsCosts = true }

// loadField returns the header that reports the load of this proxy with each
// response. Proxies that do not know the report on costs ignore the whole value.
func (l *LocalForwarder) loadField(report routing.CostReport) field {
	reporter, ok := l.core.(LoadReporter)
	if !ok {
		return field{}
	}
	value := strconv.AppendFloat(nil, reporter.BackendLoad(), 'f', 2, 64)
	if report.Known {
		value = appendCostReport(value, report)
	}
	return field{loadHeader, string(value)}
}

// costReport returns the report on a request that took the given service time, 0 if it
// was refused.
func (l *LocalForwarder) costReport(arrived admission.Arrived, serviceTime time.Duration) routing.CostReport {
	reporter, ok := l.core.(CostReporter)
	if !l.reportsCosts || !ok {
		return routing.CostReport{}
	}
	c, ok := reporter.CostReport(arrived)
	if !ok {
		return routing.CostReport{}
	}
	return routing.CostReport{Known: true, Wait: c.Wait, ServiceTime: serviceTime, Slowness: c.Slowness, Stated: c.Stated}
}

func appendCostReport(value []byte, r routing.CostReport) []byte {
	value = append(value, ',')
	value = strconv.AppendInt(value, min(r.Wait, maxReportedWait).Milliseconds(), 10)
	value = append(value, ',')
	if r.ServiceTime > 0 {
		value = strconv.AppendInt(value, max(1, min(r.ServiceTime, maxReportedWait).Milliseconds()), 10)
	}
	value = append(value, ',')
	value = strconv.AppendInt(value, int64(min(max(1, r.Slowness*100), maxPercent)), 10)
	if !r.Stated {
		value = append(value, learnedSuffix...)
	}
	return value
}

// addTo adds the field to a header, unless the field is empty.
func (f field) addTo(h http.Header) {
	if f.name != "" {
		h[f.name] = []string{f.value}
	}
}

// parseLoad returns the load reported in a peer's response, 0 if there is none.
func parseLoad(h http.Header) float64 {
	text, _, _ := strings.Cut(h.Get(loadHeader), ",")
	load, err := strconv.ParseFloat(text, 64)
	if err != nil || !(load >= 0) {
		return 0
	}
	return load
}

// parseCostReport returns the report on costs in a peer's response. A peer that reports
// its load alone reports none. Invalid reports are errLoadReport.
func parseCostReport(h http.Header) (routing.CostReport, error) {
	text := h.Get(loadHeader)
	figures := strings.Split(text, ",")
	if len(figures) == 1 {
		return routing.CostReport{}, nil
	}
	if len(figures) < costReportFigures {
		return routing.CostReport{}, errors.Wrapf(errLoadReport, "%q", text)
	}
	r := routing.CostReport{Known: true}
	percentText, learned := strings.CutSuffix(figures[3], learnedSuffix)
	wait, waitOK := parseFigure(figures[1], int(maxReportedWait.Milliseconds()))
	service, serviceOK := 0, true
	if figures[2] != "" {
		service, serviceOK = parseFigure(figures[2], int(maxReportedWait.Milliseconds()))
	}
	percent, percentOK := parseFigure(percentText, maxPercent)
	if !waitOK || !serviceOK || !percentOK || percent == 0 {
		return routing.CostReport{}, errors.Wrapf(errLoadReport, "%q", text)
	}
	r.Wait, r.ServiceTime = time.Duration(wait)*time.Millisecond, time.Duration(service)*time.Millisecond
	r.Slowness, r.Stated = float64(percent)/100, !learned
	return r, nil
}

// parseFigure parses an integer from 0 to high.
func parseFigure(text string, high int) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0 && n <= high
}
