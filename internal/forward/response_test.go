package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

const simpleGet = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"

// newRawRig starts both proxies in front of a backend server that writes a
// fixed response and closes the connection.
func newRawRig(t *testing.T, response string) *rig {
	g := &rig{runs: &runCounter{}}
	g.start(t, rawResponder(t, response))
	return g
}

func TestResponseIsCompleteOrAborted(t *testing.T) {
	const simpleGet10 = "GET /a HTTP/1.0\r\n\r\n"
	long := strings.Repeat("x", 2*maxHTTP10BufferBytes)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(long), long)
	for _, test := range []struct {
		name, request, response string
		complete                bool
	}{
		{"length", simpleGet, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
		{"length, truncated", simpleGet, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false},
		{"chunks", simpleGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
		{"chunks, truncated between chunks", simpleGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
		{"chunks, truncated within a chunk", simpleGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", false},
		{"1.0, length, truncated", simpleGet10, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", false},
		{"1.0, chunks", simpleGet10, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
		{"1.0, chunks, truncated", simpleGet10, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
		{"1.0, long chunks", simpleGet10, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n", true},
		{"1.0, long chunks, truncated", simpleGet10, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newRawRig(t, test.response)
			resp, body, err := dialRaw(t, g.callersAddr).exchange(t, test.request)
			if err == nil && resp.Header.Get(OutcomeHeader) == string(outcome.Unknown) {
				err = io.ErrUnexpectedEOF // refused before any of the response was forwarded
			}
			if test.complete != (err == nil) {
				t.Fatalf("error %v, want complete response %v", err, test.complete)
			}
			if test.complete && (resp.StatusCode != http.StatusOK || (body != "hello" && body != long)) {
				t.Fatalf("status %d, %d bytes", resp.StatusCode, len(body))
			}
			g.core.waitForFreeSlots(t)
		})
	}
}

func TestUnverifiableResponsesAreRefusedAsUnknown(t *testing.T) {
	for _, test := range []struct{ name, response string }{
		{"until close", "HTTP/1.1 200 OK\r\n\r\nhello"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhello"},
		{"switched protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"},
		{"conflicting lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"},
		{"no header", "hello\r\n\r\n"},
		{"oversized header", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("x", maxResponseHeaderBytes) + "\r\nContent-Length: 0\r\n\r\n"},
		{"endless informational", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInformationalResponses+1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newRawRig(t, test.response)
			resp, _, err := dialRaw(t, g.callersAddr).exchange(t, simpleGet)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.Unknown))
		})
	}
}

func TestResponsesWithoutBody(t *testing.T) {
	for _, test := range []struct {
		name, request, response string
		status                  int
		length                  string
	}{
		{"head", "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n", 200, "1234"},
		{"head without length", "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", 200, ""},
		{"no content", simpleGet, "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"not modified", simpleGet, "HTTP/1.1 304 Not Modified\r\nEtag: \"x\"\r\n\r\n", 304, ""},
		{"after informational", simpleGet, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := &rig{}
			g.start(t, keepAliveResponder(t, test.response))
			c := dialRaw(t, g.callersAddr)
			for range 2 { // the second exchange checks that no bytes of the first are left on the connection
				resp, body, err := c.exchange(t, test.request)
				is.NoErr(err)
				is.Equal(resp.StatusCode, test.status)
				is.Equal(body, "")
				is.Equal(resp.Header.Get("Content-Length"), test.length)
			}
		})
	}
}

func TestTrailersAreForwardedInBothDirections(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "X-Sum, Heatherlift-Outcome")
		_, _ = w.Write(body)
		w.Header().Set("X-Sum", r.Trailer.Get("X-Sum"))
		w.Header().Set(OutcomeHeader, "not-run")
	})
	resp, body, err := dialRaw(t, g.callersAddr).exchange(t, "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 42\r\n\r\n")
	is.NoErr(err)
	is.Equal(body, "hello")
	is.Equal(resp.Trailer.Get("X-Sum"), "42")
	is.Equal(resp.Trailer.Get(OutcomeHeader), "")
}

func TestSlowReaderReleasesSlotAtDeadline(t *testing.T) {
	g := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		part := make([]byte, 1<<20)
		for range 64 {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	g.core.budget = 200 * time.Millisecond
	c := dialRaw(t, g.callersAddr)
	c.send(t, simpleGet)
	waitFor(t, "request runs", func() bool { return g.runs.count("/a") == 1 })
	g.core.waitForFreeSlots(t) // the caller has read nothing
	if _, _, err := c.read(simpleGet); err == nil {
		t.Fatal("a truncated response looked complete")
	}
}
