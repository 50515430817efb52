package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

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
