package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/routing"
)

// fixedCore sends every request to one address.
type fixedCore struct {
	address string
	ids     atomic.Uint64
	routes  sync.Map
	admits  sync.Map
}

func (f *fixedCore) NextID() uint64 { return f.ids.Add(1) }

func (f *fixedCore) RouteDecisions(id uint64) (<-chan routing.Effect, func()) {
	c := make(chan routing.Effect, 1)
	f.routes.Store(id, c)
	return c, func() { f.routes.Delete(id) }
}

func (f *fixedCore) AdmitDecisions(id uint64) (<-chan admission.Effect, func()) {
	c := make(chan admission.Effect, 1)
	f.admits.Store(id, c)
	return c, func() { f.admits.Delete(id) }
}

func (f *fixedCore) Route(e routing.Event) {
	if e, ok := e.(routing.Arrived); ok {
		c, _ := f.routes.Load(e.ID)
		c.(chan routing.Effect) <- routing.Send{ID: e.ID, Address: f.address, Deadline: time.Now().Add(testTimeout)}
	}
}

func (f *fixedCore) Admit(e admission.Event) {
	if e, ok := e.(admission.Arrived); ok {
		c, _ := f.admits.Load(e.ID)
		c.(chan admission.Effect) <- admission.Run{ID: e.ID}
	}
}

func benchServer(b *testing.B, handler http.Handler) string {
	s := httptest.NewServer(handler)
	b.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func benchBackend(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok")
}

// benchLoad sends requests through a client that is the same for each
// benchmark.
func benchLoad(b *testing.B, address string) {
	pool := NewPool(DialTCP, 0)
	b.Cleanup(pool.Close)
	in := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/a"}, Host: "a", Header: http.Header{"Accept": {"*/*"}, "X-Request": {"1"}}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			x, err := pool.Do(b.Context(), time.Now().Add(testTimeout), address, &outgoingRequest{dialect: &Dialect{}, in: in})
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, x.Response.Body)
			x.Close(true)
		}
	})
}

func BenchmarkDirect(b *testing.B) {
	benchLoad(b, benchServer(b, http.HandlerFunc(benchBackend)))
}

func BenchmarkTwoHops(b *testing.B) {
	core := &fixedCore{}
	pool := NewPool(DialTCP, 0)
	b.Cleanup(pool.Close)
	local := NewLocalForwarder(core, pool, benchServer(b, http.HandlerFunc(benchBackend)), true, NativeDialect())
	core.address = benchServer(b, local)
	benchLoad(b, serveCallers(b, NewCallerServer(NewIngress(core, pool, "entry", local, "", ""), testTimeout, testTimeout)))
}

func BenchmarkPlainTwoHops(b *testing.B) {
	address := benchServer(b, http.HandlerFunc(benchBackend))
	for range 2 {
		address = benchServer(b, plainForwarder(b, address))
	}
	benchLoad(b, address)
}

// plainForwarder is a minimal reverse proxy of a net/http server and transport.
// Its latency is the baseline for that of BenchmarkTwoHops.
func plainForwarder(b *testing.B, target string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}
	b.Cleanup(transport.CloseIdleConnections)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.RequestURI, out.URL.Scheme, out.URL.Host = "", "http", target
		resp, err := transport.RoundTrip(out)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}
