package host

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/settings"
)

// Guards against a check that takes a missing or wrong statement for a warm backend server,
// and against a log line for each failed check.
func TestWarmUpCheckReadsTheHealthResponse(t *testing.T) {
	is := is.New(t)
	var header, status atomic.Value
	status.Store(http.StatusServiceUnavailable) // says nothing of the warm-up
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/healthz")
		if text := header.Load().(string); text != "" {
			w.Header().Set("Left-Ms", text)
		}
		w.WriteHeader(status.Load().(int))
	}))
	s := settings.Default()
	s.Peers.Plaintext = true
	s.BackendServer.Address = strings.TrimPrefix(server.URL, "http://")
	var out bytes.Buffer
	h, err := New(s, log.New(&out), nil, nil)
	is.NoErr(err)
	h.ctx, h.cancel = context.WithCancel(t.Context())
	h.dialect = forward.Dialect{WarmUpHeader: "Left-Ms"}
	for text, want := range map[string]admission.WarmUpChecked{
		"1500": {Left: 1500 * time.Millisecond, Stated: true}, "0": {Stated: true}, "": {}, "-1": {}, "soon": {}, "NaN": {},
	} {
		header.Store(text)
		is.Equal(h.checkWarmUp("/healthz"), want)
	}
	header.Store("")
	status.Store(http.StatusOK)
	is.Equal(h.checkWarmUp("/healthz"), admission.WarmUpChecked{Stated: true}) // a warm one leaves the header out
	header.Store("0")
	h.checkWarmUp("/healthz")
	server.Close()
	out.Reset()
	for range 3 {
		is.Equal(h.checkWarmUp("/healthz"), admission.WarmUpChecked{Refused: true})
	}
	is.Equal(strings.Count(out.String(), "warm-up check failed"), 1)
}
