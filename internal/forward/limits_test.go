package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

// newLimitedRig returns a rig whose version in force has the given limits.
func newLimitedRig(t *testing.T, l config.CallerLimits) *rig {
	t.Helper()
	g := &rig{runs: &runCounter{}, limits: &l}
	g.start(t, serveHTTP(t, g.runs.countRequests(respondLength)))
	return g
}

// respondLength responds with the length of the request body.
func respondLength(w http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	fmt.Fprint(w, n)
}

// headerOf returns the header of a GET request, size bytes long.
func headerOf(size int) string {
	const start, end = "GET /a HTTP/1.1\r\nHost: a\r\nX: ", "\r\n\r\n"
	return start + strings.Repeat("x", size-len(start)-len(end)) + end
}

func TestHeaderLimitOfTheVersion(t *testing.T) {
	for _, limit := range []int{2 << 10, 100 << 10} {
		is := is.New(t)
		g := newLimitedRig(t, config.CallerLimits{HeaderBytes: limit})
		resp, _, err := dialRaw(t, g.callersAddr).exchange(t, headerOf(limit))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		resp, _, err = dialRaw(t, g.callersAddr).exchange(t, headerOf(limit+1))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
		is.True(resp.Close)
		is.Equal(g.runs.count("/a"), 1)
	}
}

func TestBodyLimitOfTheVersion(t *testing.T) {
	const limit = 200_000
	chunked := func(size int) string {
		return "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strconv.FormatInt(int64(size), 16) + "\r\n" + strings.Repeat("x", size) + "\r\n0\r\n\r\n"
	}
	withLength := func(size int) string { return uploadHeader(size, "") + strings.Repeat("x", size) }
	for _, request := range []func(size int) string{chunked, withLength} {
		is := is.New(t)
		g := newLimitedRig(t, config.CallerLimits{BodyBytes: limit})
		resp, body, err := dialRaw(t, g.callersAddr).exchange(t, request(limit))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, strconv.Itoa(limit))
		resp, _, err = dialRaw(t, g.callersAddr).exchange(t, request(limit+1))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
		is.True(resp.Close)
		g.core.waitForFreeSlots(t)
	}
}

// A caller that waits for 100 Continue learns of the limit before it sends the body,
// and the request reaches no backend server.
func TestLengthAboveTheBodyLimitIsNotRead(t *testing.T) {
	is := is.New(t)
	rejected := make(chan int, 1)
	g := &rig{runs: &runCounter{}, limits: &config.CallerLimits{BodyBytes: 100}, onReject: func(_ string, status int) { rejected <- status }}
	g.start(t, serveHTTP(t, g.runs.countRequests(respondOK)))
	resp, _, err := dialRaw(t, g.callersAddr).exchange(t, uploadHeader(101, "Expect: 100-continue\r\n"))
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(<-rejected, http.StatusRequestEntityTooLarge)
	is.Equal(g.runs.count("/a"), 0)
}

func TestTimeoutsOfTheVersion(t *testing.T) {
	is := is.New(t)
	const idle = 300 * time.Millisecond
	g := newLimitedRig(t, config.CallerLimits{HeaderTimeout: config.Duration(100 * time.Millisecond), IdleTimeout: config.Duration(idle)})
	kept := dialRaw(t, g.callersAddr)
	for range 3 { // a caller reuses connections that were idle for four fifths of the limit
		resp, _, err := kept.exchange(t, headerOf(100))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		time.Sleep(idle * 4 / 5)
	}
	_, err := kept.reader.ReadByte()
	is.Equal(err, io.EOF) // closed after the idle timeout

	slow := dialRaw(t, g.callersAddr)
	slow.send(t, "GET /a HTTP/1.1\r\nHost: a\r\n")
	_, err = slow.reader.ReadByte()
	is.Equal(err, io.EOF)
}

// A process that was paused finds a timeout expired and the request in the socket.
func TestRequestThatArrivedBeforeATimeoutIsRead(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	_, err = io.WriteString(caller, "x")
	is.NoErr(err)
	c := newCallerConn(NewCallerServer(nil, time.Second, time.Second), accepted)
	is.NoErr(accepted.SetReadDeadline(pastDeadline))
	c.readsLate = true
	b, err := c.reader.ReadByte()
	is.NoErr(err)
	is.Equal(b, byte('x'))

	c.closing, c.readsLate = true, true // a connection that closes is not read on
	is.NoErr(accepted.SetReadDeadline(pastDeadline))
	_, err = c.reader.ReadByte()
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// The time in which a body arrives counts against the budget of its caller.
func TestSlowBodyShortensTheBudget(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	c := dialRaw(t, g.callersAddr)
	c.send(t, uploadHeader(5, ""))
	time.Sleep(100 * time.Millisecond)
	c.send(t, "hello")
	_, _, err := c.read("POST")
	is.NoErr(err)
	is.True(g.core.arrived[0].Elapsed >= 90*time.Millisecond)
}

// A body that does not arrive within the time that its caller allows was not run.
func TestBodyAfterTheDeadlineIsNotRun(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	c := dialRaw(t, g.callersAddr)
	start := time.Now()
	c.send(t, uploadHeader(5, DeadlineHeader+": 150\r\n")+"hel")
	resp, _, err := c.read("POST")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
	is.True(time.Since(start) < time.Second)
	is.Equal(g.runs.count("/a"), 0)
}
