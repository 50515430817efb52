package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestDrainTellsKeepAliveCallersToMove(t *testing.T) {
	is := is.New(t)
	g := newRig(t, ok)
	c := dialRaw(t, g.callers)
	resp, _, err := c.exchange(t, get11)
	is.NoErr(err)
	is.True(!resp.Close)
	g.server.Drain()
	resp, body, err := c.exchange(t, get11) // still served
	is.NoErr(err)
	is.Equal(body, "ok")
	is.True(resp.Close)
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
}

func TestIdleConnectionEndsWithoutReset(t *testing.T) {
	is := is.New(t)
	g := newRig(t, ok)
	c := dialRaw(t, g.callers)
	_, _, err := c.exchange(t, get11)
	is.NoErr(err)
	await(t, "connection idle", func() bool {
		conns := g.server.all()
		return len(conns) == 1 && conns[0].inProgressNow() == 0
	})
	g.server.Drain()
	g.server.CloseIdle()
	c.send(t, get11) // crosses the end
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
	await(t, "connection ended", func() bool { return len(g.server.all()) == 0 })
	is.Equal(g.served.Load(), int32(1))
	is.Equal(g.ledger.of("/a"), 1) // it was not run
}

func TestRequestInFlightOutlivesCloseIdle(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	g := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		<-proceed
		_, _ = io.WriteString(w, "ok")
	})
	c := dialRaw(t, g.callers)
	c.send(t, get11)
	await(t, "request runs", func() bool { return g.ledger.of("/a") == 1 })
	g.server.Drain()
	g.server.CloseIdle()
	close(proceed)
	_, body, err := c.read(get11)
	is.NoErr(err)
	is.Equal(body, "ok")
}

func TestOwnBackendServerNeedsNoHop(t *testing.T) {
	is := is.New(t)
	g := newRig(t, ok)
	l, err := net.Listen("tcp", "127.0.0.1:0") // nothing accepts
	is.NoErr(err)
	defer l.Close()
	g.entry.self = l.Addr().String()
	g.core.targets = []string{g.entry.self}
	resp, body, err := dialRaw(t, g.callers).exchange(t, get11)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(resp.Header.Get(VersionHeader), "7")
	g.core.awaitSlots(t)
}
