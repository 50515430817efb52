package forward

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/outcome"
)

func TestAmbiguousRequestsAreRefused(t *testing.T) {
	for _, test := range []struct {
		name, request string
		status        int
	}{
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", 400},
		{"length list", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 6\r\n\r\nhello", 400},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\nhello", 400},
		{"length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"two encodings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 501},
		{"unknown encoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501},
		{"chunks in HTTP/1.0", "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		{"space before colon", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nhello", 400},
		{"folded header", "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n", 400},
		{"bare carriage return", "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\rc\r\n\r\n", 400},
		{"bare line feed", "GET / HTTP/1.1\nHost: a\nX-A: b\n\n", 400},
		{"nul", "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\x00c\r\n\r\n", 400},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400},
		{"dot segments", "GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"escaped dot segments", "GET /a/%2e%2e/b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"escaped slash", "GET /a%2Fb HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"escaped backslash", "GET /a%5cb HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"escaped nul", "GET /a%00b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"double slash", "GET //a HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"asterisk", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 400},
		{"connect", "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n", 400},
		{"oversized header", "GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("b", 80<<10) + "\r\n\r\n", 431},
		{"upgrade", "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 501},
		{"two organisations", "GET / HTTP/1.1\r\nHost: a\r\nHeatherlift-Organisation: a\r\nHeatherlift-Organisation: b\r\n\r\n", 400},
		{"two keys", "POST / HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400},
		{"malformed deadline", "GET / HTTP/1.1\r\nHost: a\r\nHeatherlift-Deadline-Ms: soon\r\n\r\n", 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newRig(t, respondOK)
			resp, _, err := dialRaw(t, g.callersAddr).exchange(t, test.request)
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.status)
			is.Equal(len(g.runs.counts), 0)
		})
	}
}

func TestRefusalCarriesHeadersAndBody(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	resp, body, err := dialRaw(t, g.callersAddr).exchange(t, "GET /a//b HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
	is.Equal(resp.Header.Get(ReasonHeader), string(outcome.MalformedRequest))
	is.Equal(resp.Header.Get("Content-Type"), "application/json")
	is.Equal(body, "{\"outcome\":\"not-run\",\"reason\":\"malformed-request\"}\n")
}

func TestReservedHeadersFromOutsideAreStripped(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var seen http.Header
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		seen = r.Header
		w.Header().Set(OutcomeHeader, "not-run")
		w.Header().Set(VersionHeader, "9")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Answer", "1")
	})
	resp, _, err := dialRaw(t, g.callersAddr).exchange(t, "GET /a HTTP/1.1\r\nHost: a\r\nHeatherlift-Organisation: org\r\n"+
		"Heatherlift-Hop: s=1\r\nheatherlift_request: forged\r\nHeatherlift-Outcome: answered\r\n"+
		"Idempotency-Key: k\r\nTE: trailers\r\nX-Private: 1\r\nConnection: x-private, idempotency-key\r\nX-Request: 1\r\n\r\n")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Get(OutcomeHeader), "")
	is.Equal(resp.Header.Get(VersionHeader), "7") // set by this proxy
	is.Equal(resp.Header.Get("Keep-Alive"), "")
	is.Equal(resp.Header.Get("X-Answer"), "1")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(seen.Get(OrganisationHeader), "org")
	is.Equal(seen.Get(IdempotencyHeader), "k") // kept although the Connection header lists it
	is.Equal(seen.Get("X-Request"), "1")
	for _, name := range []string{hopHeader, "Heatherlift_request", OutcomeHeader, "Te", "X-Private", "Connection", "User-Agent"} {
		if _, ok := seen[name]; ok {
			t.Errorf("header %s reached the backend server", name)
		}
	}
}

func TestRetryAndLoadAreForwarded(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(loadHeader, "9")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, r.Header.Get(RetryHeader))
	})
	g.core.retry = true
	resp, body, err := dialRaw(t, g.callersAddr).exchange(t, "GET /a HTTP/1.1\r\nHost: a\r\nHeatherlift-Retry: 1\r\n\r\n")
	is.NoErr(err)
	is.Equal(body, "1")
	is.Equal(resp.Header.Get(loadHeader), "")
	waitFor(t, "attempt ended", func() bool {
		g.core.mu.Lock()
		defer g.core.mu.Unlock()
		return len(g.core.endedAttempts) == 1
	})
	is.True(g.core.arrived[0].Retry)
	is.Equal(g.core.endedAttempts[0].Load, 0.25)
	is.Equal(g.core.endedAttempts[0].Status, http.StatusTeapot)
}

func TestRequestTargetIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var target, host string
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		target, host = r.RequestURI, r.Host
	})
	_, _, err := dialRaw(t, g.callersAddr).exchange(t, "GET /a%20b/c?x=%2F;y&z=1 HTTP/1.1\r\nHost: orders.example\r\n\r\n")
	is.NoErr(err)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(target, "/a%20b/c?x=%2F;y&z=1")
	is.Equal(host, "orders.example")
}

func TestHeaderScannerFollowsPipelinedRequests(t *testing.T) {
	const good = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\n\n\n folded\r\r\n" + "GET /b HTTP/1.1\r\nHost: a\r\n\r\n"
	const bad = "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n"
	rapid.Check(t, func(t *rapid.T) {
		isBad := rapid.Bool().Draw(t, "bad")
		stream := strings.Repeat(good, rapid.IntRange(0, 3).Draw(t, "requests"))
		if isBad {
			stream += bad
		}
		var s headerScanner
		malformed := false
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "bytes")
			malformed = s.scan([]byte(stream[:n])) || malformed
			stream = stream[n:]
		}
		if malformed != isBad {
			t.Fatalf("malformed %v, want %v", malformed, isBad)
		}
	})
}
