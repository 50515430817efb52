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
	x, err := p.Do(t.Context(), time.Now().Add(testTimeout), address, getMessage())
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, x.Response.Body)
	x.Close(err == nil)
	return err
}

func TestPoolKeepsConnections(t *testing.T) {
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

// The receiver may have run what it read before it broke the connection.
func TestPoolNeverSendsTwice(t *testing.T) {
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
	is.True(errors.Is(err, ErrLost))
	is.Equal(requests.Load(), int32(2))
}

func TestPoolPassesOverClosedConnections(t *testing.T) {
	for _, unsolicited := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		is := is.New(t)
		address := answering(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+unsolicited)
		pool := NewPool(DialTCP, 1)
		for range 5 {
			is.NoErr(exchangeOnce(t, pool, address))
			await(t, "close seen", func() bool {
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

func TestPoolBoundsConnections(t *testing.T) {
	is := is.New(t)
	address := answering(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	pool := NewPool(DialTCP, 1)
	defer pool.Close()
	x, err := pool.Do(t.Context(), time.Now().Add(testTimeout), address, getMessage())
	is.NoErr(err)
	is.True(errors.Is(exchangeOnce(t, pool, address), ErrNotSent))
	x.Close(false)
	is.NoErr(exchangeOnce(t, pool, address))
}

func TestPoolClosesConnectionsIdleTooLong(t *testing.T) {
	is := is.New(t)
	address := serveHTTP(t, http.HandlerFunc(ok))
	pool := NewPool(DialTCP, 0)
	defer pool.Close()
	is.NoErr(exchangeOnce(t, pool, address))
	pool.mu.Lock()
	defer pool.mu.Unlock()
	is.True(pool.closeIdle(time.Now().Add(-maxIdleTime))) // used just now
	is.True(!pool.closeIdle(time.Now().Add(time.Second)))
	is.Equal(len(pool.hosts), 0)
}

// Replays a receiver that closes connections soon: a request that must not be
// repeated is not risked on one that was idle, and the announced idle time is
// kept with a margin.
func TestIdleConnectionsCarryNothingThatMustNotBeRepeated(t *testing.T) {
	is := is.New(t)
	pool := NewPool(DialTCP, 0)
	defer pool.Close()
	address := serveHTTP(t, http.HandlerFunc(ok))
	deadline := time.Now().Add(testTimeout)
	first, err := pool.acquire(t.Context(), deadline, address, false)
	is.NoErr(err)
	pool.put(first)
	again, err := pool.acquire(t.Context(), deadline, address, true)
	is.NoErr(err)
	is.True(again == first) // used a moment ago
	pool.put(again)
	first.since = time.Now().Add(-freshTime)
	fresh, err := pool.acquire(t.Context(), deadline, address, true)
	is.NoErr(err)
	is.True(fresh != first)
	pool.discard(fresh)
}

func TestAnnouncedIdleTimeIsKept(t *testing.T) {
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
		c.announce(http.Header{"Keep-Alive": {text}})
		is.Equal(c.idleLimit, want)
	}
}
