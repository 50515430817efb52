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

	"heatherlift.example/heatherlift/internal/config"
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
