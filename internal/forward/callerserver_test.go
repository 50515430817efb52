package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDrainClosesKeepAliveConnections(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	c := dialRaw(t, g.callersAddr)
	resp, _, err := c.exchange(t, simpleGet)
	is.NoErr(err)
	is.True(!resp.Close)
	g.server.Drain()
	resp, body, err := c.exchange(t, simpleGet) // still served
	is.NoErr(err)
	is.Equal(body, "ok")
	is.True(resp.Close)
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
}

func TestIdleConnectionClosesWithoutReset(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	c := dialRaw(t, g.callersAddr)
	_, _, err := c.exchange(t, simpleGet)
	is.NoErr(err)
	waitFor(t, "connection idle", func() bool {
		conns := g.server.connections()
		return len(conns) == 1 && conns[0].requestsInProgress() == 0
	})
	g.server.Drain()
	g.server.CloseIdle()
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
	c.send(t, simpleGet) // arrives after the half-close
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF) // no reset
	waitFor(t, "connection closed", func() bool { return len(g.server.connections()) == 0 })
	is.Equal(g.served.Load(), int32(1))
	is.Equal(g.runs.count("/a"), 1) // the second request did not reach the backend server
}

func TestCloseIdleKeepsRequestInFlight(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	g := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		<-proceed
		_, _ = io.WriteString(w, "ok")
	})
	c := dialRaw(t, g.callersAddr)
	c.send(t, simpleGet)
	waitFor(t, "request runs", func() bool { return g.runs.count("/a") == 1 })
	g.server.Drain()
	g.server.CloseIdle()
	close(proceed)
	_, body, err := c.read(simpleGet)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// A request routed to the proxy's own address must not be sent over the network:
// a connection to the listener below is never accepted, so it would time out.
func TestLocalBackendServerIsReachedDirectly(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	g.ingress.selfAddress = l.Addr().String()
	g.core.targets = []string{g.ingress.selfAddress}
	resp, body, err := dialRaw(t, g.callersAddr).exchange(t, simpleGet)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(resp.Header.Get(VersionHeader), "7")
	g.core.waitForFreeSlots(t)
}

// Guards against a part of a line that is taken for a whole one when reading times out: the
// caller got 400 in a planned stop, which says that its request is at fault.
func TestHeaderThatPausesInAStopIsNotAnswered400(t *testing.T) {
	for _, part := range []string{"G", "GET /a HT", "GET /a HTTP/1.1\r\nHo", "GET /a HTTP/1.1\r\nHost: a\r\nX-Field: 1\r\nX-Fie", "GET /a HTTP/1.1\r\nHost: a\r\nX-Field: val", "GET /a HTTP/1.1\r\nHost: a\r\n"} {
		for _, onOpenConnection := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q/open=%v", part, onOpenConnection), func(t *testing.T) {
				is := is.New(t)
				s := NewCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), testTimeout, testTimeout)
				c := dialRaw(t, serveCallers(t, s))
				if onOpenConnection {
					_, _, err := c.exchange(t, getRequest("/before"))
					is.NoErr(err)
				}
				c.send(t, part)
				time.Sleep(50 * time.Millisecond)
				s.Drain()
				s.CloseIdle()
				rest, _ := io.ReadAll(c) // the end of the connection, or a reset
				is.Equal(string(rest), "")
			})
		}
	}
}

// A header whose reading has timed out once is not read on, even if there is time again.
func TestHeaderIsNotReadOnAfterATimeout(t *testing.T) {
	is := is.New(t)
	s := NewCallerServer(http.NotFoundHandler(), testTimeout, testTimeout)
	var read int
	c := &callerConn{Conn: &scriptedConn{reads: []func([]byte) (int, error){
		func(b []byte) (int, error) { return copy(b, "GET /a HTTP/1.1\r\nHost: a\r\nX-Fie"), nil },
		func([]byte) (int, error) { read++; return 0, os.ErrDeadlineExceeded },
		func(b []byte) (int, error) { read++; return copy(b, "ld: 1\r\n\r\n"), nil },
	}}, server: s, headerBytesLeft: unlimitedBytes}
	c.reader = bufio.NewReaderSize(c, 4<<10)
	_, status := c.readRequest(s.limits())
	is.Equal(status, 0)
	is.Equal(read, 1)
}

// scriptedConn is a connection with scripted reads.
type scriptedConn struct {
	net.Conn
	reads []func([]byte) (int, error)
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	read := c.reads[0]
	c.reads = c.reads[1:]
	return read(b)
}
