// Package backend simulates a backend server. It supports draining, a slow cold
// start, load shedding when all slots are in use and a crash on request, and
// counts how often it ran each request.
//
//	GET /healthz             200, or 503 while draining
//	GET /load                {"slots": 10, "in_flight": 3, "draining": false}
//	PUT /standin/drain
//	GET /standin/ledger      {"KEY": RUNS}
//
// Any other request takes a slot and is run, or is refused with status 503 while
// draining or when no slot is free. Query parameters control the run:
// work=DURATION, size=BYTES of the response, crash=1 exits the process.
package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// RequestKeyHeader is the header with the key by which runs are counted.
const RequestKeyHeader = "X-Request-Key"

const (
	coldStartFactor = 4
	maxColdStart    = time.Minute
	crashExitCode   = 3
)

// Load is the response to GET /load.
type Load struct {
	Slots    int  `json:"slots"`
	InFlight int  `json:"in_flight"`
	Draining bool `json:"draining"`
}

// Server is a simulated backend server. It is safe for concurrent use.
type Server struct {
	id        string
	slots     int
	coldStart time.Duration
	started   time.Time
	crash     func()

	mu       sync.Mutex
	inFlight int
	draining bool
	// runs counts the runs of each request by its key.
	runs map[string]int
}

// New returns a backend server with the given number of slots. For the duration
// coldStart after the call, at most maxColdStart, its work takes coldStartFactor
// times as long.
func New(id string, slots int, coldStart time.Duration) *Server {
	return &Server{
		id:        id,
		slots:     slots,
		coldStart: min(coldStart, maxColdStart),
		started:   time.Now(),
		crash:     func() { os.Exit(crashExitCode) },
		runs:      make(map[string]int),
	}
}

// OnCrash sets the function that a request with the crash parameter calls. By
// default the process exits.
func (s *Server) OnCrash(f func()) {
	s.crash = f
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.handleHealth)
	r.Get("/load", s.handleLoad)
	r.Put("/standin/drain", s.handleDrain)
	r.Get("/standin/ledger", s.handleLedger)
	r.NotFound(s.handleRequest)
	r.MethodNotAllowed(s.handleRequest)
	return r
}

// RunCount returns the number of times that the request with the key ran, as
// counted at the start of each run.
func (s *Server) RunCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Drain makes the server refuse new requests.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Load{Slots: s.slots, InFlight: s.inFlight, Draining: s.draining})
}

func (s *Server) handleDrain(http.ResponseWriter, *http.Request) {
	s.Drain()
}

func (s *Server) handleLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}

// acquireSlot takes a slot and counts the run, unless the key is empty. It returns
// false if the server is draining or all slots are in use.
func (s *Server) acquireSlot(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.inFlight >= s.slots {
		return false
	}
	s.inFlight++
	if key != "" {
		s.runs[key]++
	}
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	if !s.acquireSlot(r.Header.Get(RequestKeyHeader)) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	query := r.URL.Query()
	if query.Get("crash") != "" {
		s.crash()
		return
	}
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	work, _ := time.ParseDuration(query.Get("work"))
	if !s.simulateWork(r, work) {
		return
	}
	w.Header().Set("X-Backend-Server", s.id)
	w.Header().Set("X-Received-Bytes", strconv.FormatInt(received, 10))
	s.writeResponse(w, query.Get("size"))
}

// simulateWork sleeps for the duration, multiplied by coldStartFactor during the
// cold start. It returns false if the caller disconnects first.
func (s *Server) simulateWork(r *http.Request, d time.Duration) bool {
	if time.Since(s.started) < s.coldStart {
		d *= coldStartFactor
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Server) writeResponse(w http.ResponseWriter, size string) {
	n, err := strconv.Atoi(size)
	if err != nil {
		_, _ = io.WriteString(w, "ok "+s.id+"\n")
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(n))
	chunk := make([]byte, 32<<10)
	for n > 0 {
		m, err := w.Write(chunk[:min(n, len(chunk))])
		if err != nil {
			return
		}
		n -= m
	}
}
