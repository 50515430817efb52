package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

const largeBody = 4 << 20

func uploadHeader(length int, extraHeaders string) string {
	return "POST /a HTTP/1.1\r\nHost: a\r\n" + extraHeaders + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

func TestLargeUploadIsComplete(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n, err)
	})
	c := dialRaw(t, g.callersAddr)
	for range 2 { // the second upload uses the same connection
		_, body, err := c.exchange(t, uploadHeader(largeBody, "")+strings.Repeat("x", largeBody))
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(largeBody, nil))
	}
}

func TestRefusedUploadGoesToAnotherInstance(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	leaving := newRig(t, respondOK)
	leaving.core.Admit(admission.Leave{})
	g.core.targets = []string{leaving.peerAddr, g.peerAddr}
	_, body, err := dialRaw(t, g.callersAddr).exchange(t, uploadHeader(largeBody, "")+strings.Repeat("x", largeBody))
	is.NoErr(err)
	is.Equal(body, strconv.Itoa(largeBody))
	is.Equal(leaving.runs.count("/a"), 0)
}

func TestUploadWithoutInstanceIsNotRead(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	g.core.Admit(admission.Leave{})
	resp, _, err := dialRaw(t, g.callersAddr).exchange(t, uploadHeader(largeBody, "Expect: 100-continue\r\n"))
	is.NoErr(err) // no 100 Continue was sent before
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
	is.Equal(resp.Header.Get(ReasonHeader), string(outcome.InstanceLeaving))
}

func TestUploadIsNotResent(t *testing.T) {
	is := is.New(t)
	runs := &runCounter{}
	failing := rawServer(t, func(_ net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		runs.add(req.URL.Path)
		_, _ = io.CopyN(io.Discard, req.Body, 1<<20)
	})
	g := &rig{runs: runs}
	g.start(t, failing)
	g.core.repeatable = true
	g.core.targets = []string{g.peerAddr, g.peerAddr}
	c := dialRaw(t, g.callersAddr)
	go func() { _, _ = io.WriteString(c, uploadHeader(largeBody, "")+strings.Repeat("x", largeBody)) }()
	resp, _, err := c.read("POST")
	is.NoErr(err)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.Unknown))
	is.Equal(runs.count("/a"), 1)
}

func TestEarlyResponseIsDelivered(t *testing.T) {
	for _, connectionHeader := range []string{"", "Connection: close\r\n"} {
		is := is.New(t)
		g := &rig{}
		g.start(t, rawServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\n"+connectionHeader+"Content-Length: 3\r\n\r\nbig")
			_, _ = io.Copy(io.Discard, r)
		}))
		c := dialRaw(t, g.callersAddr)
		c.send(t, uploadHeader(largeBody, "")+"only the start")
		resp, body, err := c.read("POST")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
		is.Equal(body, "big")
		is.True(resp.Close) // the rest of the body must not be taken for a request
		g.core.waitForFreeSlots(t)
	}
}

func TestTruncatedUploadIsAbortedAtBackendServer(t *testing.T) {
	for _, header := range []string{
		uploadHeader(largeBody, ""),
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello",
	} {
		bodyErrs := make(chan error, 1)
		g := newRig(t, func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			bodyErrs <- err
		})
		c := dialRaw(t, g.callersAddr)
		c.send(t, header)
		waitFor(t, "request runs", func() bool { return g.runs.count("/a") == 1 })
		_ = c.Close()
		select {
		case err := <-bodyErrs:
			if err == nil {
				t.Fatal("the backend server took a truncated body for a complete one")
			}
		case <-time.After(testTimeout):
			t.Fatal("the backend server still waits for the body")
		}
		g.core.waitForFreeSlots(t)
	}
}

func TestTruncatedSmallBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	c := dialRaw(t, g.callersAddr)
	c.send(t, uploadHeader(100, "")+"hello")
	is.NoErr(c.Conn.(*net.TCPConn).CloseWrite())
	resp, _, err := c.read("POST")
	is.NoErr(err)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
	is.Equal(g.runs.count("/a"), 0)
}

