package forward

import (
	"net/http"
	"strconv"
)

// LoadReporter is implemented by a Core that knows the load of the local backend
// server.
type LoadReporter interface {
	// BackendLoad returns the number of running and waiting requests per slot.
	BackendLoad() float64
}

// loadField returns the header that reports the load of this proxy with each
// response.
func (l *LocalForwarder) loadField() field {
	reporter, ok := l.core.(LoadReporter)
	if !ok {
		return field{}
	}
	return field{loadHeader, strconv.FormatFloat(reporter.BackendLoad(), 'f', 2, 64)}
}

// addTo adds the field to a header, unless the field is empty.
func (f field) addTo(h http.Header) {
	if f.name != "" {
		h[f.name] = []string{f.value}
	}
}

// parseLoad returns the load reported in a peer's response, 0 if there is none.
func parseLoad(h http.Header) float64 {
	load, err := strconv.ParseFloat(h.Get(loadHeader), 64)
	if err != nil || !(load >= 0) {
		return 0
	}
	return load
}
