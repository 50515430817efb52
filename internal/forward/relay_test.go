package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// A caller must not lose its connection, and the requests pipelined on it, to a response
// that fails before any of it was forwarded: it gets the response of another instance or
// a refusal. A response of which a part was forwarded is cut.
func TestResponseThatFailsBeforeItsHeaderWasForwardedIsAnswered(t *testing.T) {
	const head, get10 = "HTTP/1.1 200 OK\r\n", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
	complete := head + "Content-Length: 5\r\n\r\nhello"
	for _, test := range []struct {
		name, request, response string
		stalls, cut             bool
	}{
		{name: "short body breaks off", request: simpleGet, response: head + "Content-Length: 9\r\n\r\nhell"},
		{name: "chunks break off for HTTP/1.0", request: get10, response: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhell\r\n"},
		{name: "no chunk until the deadline", request: simpleGet, response: head + "Transfer-Encoding: chunked\r\n\r\n", stalls: true},
		{name: "short body stalls", request: simpleGet, response: head + "Content-Length: 9\r\n\r\nhell", stalls: true},
		{name: "long body breaks off", request: simpleGet, response: head + contentLength(200<<10) + "\r\n\r\n" + strings.Repeat("x", 100<<10), cut: true},
	} {
		for _, linkMbps := range []float64{0, 1000} {
			for _, repeatable := range []bool{false, true} {
				t.Run(test.name, func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					failing := rawServer(t, func(c net.Conn, r *bufio.Reader) {
						if respondOnce(c, r, test.response) && test.stalls {
							_, _ = r.ReadByte()
						}
					})
					core := newFakeCore(failing, keepAliveResponder(t, complete))
					core.repeatable = repeatable && !test.stalls
					core.budget = 200 * time.Millisecond
					pool := NewPool(DialTCP, 0)
					t.Cleanup(pool.Close)
					local := NewLocalForwarder(core, pool, "", false, Dialect{})
					local.PaceResponses(linkMbps, ResponseObserver{Held: func(int64) {}, Paced: func(int) {}})
					ingress := NewIngress(core, pool, "entry", local, "", "desk")
					caller := dialRaw(t, serveCallers(t, NewCallerServer(ingress, testTimeout, testTimeout)))
					resp, body, err := caller.exchange(t, test.request)
					core.mu.Lock()
					ended := core.endedAttempts[0]
					core.targets = core.targets[1:]
					core.mu.Unlock()
					if test.cut {
						is.True(err != nil)
						is.True(ended.Truncated)
						return
					}
					is.NoErr(err)
					is.Equal(ended.Outcome, outcome.Unknown)
					is.Equal(ended.Reason == outcome.DeadlineExpired, test.stalls)
					if core.repeatable {
						is.Equal(body, "hello")
					} else {
						is.Equal(resp.StatusCode, http.StatusBadGateway) // the fake core's refusal
						is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.Unknown))
					}
					if test.request == simpleGet {
						_, body, err = caller.exchange(t, simpleGet)
						is.NoErr(err)
						is.Equal(body, "hello")
					}
				})
			}
		}
	}
}

// A response that waits behind a slow one of the same connection until its deadline cannot
// be read any more. Its caller must get a refusal and not the start of it, and the
// instance is not at fault.
func TestResponseBehindASlowOneIsRefusedAtItsDeadline(t *testing.T) {
	for _, linkMbps := range []float64{0, 1000} {
		is := is.New(t)
		const length = 2 << 20
		hop := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if req.URL.Path == "/slow" {
					time.Sleep(400 * time.Millisecond)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
					continue
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+contentLength(length)+"\r\n\r\n"+strings.Repeat("x", length))
			}
		})
		core, pool := newFakeCore(hop), NewPool(DialTCP, 0)
		t.Cleanup(pool.Close)
		local := NewLocalForwarder(core, pool, "", false, Dialect{})
		local.PaceResponses(linkMbps, ResponseObserver{Held: func(int64) {}, Paced: func(int) {}})
		ingress := NewIngress(core, pool, "entry", local, "", "desk")
		caller := dialRaw(t, serveCallers(t, NewCallerServer(ingress, testTimeout, testTimeout)))
		caller.send(t, "GET /slow HTTP/1.1\r\nHost: a\r\nHeatherlift-Deadline-Ms: 5000\r\n\r\n"+
			"GET /large HTTP/1.1\r\nHost: a\r\nHeatherlift-Deadline-Ms: 200\r\n\r\n")
		_, body, err := caller.read("GET")
		is.NoErr(err)
		is.Equal(body, "hello")
		resp, _, err := caller.read("GET")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusBadGateway) // the fake core's refusal
		is.Equal(resp.Header.Get(ReasonHeader), string(outcome.Overload))
	}
}