// Uploads to one path differ by their length at least: one that crashes a backend server
// must not keep the others away.
func TestStreamedBodiesOfOtherLengthHaveOtherFingerprints(t *testing.T) {
	is := is.New(t)
	of := func(length int64) uint64 {
		r := &http.Request{Method: "POST", RequestURI: "/a", ContentLength: length}
		return fingerprint("a.example", r, nil)
	}
	is.True(of(70_000) != of(80_000))
	is.Equal(of(70_000), of(70_000))
}

// A stop in the middle of an upload lets it end, and its caller learns that the
// connection closes.
func TestStopDuringUploadLetsItEnd(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondLength)
	c := dialRaw(t, g.callersAddr)
	body := strings.Repeat("x", largeBody)
	c.send(t, uploadHeader(largeBody, "")+body[:largeBody/2])
	waitFor(t, "request runs", func() bool { return g.runs.count("/a") == 1 })
	g.server.Drain()
	c.send(t, body[largeBody/2:])
	resp, text, err := c.read("POST")
	is.NoErr(err)
	is.Equal(text, strconv.Itoa(largeBody))
	is.True(resp.Close)
}

// A version with a lower limit does not cut a body that began under the one before.
func TestLimitThatFallsDuringUploadDoesNotCutIt(t *testing.T) {
	is := is.New(t)
	var limits atomic.Pointer[config.CallerLimits]
	limits.Store(&config.CallerLimits{BodyBytes: largeBody})
	g := &rig{runs: &runCounter{}, limitsInForce: limits.Load}
	g.start(t, serveHTTP(t, g.runs.countRequests(respondLength)))
	c := dialRaw(t, g.callersAddr)
	body := strings.Repeat("x", largeBody)
	c.send(t, uploadHeader(largeBody, "")+body[:largeBody/2])
	waitFor(t, "request runs", func() bool { return g.runs.count("/a") == 1 })
	limits.Store(&config.CallerLimits{BodyBytes: 1})
	c.send(t, body[largeBody/2:])
	_, text, err := c.read("POST")
	is.NoErr(err)
	is.Equal(text, strconv.Itoa(largeBody))
}

// A caller that stops sending in the middle of a body gets its final answer at its
// deadline, and the slot is free.
func TestStalledUploadEndsAtTheDeadline(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondLength)
	c := dialRaw(t, g.callersAddr)
	start := time.Now()
	c.send(t, uploadHeader(largeBody, DeadlineHeader+": 300\r\n")+"only the start")
	resp, _, err := c.read("POST")
	is.NoErr(err)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.Unknown))
	is.True(time.Since(start) < 300*time.Millisecond+uploadLingerTimeout/2)
	g.core.waitForFreeSlots(t)
}

// A backend server answers before it has read the body, keeps its connection and reads
// on. What it reads then must not be another request.
func TestConnectionOfAnEarlyAnswerCarriesNoOtherRequest(t *testing.T) {
	is := is.New(t)
	rest := make(chan string, 4)
	g := &rig{}
	g.start(t, rawServer(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.Method == "GET" { // closed at once: a later request that is not repeatable must not be sent on it
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		later, _ := io.ReadAll(r)
		rest <- string(later)
	}))
	c := dialRaw(t, g.callersAddr)
	c.send(t, uploadHeader(largeBody, "")+"only the start")
	_, body, err := c.read("POST")
	is.NoErr(err)
	is.Equal(body, "ok")
	for range 3 {
		_, body, err := dialRaw(t, g.callersAddr).exchange(t, simpleGet)
		is.NoErr(err)
		is.Equal(body, "ok")
	}
	is.True(!strings.Contains(<-rest, "GET"))
}

// uploadMemory bounds the memory for a streamed body at both proxies together: copy
// buffers of 32 KB and buffers of connections, not the body.
const uploadMemory = 1 << 20

func TestUploadIsNotHeldInMemory(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	releaseAll := sync.OnceFunc(func() { close(release) })
	defer releaseAll()
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respondLength(w, r)
	})
	body := strings.Repeat("x", 4*largeBody)
	before := heapBytes()
	c := dialRaw(t, g.callersAddr)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(c, uploadHeader(len(body), "")+body)
	}()
	waitFor(t, "the upload runs", func() bool { return g.runs.count("/a") == 1 })
	time.Sleep(100 * time.Millisecond)                // the proxies take what they can
	growth := heapBytes() - before - int64(len(body)) // the sender copies the body once
	is.True(growth < uploadMemory)
	releaseAll()
	_, text, err := c.read("POST")
	is.NoErr(err)
	is.Equal(text, strconv.Itoa(len(body)))
	<-sent
}

