// Package admin implements the HTTP admin interface of a proxy: health,
// readiness, metrics, status, state dump and routing explanations.
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

// Proxy is the source of the data served by the admin interface.
type Proxy interface {
	Head() node.Head
	Status() node.Status
	Readiness() node.Readiness
	Dump() node.Dump
	Explain(org, method, path string) routing.Explanation
	Gatherer() prometheus.Gatherer
}

// Paths of the JSON endpoints.
const (
	HeadPath    = "/v1/head"
	StatusPath  = "/v1/status"
	DumpPath    = "/v1/dump"
	ExplainPath = "/v1/explain"
)

// Handler returns the HTTP handler of the admin interface.
func Handler(p Proxy) http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) { writeReadiness(w, p.Readiness()) })
	r.Group(func(r chi.Router) {
		r.Use(newReports().serve)
		r.Get("/", func(w http.ResponseWriter, _ *http.Request) { writePage(w, p.Status()) })
		r.Get(HeadPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Head()) })
		r.Get(StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Status()) })
		r.Get(DumpPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Dump()) })
		r.Get(ExplainPath, func(w http.ResponseWriter, r *http.Request) {
			q := r.URL.Query()
			writeJSON(w, p.Explain(q.Get("organisation"), q.Get("method"), q.Get("path")))
		})
		r.Handle("/metrics", promhttp.HandlerFor(p.Gatherer(), promhttp.HandlerOpts{}))
	})
	return r
}

// writeReadiness responds with 200 if the proxy is ready, and otherwise with 503
// and the reason.
func writeReadiness(w http.ResponseWriter, s node.Readiness) {
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
