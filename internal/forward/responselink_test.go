package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// newPacedRig starts both proxies on machines whose links have the given bandwidth.
func newPacedRig(t *testing.T, linkMbps float64, dialect Dialect, serve func(c net.Conn, r *bufio.Reader)) *rig {
	t.Helper()
	g := &rig{runs: &runCounter{}, linkMbps: linkMbps, dialect: dialect}
	g.start(t, rawServer(t, serve))
	return g
}

// respondEach answers each request of a connection with a header and a body.
func respondEach(header, body string) func(c net.Conn, r *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for respondOnce(c, r, "HTTP/1.1 200 OK\r\n"+header+"\r\n\r\n"+body) {
		}
	}
}

func contentLength(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

// waitUntilReleased waits until no slot, link time or memory is taken.
func (g *rig) waitUntilReleased(t *testing.T) {
	t.Helper()
	g.core.waitForFreeSlots(t)
	waitFor(t, "link time and memory released", func() bool {
		g.local.link.mu.Lock()
		defer g.local.link.mu.Unlock()
		planned, _ := g.local.link.gate.Planned()
		return planned == 0 && g.held.Load() == 0
	})
}

// peerRequest returns a request as another proxy sends it, for a route with a target.
func peerRequest(path string, patience float64) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n%s: 2000\r\n%s: f=1&s=1&i=i-1&r=photos&t=1500&w=%.2f\r\n\r\n", path, DeadlineHeader, hopHeader, patience)
}

// pacedGet is a request that both dialects accept. Its responses have signedHeader.
const (
	pacedGet     = "GET /a HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n"
	signedHeader = "X-Id: r1\r\nX-Signature: s\r\n"
)

// A response of any framing, verified or not, must arrive whole and unchanged in pieces,
// and the slot must be free before its receiver has it.
func TestPacedResponsesAreComplete(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("0123456789abcdef", 10<<10) // 160 KB, 0.16 s at 8 Mbit/s
	for _, dialect := range []Dialect{{}, fullDialect()} {
		for header, framed := range map[string]string{
			contentLength(len(body)):     body,
			"Transfer-Encoding: chunked": fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		} {
			g := newPacedRig(t, 10, dialect, respondEach(signedHeader+header, framed))
			began := time.Now()
			c := dialRaw(t, g.callersAddr)
			c.send(t, pacedGet)
			g.core.waitForRun(t)
			g.core.waitForFreeSlots(t)
			freeAfter := time.Since(began)
			_, got, err := c.read(pacedGet)
			is.NoErr(err)
			is.Equal(got, body)
			received := time.Since(began)
			is.True(received > 130*time.Millisecond) // not faster than the share of the link
			is.True(freeAfter < received*10/16)      // 100 ms of the 160 ms that the link takes
			g.waitUntilReleased(t)
		}
	}
}

// A response that breaks off, or whose length is not that of its body, must never look
// complete, and what follows it on its connection belongs to no request.
func TestPacedResponseIsCompleteOrAborted(t *testing.T) {
	for _, length := range []int{100 << 10, 600 << 10} { // verified in memory, streamed
		body := strings.Repeat("x", length)
		for _, test := range []struct {
			name, header, body string
			complete           bool
		}{
			{"breaks off", contentLength(length), body[:length/2], false},
			{"breaks off between chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", length, body), false},
			{"longer than its length", contentLength(length), body + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", true},
		} {
			for _, dialect := range []Dialect{{}, fullDialect()} {
				t.Run(fmt.Sprintf("%s, %d, signed %v", test.name, length, dialect.SignatureHeader != ""), func(t *testing.T) {
					is := is.New(t)
					g := newPacedRig(t, 1000, dialect, func(c net.Conn, r *bufio.Reader) {
						respondOnce(c, r, "HTTP/1.1 200 OK\r\n"+signedHeader+test.header+"\r\n\r\n"+test.body)
					})
					for range 2 {
						resp, got, err := dialRaw(t, g.callersAddr).exchange(t, pacedGet)
						is.Equal(err == nil && resp.StatusCode == http.StatusOK, test.complete)
						is.True(!test.complete || got == body)
						g.waitUntilReleased(t)
					}
				})
			}
		}
	}
}

