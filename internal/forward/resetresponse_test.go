package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// streamedBody exceeds what the buffers of two connections in a row hold.
	streamedBody = 16 << 20
	// unreadTime is how long a backend server leaves an upload unread.
	unreadTime = 50 * time.Millisecond
)

func signedUpload(id string, length int) string {
	return uploadHeader(length, "X-Id: "+id+"\r\nHeatherlift-Deadline-Ms: 5000\r\n")
}

// atEachProxy runs a test with the backend server beside the entry proxy and beside another
// one, and with another proxy that responds as the backend server does, each with and without
// a shared link.
func atEachProxy(t *testing.T, serve func(c net.Conn, r *bufio.Reader), test func(t *testing.T, g *rig)) {
	t.Helper()
	for place, arrange := range map[string]func(*rig){
		"beside the entry proxy": func(g *rig) { g.ingress.selfAddress = g.peerAddr },
		"beside another proxy":   func(*rig) {},
		"another proxy":          func(g *rig) { g.core.targets = []string{g.backendAddr} },
	} {
		for _, linkMbps := range []float64{0, 1000} {
			t.Run(fmt.Sprintf("%s/link=%v", place, linkMbps), func(t *testing.T) {
				g := newPacedRig(t, linkMbps, fullDialect(), serve)
				arrange(g)
				test(t, g)
			})
		}
	}
}

// upload sends a request with a large body, and returns its response with the body. The
// body is sent until the proxy closes the connection.
func (g *rig) upload(t *testing.T, id string) (*http.Response, string, error) {
	t.Helper()
	c := dialRaw(t, g.callersAddr)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(c, signedUpload(id, streamedBody)+strings.Repeat("x", streamedBody))
	}()
	resp, body, err := c.read("POST")
	_ = c.Close()
	<-sent
	return resp, body, err
}

// acceptUpload reads the head of a request and accepts its body if that is offered.
func acceptUpload(c net.Conn, r *bufio.Reader) (*http.Request, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, false
	}
	if req.Header.Get("Expect") != "" {
		_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	return req, true
}

// checkFailedOnce checks that the first attempt failed, counts against the backend server,
// was not repeated, and was logged by the identifier of the request.
func (g *rig) checkFailedOnce(t *testing.T, id string) {
	t.Helper()
	is := is.New(t)
	g.core.waitForFreeSlots(t)
	g.core.mu.Lock()
	defer g.core.mu.Unlock()
	is.Equal(len(g.core.endedAttempts), 1)
	is.Equal(g.core.endedAttempts[0].Outcome, outcome.Unknown)
	is.True(g.core.loggedDetail(id) != "") // names what was wrong
}

// checkUploadRefused checks that an upload to a backend server that sends a broken response is
// refused once, though it may be repeated and there is another target.
func (g *rig) checkUploadRefused(t *testing.T) {
	t.Helper()
	is := is.New(t)
	g.core.targets = append(g.core.targets, g.core.targets...)
	g.core.repeatable = true
	resp, body, err := g.upload(t, "r1")
	is.NoErr(err) // refused, not cut: none of it has reached the caller
	if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("X-Signature") != "" {
		t.Fatalf("status %d, %d bytes: %.40q", resp.StatusCode, len(body), body)
	}
	g.checkFailedOnce(t, "r1")
}

