package admin

import (
	"bytes"
	"net/http"

	"heatherlift.example/heatherlift/internal/intake"
)

// shortReportBytes is the size up to which a report is written though clients hold as much as
// they may: the connections of its door bound what such reports hold together.
const shortReportBytes = 128 << 10

// reports makes one report at a time: a report holds a multiple of its length while it is
// made, and any number of clients may ask for it.
type reports struct {
	turn chan struct{}
}

func newReports() *reports { return &reports{turn: make(chan struct{}, 1)} }

// serve returns a handler that makes the response of next in memory, and writes it when the
// next report may be made.
func (g *reports) serve(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		report, ok := g.make(next, w, r)
		if !ok {
			return
		}
		lease := intake.ConnOf(r).Lease()
		defer lease.Settle(0)
		if size := int64(report.body.Cap()); size <= shortReportBytes {
			lease.Take(size)
		} else if !lease.Acquire(size) {
			clear(w.Header())
			http.Error(w, "too many reports", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(report.status)
		_, _ = w.Write(report.body.Bytes()) // the client may have left
	})
}

// make makes a report. It returns false if the client left before its turn.
func (g *reports) make(next http.Handler, w http.ResponseWriter, r *http.Request) (*report, bool) {
	select {
	case g.turn <- struct{}{}:
	case <-r.Context().Done():
		return nil, false
	}
	defer func() { <-g.turn }()
	made := &report{ResponseWriter: w, status: http.StatusOK}
	next.ServeHTTP(made, r)
	return made, true
}

// report is a response that is held in memory, except for its header.
type report struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (r *report) WriteHeader(status int) { r.status = status }

// Write implements http.ResponseWriter.
func (r *report) Write(p []byte) (int, error) { return r.body.Write(p) }
