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

// fullDialect uses every header that a dialect can define.
func fullDialect() Dialect {
	return Dialect{
		OrganisationFromHost: true, RequestIDHeader: "X-Id", SignatureHeader: "X-Signature", ExpectInstanceHeader: "X-Expect",
		NotRunHeader: "X-Not-Run", CallerServiceHeader: "X-Caller", StatusIndicatesExecution: true,
	}
}

const signedGet = "GET /a//b?q=%2F HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Caller: forged\r\nX-Expect: forged\r\nHeatherlift-Hop: forged\r\nHeatherlift-Deadline-Ms: 5000\r\n\r\n"

// newSignedRig starts both proxies in front of a raw backend server, with
// fullDialect.
func newSignedRig(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) *rig {
	t.Helper()
	g := &rig{runs: &runCounter{}, dialect: fullDialect()}
	g.start(t, rawServer(t, serve))
	return g
}

func signedResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signature: s\r\n" + body
}

// Guards against forwarding faulty responses of a backend server: only a
// complete response that belongs to the request may reach the caller.
func TestOnlyCompleteMatchingResponseIsForwarded(t *testing.T) {
	matching := signedResponse("r1", "Content-Length: 5\r\n\r\nhello")
	for _, test := range []struct {
		name, response string
		status         int
		body           string
	}{
		{"own", matching, 200, "hello"},
		{"late response to another request first", signedResponse("r0", "Content-Length: 5\r\n\r\nother") + matching, 200, "hello"},
		{"only a response to another request", signedResponse("r0", "Content-Length: 5\r\n\r\nother"), 502, ""},
		{"no identifier", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nhello", 502, ""},
		{"success without signature", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nhello", 502, ""},
		{"truncated body", signedResponse("r1", "Content-Length: 9\r\n\r\nhello"), 502, ""},
		{"truncated chunks", signedResponse("r1", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"), 502, ""},
		{"no length, closed normally", signedResponse("r1", "\r\nhello"), 200, "hello"},
		{"extra bytes after the body", matching + "garbage", 200, "hello"},
		{"not an HTTP response", "garbage\r\n\r\n", 502, ""},
		{"error of the backend server", "HTTP/1.1 500 Oops\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\noops", 500, "oops"},
		{"not run", "HTTP/1.1 503 Full\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 503, ""},
		{"another instance", "HTTP/1.1 421 Misdirected\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", 503, ""},
		{"refusal without a request identifier", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", 502, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) { respondOnce(c, r, test.response) })
			resp, body, err := dialRaw(t, g.callersAddr).exchange(t, signedGet)
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.status)
			if test.body != "" {
				is.Equal(body, test.body)
				is.Equal(resp.Header.Get("X-Signature"), "s")
			} else {
				is.Equal(resp.Header.Get("X-Signature"), "")
			}
		})
	}
}

// A response without a length that ends with a connection reset is incomplete.
func TestResetDoesNotCompleteCloseDelimitedResponse(t *testing.T) {
	is := is.New(t)
	g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) {
		respondOnce(c, r, signedResponse("r1", "\r\nhello"))
		time.Sleep(20 * time.Millisecond)
		resetConn(c)
	})
	resp, _, err := dialRaw(t, g.callersAddr).exchange(t, signedGet)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

func TestDialectRequestReachesBackendServerUnchanged(t *testing.T) {
	is := is.New(t)
	seen := make(chan *http.Request, 1)
	g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		seen <- req
		_, _ = io.WriteString(c, signedResponse("r1", "Content-Length: 0\r\n\r\n"))
	})
	g.core.instance = "i-1"
	_, _, err := dialRaw(t, g.callersAddr).exchange(t, signedGet)
	is.NoErr(err)
	req := <-seen
	is.Equal(req.RequestURI, "/a//b?q=%2F")
	is.Equal(req.Header.Get("X-Id"), "r1")
	is.Equal(req.Header["X-Caller"], []string{"desk"}) // not the caller's value
	is.Equal(req.Header["X-Expect"], []string{"i-1"})
	is.Equal(req.Header.Get("Heatherlift-Hop"), "")
	is.True(!strings.Contains(req.Header.Get(DeadlineHeader), ".")) // whole milliseconds
}

// With StatusIndicatesExecution the status code tells callers whether the
// request was run, so it must be correct in both directions.
func TestRefusalStatusMatchesKnownOutcome(t *testing.T) {
	is := is.New(t)
	d := fullDialect()
	for _, test := range []struct {
		outcome outcome.Outcome
		status  int
		want    int
	}{
		{outcome.NotRun, 503, 503},
		{outcome.NotRun, 429, 429},
		{outcome.NotRun, 504, 503},
		{outcome.NotRun, 502, 503},
		{outcome.NotRun, 404, 404},
		{outcome.Unknown, 503, 502},
		{outcome.Unknown, 429, 502},
		{outcome.Unknown, 408, 502},
		{outcome.Unknown, 421, 502},
		{outcome.Unknown, 504, 504},
	} {
		is.Equal(d.refusalStatus(outcome.Refusal{Outcome: test.outcome, Status: test.status}), test.want)
	}
	native := NativeDialect()
	is.Equal(native.refusalStatus(outcome.Refusal{Outcome: outcome.Unknown, Status: 503}), 503)
	is.Equal(d.formatRetryAfter(250*time.Millisecond), "0.250")
	is.Equal(native.formatRetryAfter(250*time.Millisecond), "1")
}
