// Package backend is a small stand-in of a backend server. It drains, starts
// cold, sheds load beyond its slots, dies on a marked request and keeps a
// ledger of what it ran.
//
//	GET /healthz             200, or 503 while draining
//	GET /load                {"slots": 10, "in_flight": 3, "draining": false}
//	PUT /standin/drain
//	GET /standin/ledger      {"KEY": RUNS}
//
// Any other request is run. Query parameters shape the run: work=DURATION,
// size=BYTES of the answer, crash=1 ends the process.
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

// KeyHeader identifies a request in the ledger.
const KeyHeader = "X-Request-Key"

const (
	coldFactor   = 4
	maxColdStart = time.Minute
	crashStatus  = 3
)

// Load is the answer of the load endpoint.
type Load struct {
	Slots    int  `json:"slots"`
	InFlight int  `json:"in_flight"`
	Draining bool `json:"draining"`
}

// Server is the stand-in's state. It is safe for concurrent use.
type Server struct {
	id      string
	slots   int
	cold    time.Duration
	started time.Time
	crash   func()

	mu       sync.Mutex
	inFlight int
	draining bool
	ledger   map[string]int
}

// New returns a backend server with the given number of slots that is slow
// for the duration cold after its start.
func New(id string, slots int, cold time.Duration) *Server {
	return &Server{
		id:      id,
		slots:   slots,
		cold:    min(cold, maxColdStart),
		started: time.Now(),
		crash:   func() { os.Exit(crashStatus) },
		ledger:  make(map[string]int),
	}
}

// OnCrash replaces what a marked request does; by default the process ends.
func (s *Server) OnCrash(f func()) {
	s.crash = f
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.health)
	r.Get("/load", s.load)
	r.Put("/standin/drain", s.drain)
	r.Get("/standin/ledger", s.readLedger)
	r.NotFound(s.run)
	r.MethodNotAllowed(s.run)
	return r
}

// Runs returns how often the request with the key ran.
func (s *Server) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger[key]
}

// Drain makes the server refuse new work.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(Load{Slots: s.slots, InFlight: s.inFlight, Draining: s.draining})
}

func (s *Server) drain(http.ResponseWriter, *http.Request) {
	s.Drain()
}

func (s *Server) readLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.ledger)
}

// begin takes a slot or reports that the server sheds the request.
func (s *Server) begin(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.inFlight >= s.slots {
		return false
	}
	s.inFlight++
	if key != "" {
		s.ledger[key]++
	}
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	if !s.begin(r.Header.Get(KeyHeader)) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.end()
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
	if !s.work(r, work) {
		return
	}
	w.Header().Set("X-Backend-Server", s.id)
	w.Header().Set("X-Received-Bytes", strconv.FormatInt(received, 10))
	s.answer(w, query.Get("size"))
}

// work sleeps for the duration, longer while cold, and reports whether the
// caller stayed.
func (s *Server) work(r *http.Request, d time.Duration) bool {
	if time.Since(s.started) < s.cold {
		d *= coldFactor
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

func (s *Server) answer(w http.ResponseWriter, size string) {
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
