package main

import (
	"io"
	"net/http"
)

const forwarderIdleConnections = 1000

// serveForwarder runs the plain forwarder, a minimal reverse proxy (net/http
// server and transport only) with which the latency of heatherlift is compared.
func serveForwarder(listen, target string) error {
	transport := &http.Transport{
		MaxIdleConns:        forwarderIdleConnections,
		MaxIdleConnsPerHost: forwarderIdleConnections,
		DisableCompression:  true,
	}
	return http.ListenAndServe(listen, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.RequestURI = ""
		out.URL.Scheme = "http"
		out.URL.Host = target
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
}