// The entry paces towards callers on other machines. One on its own machine, such as the
// backend server there, is not reached over the link and must not wait for it.
func TestEntryPacesTowardsOtherMachines(t *testing.T) {
	is := is.New(t)
	const length = 100 << 10
	g := newPacedRig(t, 1000, Dialect{}, respondEach(contentLength(length), strings.Repeat("x", length)))
	l, err := net.Listen("tcp", "127.0.0.2:0") // callers connect from 127.0.0.1
	is.NoErr(err)
	go func() { _ = g.server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	for address, paced := range map[string]int64{g.callersAddr: length, l.Addr().String(): 2 * length} {
		before := g.paced.Load()
		_, got, err := dialRaw(t, address).exchange(t, simpleGet)
		is.NoErr(err)
		is.Equal(len(got), length)
		g.waitUntilReleased(t)
		is.Equal(g.paced.Load()-before, paced) // at the proxy beside the backend server, and here
	}
}

// When the receiver leaves midway, the exchange with the backend server must end at once
// and the slot, the link time and the memory must be free.
func TestReceiverThatLeavesReleasesTheResponse(t *testing.T) {
	var closed atomic.Int32
	g := newPacedRig(t, 10, Dialect{}, func(c net.Conn, r *bufio.Reader) {
		respondOnce(c, r, "HTTP/1.1 200 OK\r\n"+contentLength(8<<20)+"\r\n\r\n"+strings.Repeat("x", 1<<20))
		_, _ = r.ReadByte() // the rest does not come
		closed.Add(1)
	})
	c := dialRaw(t, g.peerAddr)
	c.send(t, peerRequest("/a", 0))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.CopyN(io.Discard, resp.Body, 20<<10)
	began := time.Now()
	_ = c.Close()
	g.waitUntilReleased(t)
	waitFor(t, "the connection to the backend server is closed", func() bool { return closed.Load() == 1 })
	if took := time.Since(began); took > time.Second {
		t.Errorf("released after %v, the deadline is at 2 s", took)
	}
}

// Receivers that do not read hold their own share only: the others get the whole rate,
// and the memory of the process stays bounded although the backend server sends without
// end.
func TestReceiversThatDoNotReadAreBounded(t *testing.T) {
	is := is.New(t)
	part := strings.Repeat("x", 64<<10)
	g := newPacedRig(t, 200, Dialect{}, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.URL.Path == "/sound" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+contentLength(len(part))+"\r\n\r\n"+part)
			return
		}
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+contentLength(1<<40)+"\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(c, part)
		}
	})
	const receivers = 48                                 // that could hold 1 MB each
	g.core.admission = admissionWithSlots(8 * receivers) // it starts with a quarter
	for range receivers {
		dialRaw(t, g.peerAddr).send(t, peerRequest("/endless", 0))
	}
	waitFor(t, "memory used up", func() bool { return g.held.Load() > maxHeldBytes*9/10 })
	is.True(g.held.Load() <= maxHeldBytes+receivers*copyBufferBytes)
	began := time.Now()
	_, got, err := dialRaw(t, g.peerAddr).exchange(t, peerRequest("/sound", 0))
	is.NoErr(err)
	is.Equal(len(got), len(part))
	is.True(time.Since(began) < time.Second)
	is.True(g.held.Load() <= maxHeldBytes+(receivers+1)*copyBufferBytes)
	g.waitUntilReleased(t) // at the deadline
}

// A request whose response cannot leave in time must be refused before it runs, with the
// reason by which its sender asks another instance or gives up.
func TestRequestWhoseResponseCannotLeaveIsNotRun(t *testing.T) {
	is := is.New(t)
	g := &rig{runs: &runCounter{}, linkMbps: 2}
	g.start(t, serveHTTP(t, g.runs.countRequests(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(300<<10)) // 1.5 s of the link
		_, _ = io.WriteString(w, strings.Repeat("x", 300<<10))
	})))
	first := dialRaw(t, g.peerAddr)
	_, _, err := first.exchange(t, peerRequest("/a", 0)) // the route is known after it
	is.NoErr(err)
	first.send(t, peerRequest("/a", 0))
	waitFor(t, "second response begun", func() bool { return g.paced.Load() > 310<<10 })
	for patience, reason := range map[float64]outcome.Reason{0.25: outcome.InstanceBusy, 0: outcome.Overload} {
		resp, _, err := dialRaw(t, g.peerAddr).exchange(t, peerRequest("/refused", patience))
		is.NoErr(err)
		is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
		is.Equal(resp.Header.Get(ReasonHeader), string(reason))
		is.True(resp.Header.Get("Retry-After") != "")
		refusal, _ := parseRefusal(resp)
		is.True(refusal.LinkBusy)
	}
	is.Equal(g.runs.count("/refused"), 0)
	_ = first.Close()
	g.waitUntilReleased(t)
}