// Guards against taking a part of a response for the whole: the kernel reports a reset once,
// to the upload, and the response of no length then ends without an error.
func TestResetBesideUploadDoesNotCompleteResponse(t *testing.T) {
	reset := func(c net.Conn) { resetConn(c) }
	closeUnread := func(c net.Conn) { _ = c.Close() }
	for _, test := range []struct {
		name, header, body string
		delay              time.Duration
		end                func(net.Conn)
	}{
		{"at once", "", "part", 0, reset},
		{"after 20 ms", "", "part", 20 * time.Millisecond, reset},
		{"after 300 ms", "", "part", 300 * time.Millisecond, reset},
		{"no body", "", "", unreadTime, reset},
		{"100 KB", "", strings.Repeat("p", 100<<10), unreadTime, reset},
		{"connection: close", "Connection: close\r\n", "part", unreadTime, reset},
		{"closed with the upload unread", "", "part", unreadTime, closeUnread},
	} {
		t.Run(test.name, func(t *testing.T) {
			var runs atomic.Int32
			serve := func(c net.Conn, r *bufio.Reader) {
				if _, ok := acceptUpload(c, r); !ok {
					return
				}
				runs.Add(1)
				_, _ = io.WriteString(c, signedResponse("r1", test.header+"\r\n"+test.body))
				time.Sleep(test.delay)
				test.end(c)
			}
			atEachProxy(t, serve, func(t *testing.T, g *rig) {
				runs.Store(0)
				g.checkUploadRefused(t)
				is.New(t).Equal(runs.Load(), int32(1))
			})
		})
	}
}

// A response that comes before the end of the upload arrives whole, with a length or ended
// by the end of the backend server's direction of the connection. What becomes of the
// connection after that does not matter.
func TestEarlyResponseBesideUploadIsComplete(t *testing.T) {
	const text = "sixteen bytes  ."
	closeWrite := func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }
	for _, test := range []struct {
		name, header string
		end          func(net.Conn)
		// unread means that the rest of the upload is never read.
		unread bool
	}{
		{"length", "Content-Length: 16\r\n", func(net.Conn) {}, false},
		{"length, reset after it", "Content-Length: 16\r\n", func(c net.Conn) { time.Sleep(unreadTime); resetConn(c) }, true},
		{"no length", "", closeWrite, false},
		{"no length, reset after its end", "", func(c net.Conn) { closeWrite(c); time.Sleep(unreadTime); resetConn(c) }, true},
		{"no length, connection: close", "Connection: close\r\n", closeWrite, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			received := make(chan int64, 2)
			serve := func(c net.Conn, r *bufio.Reader) {
				req, ok := acceptUpload(c, r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, signedResponse("r1", test.header+"\r\n"+text))
				test.end(c)
				if !test.unread {
					n, _ := io.Copy(io.Discard, req.Body)
					received <- n
				}
			}
			atEachProxy(t, serve, func(t *testing.T, g *rig) {
				is := is.New(t)
				resp, body, err := g.upload(t, "r1")
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.Equal(body, text)
				g.core.waitForFreeSlots(t)
				if !test.unread {
					<-received
				}
			})
		})
	}
}

// The end of the stream means the end of a message only if the peer has ended its direction,
// in whatever order the ends of the directions and the reads and writes come.
func TestEndOfStreamInOrder(t *testing.T) {
	const wait = 20 * time.Millisecond
	closeWrite := func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }
	for _, test := range []struct {
		name string
		end  func(peer net.Conn)
		// writes is the number of writes after the end and before the read.
		writes  int
		inOrder bool
	}{
		{"closed", func(c net.Conn) { _ = c.Close() }, 0, true},
		{"closed, then written to twice", func(c net.Conn) { _ = c.Close() }, 2, true},
		{"direction ended", closeWrite, 0, true},
		{"direction ended, then written to", closeWrite, 2, true},
		{"direction ended, then reset", func(c net.Conn) { closeWrite(c); time.Sleep(wait); resetConn(c) }, 0, true},
		{"direction ended, then reset, then written to", func(c net.Conn) { closeWrite(c); time.Sleep(wait); resetConn(c) }, 2, true},
		{"reset, then written to", resetConn, 1, false},
		{"reset, then written to twice", resetConn, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			conn := newConnection(c, "")
			defer conn.Close()
			peer, err := l.Accept()
			is.NoErr(err)
			defer peer.Close()
			_, _ = io.WriteString(peer, "part")
			test.end(peer)
			for range test.writes {
				time.Sleep(wait)
				_, _ = conn.Write([]byte("x"))
			}
			time.Sleep(wait)
			text, err := io.ReadAll(conn)
			is.NoErr(err) // reads do not tell
			is.Equal(string(text), "part")
			is.Equal(conn.endedInOrder(), test.inOrder)
		})
	}
}
