package cli

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a command that takes all memory since what it asks sends bytes without end.
func TestAdminDocumentIsBounded(t *testing.T) {
	is := is.New(t)
	part := []byte(strings.Repeat("x", 1<<20))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := maxAdminBytes
		if r.URL.Path == "/endless" {
			size = 4 * maxAdminBytes
		}
		for n := 0; n < size; n += len(part) {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	data, err := fetchAdmin(t.Context(), address, "/", nil)
	is.NoErr(err)
	is.Equal(len(data), maxAdminBytes)

	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = fetchAdmin(t.Context(), address, "/endless", nil)
	runtime.ReadMemStats(&after)
	is.True(err != nil)
	is.True(after.TotalAlloc-before.TotalAlloc < 8*maxAdminBytes)
}

func TestAdminDocumentThatBreaksOffIsAnError(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "99")
		_, _ = io.WriteString(w, "{}")
	}))
	defer server.Close()
	_, err := fetchAdmin(t.Context(), strings.TrimPrefix(server.URL, "http://"), "/", nil)
	is.True(err != nil)
}
