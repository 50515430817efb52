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
	answerBytes     = 2000
	requestTimeout  = 10 * time.Second
)

// noConnection is the reason if the proxy itself was not there.
const noConnection outcome.Reason = "no-connection"

// kind is a request that the load repeats.
type kind struct {
	organisation, method, path string
}

var kinds = []kind{
	{"mwanza-fish", http.MethodPost, "/orders"},
	{"kigombe-traders", http.MethodGet, "/orders/17"},
	{"dispatch-board", http.MethodGet, "/stock/ice"},
	{"coral-hotel", http.MethodPost, "/orders"},
	{"baobab-lodge", http.MethodGet, "/invoices/2026/11"},
}

// result is what a caller saw of one request.
type result struct {
	key     string
	kind    kind
	outcome outcome.Outcome
	// reason is the proxy's, or empty if the backend server answered.
	reason outcome.Reason
	// cut says that the connection broke after the request was sent.
	cut bool
}

// load sends requests of every kind through every proxy.
type load struct {
	stop    chan struct{}
	wg      sync.WaitGroup
	cuts    atomic.Int64
	mu      sync.Mutex
	results []result
}

func startLoad(instances []*lab.Instance) *load {
	l := &load{stop: make(chan struct{})}
	for n, i := range instances {
		for _, k := range kinds {
			l.wg.Go(func() { l.caller(n, i, k) })
		}
	}
	return l
}

// cut returns the number of requests whose connection broke.
func (l *load) cut() int64 {
	return l.cuts.Load()
}

// end stops the load and returns the results.
func (l *load) end() []result {
	close(l.stop)
	l.wg.Wait()
	return l.results
}

// caller sends requests of one kind to one proxy, each once.
func (l *load) caller(n int, i *lab.Instance, k kind) {
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
		r := l.request(client, i, k, fmt.Sprintf("%d-%s-%d", n, k.organisation, count))
		l.mu.Lock()
		l.results = append(l.results, r)
		l.mu.Unlock()
	}
}

func (l *load) request(client *http.Client, i *lab.Instance, k kind, key string) result {
	r := result{key: key, kind: k}
	url := "http://" + i.Settings.Listen.Callers + k.path + "?work=5ms&size=" + strconv.Itoa(answerBytes)
	req, err := http.NewRequest(k.method, url, io.NopCloser(bytes.NewReader(nil)))
	if err != nil {
		return r
	}
	req.Header.Set(forward.OrganisationHeader, k.organisation)
	req.Header.Set(backend.KeyHeader, key)
	resp, err := client.Do(req)
	if err != nil {
		r.outcome = outcome.Unknown
		if isRefusedConnection(err) {
			r.outcome, r.reason = outcome.NotRun, noConnection
			return r
		}
		r.cut = true
		l.cuts.Add(1)
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if told := resp.Header.Get(forward.OutcomeHeader); told != "" {
		r.outcome = outcome.Outcome(told)
		r.reason = outcome.Reason(resp.Header.Get(forward.ReasonHeader))
		return r
	}
	if err != nil || len(body) != answerBytes {
		r.outcome = outcome.Unknown
		r.cut = true
		l.cuts.Add(1)
		return r
	}
	r.outcome = outcome.Answered
	return r
}