// A response that is given up because this proxy has no memory for it must not count as
// broken off: the instance would be ejected for a shortage that is not its own.
func TestLackOfMemoryIsNotBlamedOnTheInstance(t *testing.T) {
	is := is.New(t)
	const length = 600 << 10
	address := rawServer(t, respondEach(contentLength(length), strings.Repeat("x", length)))
	pool := NewPool(DialTCP, 0)
	t.Cleanup(pool.Close)
	link := newResponseLink(1000, ResponseObserver{Held: func(int64) {}, Paced: func(int) {}})
	is.True(link.memory.large.TryAcquire(maxHeldBytes))
	use := link.newUse("")
	defer use.release()
	r := httptest.NewRequest(http.MethodGet, "/a", nil)
	deadline := time.Now().Add(100 * time.Millisecond)
	x, err := pool.Do(t.Context(), deadline.Add(time.Second), address, &outgoingRequest{in: r, dialect: &Dialect{}, use: use})
	is.NoErr(err)
	func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
		relayResponse(httptest.NewRecorder(), r, x, delivery{deadline: deadline, use: use})
	}()
	is.NoErr(x.truncation)
}

// downloadRequest returns a request as another proxy sends it for a declared download, of
// which the link time is planned before it runs.
func downloadRequest(line, header string, deadlineMs int) string {
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: a\r\n%s: %d\r\n%s: f=1&s=1&i=i-1&r=photos&d=1&t=1500\r\n%s\r\n", line, DeadlineHeader, deadlineMs, hopHeader, header)
}

// However a planned request ends, its link time, memory and slot must be free after it: a
// reservation that stays refuses downloads for ever.
func TestEveryEndReleasesTheLink(t *testing.T) {
	body := strings.Repeat("x", 40<<10)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	upload := fmt.Sprintf("Content-Length: %d\r\n", largeBody)
	for _, test := range []struct{ name, request, response string }{
		{"response without length", downloadRequest("GET /a", "", 2000), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked},
		{"close-delimited response", downloadRequest("GET /a", "", 2000), "HTTP/1.1 200 OK\r\n\r\n" + body},
		{"HEAD", downloadRequest("HEAD /a", "", 2000), "HTTP/1.1 200 OK\r\n" + contentLength(len(body)) + "\r\n\r\n"},
		{"no response", downloadRequest("GET /a", "", 2000), ""},
		{"malformed response", downloadRequest("GET /a", "", 2000), "odd\r\n\r\n"},
		{"short body breaks off", downloadRequest("GET /a", "", 2000), "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nx"},
		{"response before the end of an upload", downloadRequest("POST /a", upload, 2000) + "only the start", "HTTP/1.1 200 OK\r\n" + contentLength(len(body)) + "\r\n\r\n" + body},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newPacedRig(t, 1000, Dialect{}, func(c net.Conn, r *bufio.Reader) { respondOnce(c, r, test.response) })
			c := dialRaw(t, g.peerAddr)
			c.send(t, test.request)
			g.core.waitForRun(t)
			_, _, _ = c.read(test.request)
			g.waitUntilReleased(t)
		})
	}
	t.Run("refused by admission", func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		g := newPacedRig(t, 1000, Dialect{}, func(_ net.Conn, _ *bufio.Reader) { <-release })
		g.core.admission = admissionWithSlots(1)
		running := dialRaw(t, g.peerAddr)
		running.send(t, downloadRequest("GET /a", "", 2000))
		g.core.waitForRun(t)
		resp, _, err := dialRaw(t, g.peerAddr).exchange(t, downloadRequest("GET /b", "", 100))
		is.NoErr(err)
		is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
		g.local.link.mu.Lock()
		planned, _ := g.local.link.gate.Planned()
		g.local.link.mu.Unlock()
		is.Equal(planned, 1) // of the running one
		_ = running.Close()
		close(release)
		g.waitUntilReleased(t)
	})
}
