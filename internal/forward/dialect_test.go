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

// signedDialect has every header that a dialect may have.
func signedDialect() Dialect {
	return Dialect{
		HostNames: true, RequestID: "X-Id", Signature: "X-Signature", Expect: "X-Expect",
		NotRun: "X-Not-Run", Caller: "X-Caller", StatusPromises: true,
	}
}

const signedGet = "GET /a//b?q=%2F HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Caller: forged\r\nX-Expect: forged\r\nHeatherlift-Hop: forged\r\nHeatherlift-Deadline-Ms: 5000\r\n\r\n"

// newSignedRig starts both proxies in front of a raw backend server.
func newSignedRig(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) *rig {
	t.Helper()
	g := &rig{ledger: &ledger{}, dialect: signedDialect()}
	g.start(t, rawServer(t, serve))
	return g
}

func signed(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signature: s\r\n" + body
}

// Replays what faulty backend servers send; only an answer that is whole and
// belongs to the request may reach its caller.
func TestOnlyTheRequestsOwnWholeAnswerIsPassedOn(t *testing.T) {
	own := signed("r1", "Content-Length: 5\r\n\r\nhello")
	for _, test := range []struct {
		name, answer string
		status       int
		body         string
	}{
		{"own", own, 200, "hello"},
		{"late answer to another request first", signed("r0", "Content-Length: 5\r\n\r\nother") + own, 200, "hello"},
		{"only an answer to another request", signed("r0", "Content-Length: 5\r\n\r\nother"), 502, ""},
		{"no identifier", "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nhello", 502, ""},
		{"success without signature", "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nhello", 502, ""},
		{"cut short", signed("r1", "Content-Length: 9\r\n\r\nhello"), 502, ""},
		{"chunks cut short", signed("r1", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"), 502, ""},
		{"no length, ended in order", signed("r1", "\r\nhello"), 200, "hello"},
		{"extra bytes behind", own + "garbage", 200, "hello"},
		{"no answer at all", "garbage\r\n\r\n", 502, ""},
		{"failure of its own", "HTTP/1.1 500 Oops\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\noops", 500, "oops"},
		{"not run", "HTTP/1.1 503 Full\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 503, ""},
		{"another instance", "HTTP/1.1 421 Misdirected\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", 503, ""},
		{"refusal that may be for another request", "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n", 502, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) { answerOne(c, r, test.answer) })
			resp, body, err := dialRaw(t, g.callers).exchange(t, signedGet)
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

// An answer without length that is reset on its way is not complete.
func TestResetEndsNoAnswerWithoutLength(t *testing.T) {
	is := is.New(t)
	g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) {
		answerOne(c, r, signed("r1", "\r\nhello"))
		time.Sleep(20 * time.Millisecond)
		reset(c)
	})
	resp, _, err := dialRaw(t, g.callers).exchange(t, signedGet)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

func TestRequestReachesTheBackendServerUnchanged(t *testing.T) {
	is := is.New(t)
	seen := make(chan *http.Request, 1)
	g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		seen <- req
		_, _ = io.WriteString(c, signed("r1", "Content-Length: 0\r\n\r\n"))
	})
	g.core.instance = "i-1"
	_, _, err := dialRaw(t, g.callers).exchange(t, signedGet)
	is.NoErr(err)
	req := <-seen
	is.Equal(req.RequestURI, "/a//b?q=%2F")
	is.Equal(req.Header.Get("X-Id"), "r1")
	is.Equal(req.Header["X-Caller"], []string{"desk"}) // not what the caller claims
	is.Equal(req.Header["X-Expect"], []string{"i-1"})
	is.Equal(req.Header.Get("Heatherlift-Hop"), "")
	is.True(!strings.Contains(req.Header.Get(DeadlineHeader), ".")) // whole milliseconds
}

// A status is a promise to callers, which must hold in both directions.
func TestStatusesPromiseOnlyWhatIsKnown(t *testing.T) {
	is := is.New(t)
	d := signedDialect()
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
		is.Equal(d.status(outcome.Refusal{Outcome: test.outcome, Status: test.status}), test.want)
	}
	own := OwnDialect()
	is.Equal(own.status(outcome.Refusal{Outcome: outcome.Unknown, Status: 503}), 503)
	is.Equal(d.retryAfter(250*time.Millisecond), "0.250")
	is.Equal(own.retryAfter(250*time.Millisecond), "1")
}
