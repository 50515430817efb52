package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// endlessBudget is the time that callers allow in the tests of bytes without end, as
	// on the users' sites, endlessSlack the further time for the connection to the
	// sender to close.
	endlessBudget = 2 * time.Second
	endlessSlack  = time.Second
	// maxHeapGrowth bounds the memory for the requests of one test. Without bounds, a
	// sender on loopback fills more within endlessBudget.
	maxHeapGrowth = 8 << 20
)

// endlessSender writes a prefix and then a part again and again until the connection is
// closed. It counts the bytes written and the connections that were closed by the other
// side.
type endlessSender struct {
	prefix, part  string
	sent, closed  atomic.Int64
	lastWrittenAt atomic.Int64
}

func (s *endlessSender) serve(c net.Conn, r *bufio.Reader) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	if req.URL.Path == "/sound" {
		_, _ = io.WriteString(c, signedResponse("sound", "Content-Length: 5\r\n\r\nhello"))
		return
	}
	part := []byte(strings.Repeat(s.part, 1+8<<10/len(s.part)))
	_, err = io.WriteString(c, s.prefix)
	for err == nil {
		var n int
		n, err = c.Write(part)
		s.sent.Add(int64(n))
		s.lastWrittenAt.Store(time.Now().UnixNano())
	}
	s.closed.Add(1)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// endlessRequest is a request with endlessBudget to the endless sender.
const endlessRequest = "GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nHeatherlift-Deadline-Ms: 2000\r\n\r\n"

// A backend server in trouble may send bytes that are no answer without end, in a head
// or a body, until its caller closes. The request ends in time and never as a success,
// the connection closes, memory stays flat, and requests to others are unharmed.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	for _, test := range []struct {
		name, prefix, part string
		// complete means that the answer before the endless bytes is a proper one.
		complete bool
		// bounded means that the connection closes before the caller's deadline.
		bounded bool
	}{
		{"no protocol", "", "garbage without end ", false, true},
		{"status line", "HTTP/1.1 200 ", "OK", false, true},
		{"one header field", "HTTP/1.1 200 OK\r\nX-Long: ", "x", false, true},
		{"header fields", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", false, true},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", false, true},
		{"body of no length", signedResponse("r1", "\r\n"), "x", false, true},
		{"chunks", signedResponse("r1", "Transfer-Encoding: chunked\r\n\r\n"), "2\r\nxx\r\n", false, false},
		{"one chunk size", signedResponse("r1", "Transfer-Encoding: chunked\r\n\r\n"), "0", false, true},
		{"after the promised body", signedResponse("r1", "Content-Length: 5\r\n\r\nhello"), "x", true, true},
		{"body of another answer", signedResponse("r0", "Transfer-Encoding: chunked\r\n\r\n"), "2\r\nxx\r\n", false, true},
		{"other answers", "", signedResponse("r0", "Content-Length: 0\r\n\r\n"), false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			sender := &endlessSender{prefix: test.prefix, part: test.part}
			g := newSignedRig(t, sender.serve)
			before := heapBytes()
			start := time.Now()
			c := dialRaw(t, g.callersAddr)
			c.send(t, endlessRequest)
			resp, err := http.ReadResponse(c.reader, &http.Request{Method: "GET"})
			var n int64
			if err == nil {
				n, err = io.Copy(io.Discard, resp.Body)
			}
			took := time.Since(start)
			if test.complete {
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(n, int64(5))
			} else if err == nil {
				is.True(resp.StatusCode == http.StatusBadGateway || resp.StatusCode == http.StatusGatewayTimeout)
			}
			is.True(took < endlessBudget+endlessSlack)
			is.True(!test.bounded || took < endlessBudget) // known not to be an answer before the deadline
			growth := heapBytes() - before
			is.True(growth < maxHeapGrowth)

			_, body, err := dialRaw(t, g.callersAddr).exchange(t, "GET /sound HTTP/1.1\r\nHost: a\r\nX-Id: sound\r\n\r\n")
			is.NoErr(err)
			is.Equal(body, "hello")
			g.core.waitForFreeSlots(t)
			waitFor(t, "the connection to the sender is closed", func() bool { return sender.closed.Load() >= 1 })
			if !test.complete {
				g.core.mu.Lock()
				last := g.core.endedAttempts[0]
				g.core.mu.Unlock()
				is.True(last.Truncated || last.Outcome == outcome.Unknown) // counts against the backend server
			}
		})
	}
}

// The same from a caller: a header or a body without end is refused at the limits in
// force, and what a caller sends behind its request is not kept.
func TestCallersThatSendWithoutEndAreBounded(t *testing.T) {
	for _, test := range []struct {
		name, prefix, part string
		status             int
	}{
		{"header field", "GET /a HTTP/1.1\r\nHost: a\r\nX-Long: ", "x", http.StatusRequestHeaderFieldsTooLarge},
		{"header fields", "GET /a HTTP/1.1\r\nHost: a\r\n", "X-A: b\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"request target", "GET /", "x", http.StatusRequestHeaderFieldsTooLarge},
		{"chunks", "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nxx\r\n", http.StatusRequestEntityTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newLimitedRig(t, config.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20})
			before := heapBytes()
			c := dialRaw(t, g.callersAddr)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				part := []byte(strings.Repeat(test.part, 1+8<<10/len(test.part)))
				_, err := io.WriteString(c, test.prefix)
				for err == nil {
					_, err = c.Write(part)
				}
			}()
			resp, _, err := c.read("POST")
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.status)
			is.True(resp.Close)
			<-sent // the connection was closed
			is.True(heapBytes()-before < maxHeapGrowth)
			g.core.waitForFreeSlots(t)
			_, body, err := dialRaw(t, g.callersAddr).exchange(t, uploadHeader(3, "")+"abc")
			is.NoErr(err)
			is.Equal(body, "3")
		})
	}
}
