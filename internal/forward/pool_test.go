package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func exchangeOnce(t *testing.T, p *Pool, address string) error {
	t.Helper()
	x, err := p.Do(t.Context(), time.Now().Add(testTimeout), address, newGetRequest())
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, x.Response.Body)
	x.Close(err == nil)
	return err
}

func TestPoolReusesConnections(t *testing.T) {
	is := is.New(t)
	var accepted atomic.Int32
	address := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		accepted.Add(1)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := NewPool(DialTCP, 1)
	defer pool.Close()
	for range 10 {
		is.NoErr(exchangeOnce(t, pool, address))
	}
	is.Equal(accepted.Load(), int32(1))
}

// The receiver may have run a request before it closed the connection.
func TestPoolNeverResendsRequest(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	address := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		for n := range 2 {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			requests.Add(1)
			if n == 0 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
	})
	pool := NewPool(DialTCP, 0)
	defer pool.Close()
	is.NoErr(exchangeOnce(t, pool, address))
	err := exchangeOnce(t, pool, address)
	is.True(errors.Is(err, ErrConnectionLost))
	is.Equal(requests.Load(), int32(2))
}

func TestPoolSkipsClosedConnections(t *testing.T) {
	for _, unsolicited := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		is := is.New(t)
		address := rawResponder(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+unsolicited)
		pool := NewPool(DialTCP, 1)
		for range 5 {
			is.NoErr(exchangeOnce(t, pool, address))
			waitFor(t, "close detected", func() bool {
				pool.mu.Lock()
				defer pool.mu.Unlock()
				h := pool.hosts[address]
				return h == nil || len(h.idle) == 0 || !h.idle[0].alive()
			})
		}
		pool.Close()
		is.Equal(len(pool.hosts), 0)
	}
}

func TestPoolLimitsConnections(t *testing.T) {
	is := is.New(t)
	address := rawResponder(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	pool := NewPool(DialTCP, 1)
	defer pool.Close()
	x, err := pool.Do(t.Context(), time.Now().Add(testTimeout), address, newGetRequest())
	is.NoErr(err)
	is.True(errors.Is(exchangeOnce(t, pool, address), ErrNotSent))
	x.Close(false)
	is.NoErr(exchangeOnce(t, pool, address))
}

func TestPoolClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	address := serveHTTP(t, http.HandlerFunc(respondOK))
	pool := NewPool(DialTCP, 0)
	defer pool.Close()
	is.NoErr(exchangeOnce(t, pool, address))
	pool.mu.Lock()
	defer pool.mu.Unlock()
	is.True(pool.closeIdleBefore(time.Now().Add(-maxIdleTime))) // used just now
	is.True(!pool.closeIdleBefore(time.Now().Add(time.Second)))
	is.Equal(len(pool.hosts), 0)
}

// A receiver may close idle connections early, so a request that must not be
// repeated is not sent on a connection that was idle for long.
func TestNonRepeatableRequestAvoidsIdleConnection(t *testing.T) {
	is := is.New(t)
	pool := NewPool(DialTCP, 0)
	defer pool.Close()
	address := serveHTTP(t, http.HandlerFunc(respondOK))
	deadline := time.Now().Add(testTimeout)
	first, err := pool.acquire(t.Context(), deadline, address, false)
	is.NoErr(err)
	pool.put(first)
	again, err := pool.acquire(t.Context(), deadline, address, true)
	is.NoErr(err)
	is.True(again == first) // used recently
	pool.put(again)
	first.idleSince = time.Now().Add(-maxNonRepeatableIdle)
	fresh, err := pool.acquire(t.Context(), deadline, address, true)
	is.NoErr(err)
	is.True(fresh != first)
	pool.discard(fresh)
}

// The announced idle timeout is applied with a margin, so that the receiver does
// not close the connection first.
func TestKeepAliveTimeoutIsApplied(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{
		"":                  maxIdleTime,
		"timeout=10":        9 * time.Second,
		"timeout=5, max=10": 4 * time.Second,
		"timeout=1":         0,
		"timeout=600":       maxIdleTime,
		"max=3":             maxIdleTime,
	} {
		c := newConnection(nil, "")
		c.applyKeepAlive(http.Header{"Keep-Alive": {text}})
		is.Equal(c.maxIdle, want)
	}
}