// A backend server, or the proxy beside it, that does not read a body for longer than
// userTimeout is slow, not lost.
func TestSlowReaderOfAnUploadIsNotCutOff(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(userTimeout + time.Second)
		respondLength(w, r)
	})
	body := strings.Repeat("x", 4*largeBody) // more than the buffers of the sockets take
	_, text, err := dialRaw(t, g.callersAddr).exchange(t, uploadHeader(len(body), "")+body)
	is.NoErr(err)
	is.Equal(text, strconv.Itoa(len(body)))
}

// newGatedRig returns a rig whose sidecar proxy has a link of the given bandwidth, and
// whose requests are uploads of one route.
func newGatedRig(t *testing.T, linkMbps float64) *rig {
	t.Helper()
	g := &rig{runs: &runCounter{}, linkMbps: linkMbps}
	g.start(t, serveHTTP(t, g.runs.countRequests(respondLength)))
	g.core.upload = true
	return g
}

// A body that the link of the receiver cannot carry in time is refused before any of it
// is sent, and was not run.
func TestUploadThatTheLinkCannotCarryIsNotSent(t *testing.T) {
	for _, size := range []int{20_000, 100_000} { // kept in memory, streamed
		is := is.New(t)
		g := newGatedRig(t, 0.1)
		c := dialRaw(t, g.callersAddr)
		resp, _, err := c.exchange(t, uploadHeader(size, DeadlineHeader+": 300\r\n")+strings.Repeat("x", size))
		is.NoErr(err)
		is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
		is.Equal(g.runs.count("/a"), 0)
		g.core.waitForFreeSlots(t)
	}
}

func TestOfferedUploadsAreComplete(t *testing.T) {
	is := is.New(t)
	g := newGatedRig(t, 1000)
	c := dialRaw(t, g.callersAddr)
	for _, size := range []int{1, 20_000, 100_000, 0, largeBody} {
		_, body, err := c.exchange(t, uploadHeader(size, "")+strings.Repeat("x", size))
		is.NoErr(err)
		is.Equal(body, strconv.Itoa(size))
	}
}

// A refused body goes to another instance, whole.
func TestUploadRefusedByTheLinkGoesToAnotherInstance(t *testing.T) {
	for _, size := range []int{20_000, 100_000} {
		is := is.New(t)
		slow, fast := newGatedRig(t, 0.1), newGatedRig(t, 1000)
		fast.core.targets = []string{slow.peerAddr, fast.peerAddr}
		_, body, err := dialRaw(t, fast.callersAddr).exchange(t, uploadHeader(size, DeadlineHeader+": 1000\r\n")+strings.Repeat("x", size))
		is.NoErr(err)
		is.Equal(body, strconv.Itoa(size))
		is.Equal(slow.runs.count("/a"), 0)
	}
}

// brokenBody is a body whose sender leaves: the server cancels the context of the request
// before the error of the body is read.
type brokenBody struct {
	leave context.CancelFunc
	sent  bool
}

func (b *brokenBody) Read(p []byte) (int, error) {
	if !b.sent {
		b.sent = true
		return copy(p, "hello"), nil
	}
	b.leave()
	time.Sleep(20 * time.Millisecond)
	return 0, io.ErrUnexpectedEOF
}

// Guards against a body that breaks off and counts against the backend server, as the end of
// its sender is seen before the error of the body.
func TestBrokenBodyIsTheSendersFaultAlsoIfItHasLeft(t *testing.T) {
	is := is.New(t)
	address := rawServer(t, func(_ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
	pool := NewPool(DialTCP, 0)
	defer pool.Close()
	ctx, cancel := context.WithCancel(t.Context())
	in := httptest.NewRequest(http.MethodPost, "/a", &brokenBody{leave: cancel})
	in.ContentLength = -1
	out := &outgoingRequest{in: in, dialect: new(Dialect), upload: newUpload(httptest.NewRecorder(), in)}
	_, err := pool.Do(ctx, time.Now().Add(testTimeout), address, out)
	is.True(errors.Is(err, errBody))
}
