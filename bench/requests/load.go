package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/standin/backend"
)

const (
	maxConnections    = 512
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	ioTimeout         = 30 * time.Second
	warmUpDuration    = 500 * time.Millisecond
)

// load is an open-loop load of identical requests at a constant rate.
type load struct {
	// address returns the address to which the n-th request is sent.
	address func(n int) string
	// rate is in requests per second.
	rate         int
	duration     time.Duration
	organisation string
	method       string
	query        string
	// keyPrefix and the request's number form the key under which backend servers
	// count executions. If it is empty, requests have no key.
	keyPrefix string
}

// reply is the result of one request as the caller saw it.
type reply struct {
	key     string
	started time.Time
	// latency is measured from the time at which the request was due; 0 if the
	// connection could not be opened.
	latency time.Duration
	outcome outcome.Outcome
	// connectionLost reports that the exchange failed on an open connection, so
	// that no complete response arrived.
	connectionLost bool
	// reason is the reason that a proxy reported, or empty.
	reason outcome.Reason
	// backend is the ID of the backend server that answered, or empty.
	backend string
}

// job is a request and the time at which it is due.
type job struct {
	n   int
	due time.Time
}

// run generates the load and returns the replies, in no particular order.
func (l load) run() []reply {
	total := l.rate * int(l.duration/time.Millisecond) / 1000
	jobs := make(chan job, total)
	var mu sync.Mutex
	replies := make([]reply, 0, total)
	var wg sync.WaitGroup
	for range min(maxConnections, total) {
		wg.Go(func() {
			w := worker{load: &l}
			defer w.close()
			var own []reply
			for j := range jobs {
				own = append(own, w.send(j))
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, own...)
		})
	}
	l.dispatch(jobs, total)
	wg.Wait()
	return replies
}

// dispatch queues each request for the workers when it is due. It sleeps with
// nanosleep on a locked thread, as the timers of the Go scheduler are too coarse
// for these rates.
func (l load) dispatch(jobs chan<- job, total int) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(jobs)
	start := time.Now()
	for n := range total {
		due := start.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
		if wait := time.Until(due); wait > 0 {
			spec := syscall.NsecToTimespec(int64(wait))
			_ = syscall.Nanosleep(&spec, nil)
		}
		jobs <- job{n: n, due: due}
	}
}

// worker sends one request at a time over its own connection.
type worker struct {
	load    *load
	conn    net.Conn
	address string
	reader  *bufio.Reader
}

func (w *worker) close() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn = nil
	}
}

func (w *worker) connect(address string) error {
	if w.conn != nil && w.address == address {
		return nil
	}
	w.close()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	w.conn, w.address, w.reader = c, address, bufio.NewReader(c)
	return nil
}

func (w *worker) send(j job) reply {
	r := reply{started: time.Now(), outcome: outcome.Unknown}
	if w.load.keyPrefix != "" {
		r.key = w.load.keyPrefix + strconv.Itoa(j.n)
	}
	if w.connect(w.load.address(j.n)) != nil {
		r.outcome = outcome.NotRun
		return r
	}
	_ = w.conn.SetDeadline(time.Now().Add(ioTimeout))
	resp, err := w.exchange(r.key)
	r.latency = time.Since(j.due)
	if err != nil {
		r.connectionLost = true
		w.close()
		return r
	}
	r.backend = resp.Header.Get("X-Backend-Server")
	r.outcome = outcome.Answered
	if reported := resp.Header.Get(forward.OutcomeHeader); reported != "" {
		r.outcome = outcome.Outcome(reported)
		r.reason = outcome.Reason(resp.Header.Get(forward.ReasonHeader))
	} else if resp.StatusCode != http.StatusOK { // refused by a backend server that was called directly
		r.outcome = outcome.NotRun
	}
	if resp.Close {
		w.close()
	}
	return r
}

func (w *worker) exchange(key string) (*http.Response, error) {
	text := w.load.method + " /bench?" + w.load.query + " HTTP/1.1\r\nHost: bench\r\n" +
		forward.OrganisationHeader + ": " + w.load.organisation + "\r\n"
	if w.load.method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	if key != "" {
		text += backend.RequestKeyHeader + ": " + key + "\r\n"
	}
	if _, err := io.WriteString(w.conn, text+"\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(w.reader, &http.Request{Method: w.load.method})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// histogram returns the distribution of the latencies of answered requests in
// microseconds.
func histogram(replies []reply) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for _, r := range replies {
		if r.outcome == outcome.Answered {
			_ = h.RecordValue(r.latency.Microseconds())
		}
	}
	return h
}

// count returns how many replies have the outcome.
func count(replies []reply, o outcome.Outcome) int {
	n := 0
	for _, r := range replies {
		if r.outcome == o {
			n++
		}
	}
	return n
}

func countConnectionsLost(replies []reply) int {
	n := 0
	for _, r := range replies {
		if r.connectionLost {
			n++
		}
	}
	return n
}

// reasons lists the reasons that proxies reported with their counts, the most
// frequent first.
func reasons(replies []reply) string {
	counts := make(map[outcome.Reason]int)
	for _, r := range replies {
		if r.reason != "" {
			counts[r.reason]++
		}
	}
	names := slices.SortedFunc(maps.Keys(counts), func(a, b outcome.Reason) int {
		return cmp.Or(counts[b]-counts[a], strings.Compare(string(a), string(b)))
	})
	var text []string
	for _, name := range names {
		text = append(text, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(text, ", ")
}
