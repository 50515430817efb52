// Package admin serves operators: health, metrics, status, state dump and
// explanations of one proxy.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/routing"
)

// Proxy is what the interface shows.
type Proxy interface {
	Head() node.Head
	Status() node.Status
	Dump() node.Dump
	Explain(org, method, path string) routing.Explanation
	Gatherer() prometheus.Gatherer
}

// Paths of the interface.
const (
	HeadPath    = "/v1/head"
	StatusPath  = "/v1/status"
	DumpPath    = "/v1/dump"
	ExplainPath = "/v1/explain"
)

// Handler returns the interface of a proxy.
func Handler(p Proxy) http.Handler {
	r := chi.NewRouter()
	r.Get("/", func(w http.ResponseWriter, _ *http.Request) { writePage(w, p.Status()) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) { ready(w, p.Status()) })
	r.Get(HeadPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Head()) })
	r.Get(StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Status()) })
	r.Get(DumpPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Dump()) })
	r.Get(ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		writeJSON(w, p.Explain(q.Get("organisation"), q.Get("method"), q.Get("path")))
	})
	r.Handle("/metrics", promhttp.HandlerFor(p.Gatherer(), promhttp.HandlerOpts{}))
	return r
}

// ready answers 503 with the reason while the proxy is not ready.
func ready(w http.ResponseWriter, s node.Status) {
	switch {
	case s.Ready:
		w.WriteHeader(http.StatusOK)
	case s.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	default:
		http.Error(w, s.Waiting, http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
