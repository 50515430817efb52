package host

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/settings"
)

// exhausted is a listener that has no descriptor for its first connections.
type exhausted struct {
	net.Listener
	failures int
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a proxy that serves no callers any more, after it once had no descriptor
// for a connection.
func TestListenerOutlivesLackOfDescriptors(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var reported atomic.Int32
	retrying := &retryingListener{Listener: &exhausted{l, 5}, onFailure: func(error) { reported.Add(1) }}
	s := forward.NewCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }), testTimeout, testTimeout)
	ended := make(chan error, 1)
	go func() { ended <- serve(s.Serve, retrying) }()
	client := http.Client{Timeout: 5 * time.Second}
	for range 10 {
		resp, err := client.Get("http://" + l.Addr().String())
		is.NoErr(err)
		_ = resp.Body.Close()
	}
	is.Equal(reported.Load(), int32(1))
	is.NoErr(l.Close())
	is.NoErr(<-ended)
	s.Close()
}

func TestAllListenersRetry(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("p.toml", []byte(reloadText))
	is.NoErr(err)
	for _, address := range []*string{&s.Listen.Callers, &s.Listen.Forward, &s.Listen.Peers, &s.Listen.Admin, &s.Listen.Metrics} {
		*address = "127.0.0.1:0"
	}
	h, err := New(s, log.New(io.Discard), nil, nil)
	is.NoErr(err)
	l, err := h.listen()
	is.NoErr(err)
	defer l.close()
	for _, listener := range []net.Listener{l.callers, l.forward, l.peers, l.admin, l.metrics} {
		_, retries := listener.(*retryingListener)
		is.True(retries)
	}
	time.AfterFunc(20*time.Millisecond, func() { _ = l.peers.Close() })
	_, err = l.peers.Accept()
	is.True(err != nil)
}
