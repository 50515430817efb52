package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkShortResponses measures responses of 400 bytes through LocalForwarder.ServeHTTP,
// which must cost nearly the same with and without a shared link.
func BenchmarkShortResponses(b *testing.B) {
	body := strings.Repeat("x", 400)
	backend := benchServer(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	for name, mbps := range map[string]float64{"no link": 0, "10 Mbit/s": 10} {
		b.Run(name, func(b *testing.B) {
			core := &fixedCore{}
			pool := NewPool(DialTCP, 0)
			b.Cleanup(pool.Close)
			local := NewLocalForwarder(core, pool, backend, false, Dialect{})
			local.PaceResponses(mbps, ResponseObserver{Held: func(int64) {}, Paced: func(int) {}, Decided: func(bool) {}})
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodGet, "/a", nil)
				r.Header.Set(DeadlineHeader, "2000")
				r.Header.Set(hopHeader, "f=1&s=1&i=i-1&r=look&t=1500")
				local.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
}
