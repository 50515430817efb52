package forward

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A response that breaks off, or turns out to be none, when a part of it has reached the
// caller is cut, and the log of the proxy that read it names what was wrong.
func TestResponseThatIsBrokenInItsBodyIsCut(t *testing.T) {
	long := strings.Repeat("x", 2*maxVerifiedBodyBytes)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(long), long)
	for _, test := range []struct{ name, response, detail string }{
		{"breaks off before its length", signedResponse("r1", contentLength(len(long)+1)+"\r\n\r\n"+long), "unexpected EOF"},
		{"breaks off before its last chunk", chunkedResponse(chunk), "unexpected EOF"},
		{"malformed chunk", chunkedResponse(chunk + "+5\r\nhello\r\n0\r\n\r\n"), "invalid byte in chunk length"},
		{"blank in the name of a trailer", chunkedResponse(chunk + "0\r\nX Sum: 1\r\n\r\n"), `name of a field: "X Sum: 1"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			serve := func(c net.Conn, r *bufio.Reader) { respondOnce(c, r, test.response) }
			atEachProxy(t, serve, func(t *testing.T, g *rig) {
				is := is.New(t)
				resp, body, err := dialRaw(t, g.callersAddr).exchange(t, signedPost("r1"))
				is.True(err != nil)
				is.True(resp == nil || resp.StatusCode == http.StatusOK && len(body) > 0)
				g.core.waitForFreeSlots(t)
				waitFor(t, "the end of the attempt is reported", func() bool {
					g.core.mu.Lock()
					defer g.core.mu.Unlock()
					return len(g.core.endedAttempts) == 1
				})
				g.core.mu.Lock()
				defer g.core.mu.Unlock()
				is.True(g.core.endedAttempts[0].Truncated) // counts against the backend server
				is.True(slices.ContainsFunc(g.core.logged, func(line map[string]string) bool {
					return line["request"] == "r1" && strings.Contains(line["detail"], test.detail)
				}))
			})
		})
	}
}

// A malformed response that comes while an upload goes on is refused like any other, and the
// upload is not sent again.
func TestMalformedResponseBesideUploadIsRefused(t *testing.T) {
	for _, name := range []string{"status 000, then a response", "blank after Content-Length", "blank within", "blank at the end of the name of a trailer"} {
		for _, reads := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reads on %v", name, reads), func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int32
				serve := func(c net.Conn, r *bufio.Reader) {
					req, ok := acceptUpload(c, r)
					if !ok {
						return
					}
					runs.Add(1)
					_, _ = io.WriteString(c, malformedResponses[name])
					if reads {
						_, _ = io.Copy(io.Discard, req.Body)
					} else {
						time.Sleep(unreadTime)
					}
				}
				atEachProxy(t, serve, func(t *testing.T, g *rig) {
					runs.Store(0)
					g.checkUploadRefused(t)
					is.New(t).Equal(runs.Load(), int32(1))
				})
			})
		}
	}
}

// What another proxy says to a body that is offered is read as strictly: the body is not sent
// on the word of bytes that are no response.
func TestMalformedResponseToOfferedBodyIsRefused(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 \r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nX A: b\r\n\r\n",
		"HTTP/1.1 100 Continue\nX-A: b\n\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\nhello",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			bodyBytes := make(chan int64, 1)
			g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, text)
				n, _ := io.Copy(io.Discard, r)
				bodyBytes <- n
			})
			g.core.targets = []string{g.backendAddr}
			resp, _, err := g.upload(t, "r1")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(<-bodyBytes, int64(0))
			g.checkFailedOnce(t, "r1")
		})
	}
}

// A backend server that mixes proper and broken responses for long, on connections that are
// used again: each caller gets its own whole response, a refusal or a cut.
func TestMixOfProperAndBrokenResponses(t *testing.T) {
	const callers, requests, seed = 6, 50, 64
	long := strings.Repeat("x", 2*maxVerifiedBodyBytes)
	proper := func(id, body string) []string {
		return []string{
			signedResponse(id, contentLength(len(body))+"\r\n\r\n"+body),
			signedResponse(id, fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)),
			signedResponse("other", "Content-Length: 2\r\n\r\nno") + signedResponse(id, contentLength(len(body))+"\r\n\r\n"+body),
		}
	}
	broken := slices.Sorted(maps.Keys(malformedResponses))
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	bodyOf := func(id string) string {
		if strings.HasSuffix(id, "0") {
			return id + long
		}
		return id + " whole"
	}
	serve := func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get("X-Id")
			texts := proper(id, bodyOf(id))
			text := texts[draw(len(texts))]
			switch draw(5) {
			case 0:
				text = strings.ReplaceAll(malformedResponses[broken[draw(len(broken))]], "r1", id)
			case 1:
				text = text[:draw(len(text))]
			default:
				if _, err := io.WriteString(c, text); err != nil {
					return
				}
				continue
			}
			_, _ = io.WriteString(c, text)
			if draw(2) == 0 {
				resetConn(c)
			}
			return
		}
	}
	atEachProxy(t, serve, func(t *testing.T, g *rig) {
		var whole, refused, cut atomic.Int32
		var wg sync.WaitGroup
		for caller := range callers {
			wg.Go(func() {
				c := dialRaw(t, g.callersAddr)
				for k := range requests {
					id := fmt.Sprintf("c%d-%d", caller, k)
					resp, body, err := c.exchange(t, signedPost(id))
					switch {
					case err != nil:
						cut.Add(1)
						c = dialRaw(t, g.callersAddr)
					case resp.StatusCode == http.StatusBadGateway && resp.Header.Get("X-Signature") == "":
						refused.Add(1)
					case resp.StatusCode == http.StatusOK && body == bodyOf(id):
						whole.Add(1)
					default:
						t.Errorf("request %s: status %d, %d bytes: %.40q", id, resp.StatusCode, len(body), body)
					}
				}
			})
		}
		wg.Wait()
		t.Logf("%d whole, %d refused, %d cut", whole.Load(), refused.Load(), cut.Load())
		if whole.Load() < callers*requests/3 || refused.Load() < callers*requests/20 {
			t.Error("the mix does not have what it should")
		}
		g.core.waitForFreeSlots(t)
	})
}
