package host

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/settings"
)

const (
	testNotice  = 300 * time.Millisecond
	testTimeout = 10 * time.Second
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startHost runs a proxy whose platform is unreachable, so that it refuses every
// request.
func startHost(t *testing.T) (address string, stop func(), ended <-chan error) {
	s := settings.Default()
	s.ID, s.AvailabilityZone, s.Service = "desk-1", "tanga", "desk"
	s.Listen = settings.Listen{Callers: freeAddress(t), Forward: freeAddress(t), Peers: freeAddress(t), Admin: freeAddress(t)}
	s.BackendServer.Address = freeAddress(t)
	s.Platform.Source = "http://" + freeAddress(t)
	s.Platform.Instances = s.Platform.Source
	s.Peers.Plaintext = true
	s.Shutdown = settings.Shutdown{Notice: config.Duration(testNotice), Limit: config.Duration(time.Second)}
	h, err := New(s, log.New(io.Discard), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx, http.NotFoundHandler()) }()
	return s.Listen.Callers, cancel, done
}

// newTestHost returns a host with the shutdown settings that runs no proxy.
func newTestHost(t *testing.T, shutdown settings.Shutdown) *Host {
	s := settings.Default()
	s.ID, s.AvailabilityZone, s.Service = "desk-1", "tanga", "desk"
	s.Peers.Plaintext = true
	s.Shutdown = shutdown
	h, err := New(s, log.New(io.Discard), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	h.ctx, h.cancel = context.WithCancel(t.Context())
	t.Cleanup(h.cancel)
	h.group = &errgroup.Group{}
	return h
}

// serveCallers serves callers with the handler in place of the host's own.
func serveCallers(t *testing.T, h *Host, handler http.HandlerFunc) (*servers, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := h.newServers(listeners{callers: l})
	s.callerServer = forward.NewCallerServer(handler, testTimeout, testTimeout)
	go func() { _ = s.callerServer.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); s.callerServer.Close() })
	return s, l.Addr().String()
}

// dial connects to the proxy and retries until it listens.
func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			return c, bufio.NewReader(c)
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

func request(c net.Conn, r *bufio.Reader) (*http.Response, error) {
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// Closing caller connections at once on shutdown resets requests that callers
// have just sent. During the notice period the proxy must serve every
// connection, end each with its next response, and then close idle connections
// without a reset.
func TestShutdownDrainsCallerConnections(t *testing.T) {
	is := is.New(t)
	address, stop, ended := startHost(t)
	busy, busyReader := dial(t, address)
	idle, idleReader := dial(t, address)
	for _, c := range []struct {
		net.Conn
		*bufio.Reader
	}{{busy, busyReader}, {idle, idleReader}} {
		resp, err := request(c.Conn, c.Reader)
		is.NoErr(err)
		is.True(!resp.Close)
	}
	stop()
	stopped := time.Now()
	for { // new connections are served during the notice period
		c, r := dial(t, address)
		resp, err := request(c, r)
		is.NoErr(err)
		if resp.Close {
			break
		}
	}
	resp, err := request(busy, busyReader)
	is.NoErr(err)
	is.True(resp.Close)
	_, err = idleReader.ReadByte()
	is.Equal(err, io.EOF) // orderly close, no reset
	is.True(time.Since(stopped) >= testNotice)
	is.NoErr(<-ended)
	_, err = net.Dial("tcp", address)
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}

// Requests were cut 5 s after the signal although the platform grants 10 s. A request
// that runs within the grace period has to be answered, on the connection that it came
// on, and the process has to end before the grace period does.
func TestRequestIsNotCutWithinTheGracePeriod(t *testing.T) {
	is := is.New(t)
	const grace, work = 2 * time.Second, 1600 * time.Millisecond
	h := newTestHost(t, settings.Shutdown{Notice: config.Duration(testNotice), Limit: config.Duration(testNotice)})
	h.shutdownBounds = ShutdownBounds{Notice: testNotice, GracePeriod: grace}
	arrived := make(chan struct{}, 1)
	s, address := serveCallers(t, h, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	})
	c, r := dial(t, address)
	answered := make(chan error, 1)
	go func() {
		_, err := request(c, r)
		answered <- err
	}()
	<-arrived
	start := time.Now()
	h.shutDown(s)
	is.True(time.Since(start) < grace)
	is.NoErr(<-answered)
}

// Ending idle connections dropped a request that lay unread in the socket, as it does
// when the process has been short of processor time. Such a request was not sent at the
// moment of the end, so it has to be served.
func TestUnreadRequestIsServedWhenIdleConnectionsEnd(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t, settings.Shutdown{Notice: config.Duration(time.Second), Limit: config.Duration(time.Second)})
	s, address := serveCallers(t, h, func(http.ResponseWriter, *http.Request) {})
	const connections = 200
	var clients []net.Conn
	var readers []*bufio.Reader
	for range connections {
		c, r := dial(t, address)
		_, err := request(c, r)
		is.NoErr(err)
		clients, readers = append(clients, c), append(readers, r)
	}
	for _, c := range clients {
		_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
	}
	s.callerServer.CloseIdle()
	for _, r := range readers {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

// A complete response was discarded because a longer request before it on its connection
// was cut at the end of the shutdown.
func TestResponseBehindACutRequestIsDelivered(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t, settings.Shutdown{})
	h.shutdownBounds = ShutdownBounds{Notice: testNotice, GracePeriod: time.Second}
	complete := make(chan struct{})
	s, address := serveCallers(t, h, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			close(complete)
			return
		}
		select {
		case <-time.After(testTimeout):
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	c, r := dial(t, address)
	_, err := io.WriteString(c, "GET /long HTTP/1.1\r\nHost: a\r\n\r\nGET /short HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	<-complete
	h.shutDown(s)
	for _, status := range []int{http.StatusBadGateway, http.StatusOK} {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, status)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
}

// A caller that stops in the middle of a request header kept the process until the limit of
// its shutdown.
func TestPartialHeaderDoesNotDelayTheShutdown(t *testing.T) {
	is := is.New(t)
	h := newTestHost(t, settings.Shutdown{Notice: config.Duration(testNotice), Limit: config.Duration(testTimeout)})
	s, address := serveCallers(t, h, func(http.ResponseWriter, *http.Request) {})
	c, r := dial(t, address)
	_, err := request(c, r)
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHo")
	is.NoErr(err)
	start := time.Now()
	h.shutDown(s)
	is.True(time.Since(start) < testTimeout/2)
}
