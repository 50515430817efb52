package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that an upstream has begun to work on.
type run struct {
	Request, Instance, Service, Method, Target, Caller string
	Began, Ended                                       time.Time
	// End is "answered", "left" if the connection closed before, or "" while it runs.
	End string
}

// ledger holds the runs of all upstreams.
type ledger struct {
	mu   sync.Mutex
	runs []*run
}

func (l *ledger) begin(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Began = time.Now()
	l.runs = append(l.runs, r)
}

func (l *ledger) end(r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended, r.End = time.Now(), how
}

// of returns copies of the runs of a request.
func (l *ledger) of(request string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []run
	for _, r := range l.runs {
		if r.Request == request {
			out = append(out, *r)
		}
	}
	return out
}

// all returns copies of all runs.
func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]run, len(l.runs))
	for i, r := range l.runs {
		out[i] = *r
	}
	return out
}

// upstream is a stand-in of an application server.
type upstream struct {
	id, service string
	slots       chan struct{}
	queue       chan struct{}
	ledger      *ledger
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// body returns the bytes of an answer.
	body   func(r *http.Request) string
	server *http.Server
}

const (
	// queuePerSlot is the number of requests that an upstream queues for each slot.
	queuePerSlot = 4
	healthPath   = "/healthz"
	// upstreamIdle is the time after which an idle connection is closed.
	upstreamIdle = 10 * time.Second
)

func newUpstream(id, service string, slots int, l *ledger, work func(r *http.Request) time.Duration) *upstream {
	u := &upstream{
		id: id, service: service, slots: make(chan struct{}, slots), queue: make(chan struct{}, slots*(1+queuePerSlot)), ledger: l, work: work,
	}
	u.body = func(r *http.Request) string {
		return fmt.Sprintf("%s %s by %s %s", r.Header.Get(protocol.RequestID), r.URL.Path, u.id, strings.Repeat(".", 400))
	}
	return u
}

func (u *upstream) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for an upstream: %w", err)
	}
	u.server = &http.Server{Handler: u, IdleTimeout: upstreamIdle, ReadHeaderTimeout: time.Minute}
	go func() { _ = u.server.Serve(l) }()
	return nil
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d", len(u.slots), len(u.queue)-len(u.slots), cap(u.slots))
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(upstreamIdle.Seconds())))
	h.Set(protocol.InstanceID, u.id)
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		h.Set(protocol.ServerLoad, u.load())
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(protocol.RequestID)
	h.Set(protocol.RequestID, id)
	if expect := r.Header.Get(protocol.ExpectInstance); expect != "" && expect != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		u.reject(w, http.StatusBadRequest)
		return
	}
	select {
	case u.queue <- struct{}{}:
		defer func() { <-u.queue }()
	default:
		u.reject(w, http.StatusServiceUnavailable)
		return
	}
	deadline := time.Minute
	if ms, err := strconv.ParseFloat(r.Header.Get(protocol.Deadline), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	expiry := time.NewTimer(deadline)
	defer expiry.Stop()
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-expiry.C:
		u.reject(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	entry := &run{Request: id, Instance: u.id, Service: u.service, Method: r.Method, Target: r.RequestURI, Caller: r.Header.Get(protocol.CallerService)}
	u.ledger.begin(entry)
	work := time.NewTimer(u.work(r))
	defer work.Stop()
	h.Set(protocol.Stamp, "stamp-"+id)
	select {
	case <-work.C:
	case <-expiry.C:
		u.ledger.end(entry, "deadline")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		u.ledger.end(entry, "left")
		return
	}
	h.Set(protocol.ServerLoad, u.load())
	body := u.body(r)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	u.ledger.end(entry, "answered")
	_, _ = io.WriteString(w, body)
}

func (u *upstream) reject(w http.ResponseWriter, status int) {
	w.Header().Set(protocol.NotExecuted, "1")
	w.WriteHeader(status)
}
