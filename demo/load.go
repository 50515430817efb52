package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/lab"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/standin/backend"
)

const (
	requestInterval = 200 * time.Millisecond
	responseBytes   = 2000
	requestTimeout  = 10 * time.Second
)

// noConnection is the reason that the load generator itself sets if the TCP
// connection to the proxy is refused.
const noConnection outcome.Reason = "no-connection"

// requestKind is a kind of request, which the load generator sends to every proxy
// once per requestInterval.
type requestKind struct {
	organisation, method, path string
}

var requestKinds = []requestKind{
	{"mwanza-fish", http.MethodPost, "/orders"},
	{"kigombe-traders", http.MethodGet, "/orders/17"},
	{"dispatch-board", http.MethodGet, "/stock/ice"},
	{"coral-hotel", http.MethodPost, "/orders"},
	{"baobab-lodge", http.MethodGet, "/invoices/2026/11"},
}

// result is the result of one request as the caller observed it.
type result struct {
	// key is the request's value of backend.RequestKeyHeader, unique in a run.
	key     string
	kind    requestKind
	outcome outcome.Outcome
	// reason is the reason that the proxy reported, or noConnection, or empty if
	// there is none.
	reason outcome.Reason
	// connectionLost reports that the exchange failed (other than by a refused
	// connection) or that the response was incomplete.
	connectionLost bool
}

// load is a load generator that sends requests of every kind through every
// proxy.
type load struct {
	stop      chan struct{}
	wg        sync.WaitGroup
	lostCount atomic.Int64
	mu        sync.Mutex
	results   []result
}

func startLoad(instances []*lab.Instance) *load {
	l := &load{stop: make(chan struct{})}
	for n, i := range instances {
		for _, k := range requestKinds {
			l.wg.Go(func() { l.sendLoop(n, i, k) })
		}
	}
	return l
}

// lostConnections returns the number of requests whose connection was lost.
func (l *load) lostConnections() int64 {
	return l.lostCount.Load()
}

// finish stops the load generator and returns the results.
func (l *load) finish() []result {
	close(l.stop)
	l.wg.Wait()
	return l.results
}

// sendLoop sends requests of one kind to the n-th proxy, one at a time and at most
// one per requestInterval, without retries.
func (l *load) sendLoop(n int, i *lab.Instance, k requestKind) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		r := l.send(client, i, k, fmt.Sprintf("%d-%s-%d", n, k.organisation, count))
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
	}
}

func (l *load) send(client *http.Client, i *lab.Instance, k requestKind, key string) result {
	r := result{key: key, kind: k}
	url := "http://" + i.Settings.Listen.Callers + k.path + "?work=5ms&size=" + strconv.Itoa(responseBytes)
	req, err := http.NewRequest(k.method, url, io.NopCloser(bytes.NewReader(nil)))
	if err != nil {
		return r
	}
	req.Header.Set(forward.OrganisationHeader, k.organisation)
	req.Header.Set(backend.RequestKeyHeader, key)
	resp, err := client.Do(req)
	if err != nil {
		r.outcome = outcome.Unknown
		if isConnectionRefused(err) {
			r.outcome, r.reason = outcome.NotRun, noConnection
			return r
		}
		r.connectionLost = true
		l.lostCount.Add(1)
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if value := resp.Header.Get(forward.OutcomeHeader); value != "" {
		r.outcome = outcome.Outcome(value)
		r.reason = outcome.Reason(resp.Header.Get(forward.ReasonHeader))
		return r
	}
	if err != nil || len(body) != responseBytes {
		r.outcome = outcome.Unknown
		r.connectionLost = true
		l.lostCount.Add(1)
		return r
	}
	r.outcome = outcome.Answered
	return r
}
