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
	maxConnections   = 512
	maxLatencyMicros = 60_000_000
	significant      = 3
	ioTimeout        = 30 * time.Second
	warmUp           = 500 * time.Millisecond
)

// load is an open loop of equal requests at a steady rate.
type load struct {
	// address returns the proxy for the n-th request.
	address      func(n int) string
	rate         int
	duration     time.Duration
	organisation string
	method       string
	query        string
	// keyPrefix makes the requests' keys for the ledger, empty for none.
	keyPrefix string
}

// reply is what the caller saw of one request.
type reply struct {
	key     string
	begun   time.Time
	latency time.Duration
	outcome outcome.Outcome
	// cut tells that the connection broke after the request was sent.
	cut     bool
	reason  outcome.Reason
	backend string
}

// job is a request that is due.
type job struct {
	n   int
	due time.Time
}

// run sends the load and returns the replies.
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
			var mine []reply
			for j := range jobs {
				mine = append(mine, w.do(j))
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, mine...)
		})
	}
	l.dispatch(jobs, total)
	wg.Wait()
	return replies
}

// dispatch hands out the requests when they are due. The scheduler's timers
// are too coarse for that.
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

// worker sends one request at a time.
type worker struct {
	load *load
	conn net.Conn
	to   string
	read *bufio.Reader
}

func (w *worker) close() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn = nil
	}
}

func (w *worker) connect(address string) error {
	if w.conn != nil && w.to == address {
		return nil
	}
	w.close()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	w.conn, w.to, w.read = c, address, bufio.NewReader(c)
	return nil
}

func (w *worker) do(j job) reply {
	r := reply{begun: time.Now(), outcome: outcome.Unknown}
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
		r.cut = true
		w.close()
		return r
	}
	r.backend = resp.Header.Get("X-Backend-Server")
	r.outcome = outcome.Answered
	if told := resp.Header.Get(forward.OutcomeHeader); told != "" {
		r.outcome = outcome.Outcome(told)
		r.reason = outcome.Reason(resp.Header.Get(forward.ReasonHeader))
	} else if resp.StatusCode != http.StatusOK {
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
		text += backend.KeyHeader + ": " + key + "\r\n"
	}
	if _, err := io.WriteString(w.conn, text+"\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(w.read, &http.Request{Method: w.load.method})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// histogram collects the latencies of the answered requests, in microseconds.
func histogram(replies []reply) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatencyMicros, significant)
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

func cuts(replies []reply) int {
	n := 0
	for _, r := range replies {
		if r.cut {
			n++
		}
	}
	return n
}

// reasons lists why requests were refused, the most frequent first.
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
