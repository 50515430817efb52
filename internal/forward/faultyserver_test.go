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

	"github.com/matryer/is"
)

const signedRefusal = "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

func signedPost(id string) string {
	return "POST /a HTTP/1.1\r\nHost: a\r\nX-Id: " + id + "\r\nHeatherlift-Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\nok"
}

// Guards against refusals that a faulty backend server writes once more on a kept connection:
// a request that it runs must neither be called not run nor run a second time. The refusal is
// that of an earlier request, or of nobody.
func TestRefusalThatIsWrittenOnceMoreBelongsToNoOtherRequest(t *testing.T) {
	own := signedResponse("r1", "Content-Length: 5\r\n\r\nhello")
	for _, test := range []struct {
		name, repeated string
		status         int
	}{
		{"of an earlier request", fmt.Sprintf(signedRefusal, "r0"), http.StatusOK},
		{"of an earlier request, as another instance", "HTTP/1.1 421 Misdirected\r\nX-Id: r0\r\nContent-Length: 0\r\n\r\n", http.StatusOK},
		{"without a request identifier", strings.Replace(signedRefusal, "X-Id: %s\r\n", "", 1), http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var connections, runs atomic.Int32
			g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) {
				if connections.Add(1) > 1 {
					if readWholeRequest(r) {
						runs.Add(1)
						_, _ = io.WriteString(c, own)
					}
					return
				}
				if !respondOnce(c, r, signedResponse("r0", "Content-Length: 5\r\n\r\nfirst")) || !readWholeRequest(r) {
					return
				}
				runs.Add(1)
				_, _ = io.WriteString(c, test.repeated+own)
				_, _ = r.Peek(1) // kept until the proxy closes it
			})
			caller := dialRaw(t, g.callersAddr)
			resp, _, err := caller.exchange(t, signedPost("r0"))
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			g.core.targets = []string{g.peerAddr, g.peerAddr}
			resp, _, err = caller.exchange(t, signedPost("r1"))
			is.NoErr(err)
			is.Equal(resp.StatusCode, test.status)
			is.Equal(runs.Load(), int32(1))
		})
	}
}

// Guards against the copy of a refusal that is taken for the answer to the next attempt of
// the same request: that one uses another connection.
func TestRefusedAttemptIsRepeatedOnAnotherConnection(t *testing.T) {
	is := is.New(t)
	var connections, runs atomic.Int32
	g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) {
		refusal := fmt.Sprintf(signedRefusal, "r1")
		if connections.Add(1) == 1 {
			if !respondOnce(c, r, refusal) || !readWholeRequest(r) {
				return
			}
			runs.Add(1)
			_, _ = io.WriteString(c, refusal)
			return
		}
		if readWholeRequest(r) {
			runs.Add(1)
			_, _ = io.WriteString(c, signedResponse("r1", "Content-Length: 5\r\n\r\nhello"))
		}
	})
	g.core.targets = []string{g.peerAddr, g.peerAddr, g.peerAddr}
	resp, body, err := dialRaw(t, g.callersAddr).exchange(t, signedPost("r1"))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "hello")
	is.Equal(runs.Load(), int32(1))
	is.Equal(connections.Load(), int32(2))
}

// Guards against an answer whose head breaks off and that reaches the caller as a success
// with an empty or short body, or as the answer to the next request.
func TestHeadThatBreaksOffIsNoSuccess(t *testing.T) {
	for name, whole := range map[string]string{
		"length":    signedResponse("r1", "Content-Length: 15\r\nX-Last: 12\r\n\r\n"),
		"chunked":   signedResponse("r1", "Transfer-Encoding: chunked\r\n\r\n"),
		"no length": signedResponse("r1", "Connection: close\r\n\r\n"),
		"informational": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" +
			signedResponse("r1", "Content-Length: 15\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cut := make(chan int, 1)
			g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) {
				if readWholeRequest(r) {
					_, _ = io.WriteString(c, whole[:<-cut])
				}
			})
			caller := dialRaw(t, g.callersAddr)
			for n := range len(whole) {
				if n%4 != 0 && n < len(whole)-8 {
					continue
				}
				cut <- n
				resp, _, err := caller.exchange(t, signedPost("r1"))
				is.NoErr(err)
				if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("X-Signature") != "" {
					t.Fatalf("cut after %q: status %d", whole[:n], resp.StatusCode)
				}
			}
		})
	}
}
