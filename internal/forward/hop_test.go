package forward

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/routing"
)

// newHopRig starts an entry proxy whose peers are raw servers at the targets.
func newHopRig(t *testing.T, repeatable bool, targets ...string) string {
	t.Helper()
	dialect := fullDialect()
	core := newFakeCore(targets...)
	core.repeatable = repeatable
	pool := NewPool(DialTCP, 0)
	t.Cleanup(pool.Close)
	local := NewLocalForwarder(core, pool, "", false, dialect)
	return serveCallers(t, NewCallerServer(NewIngress(core, pool, "origin", local, "", "desk"), time.Second, time.Second))
}

// Guards against a peer that fails in the middle of a response. None of it has
// reached the caller yet, so a repeatable request is sent again and any other
// is refused. The caller's connection stays open for further requests.
func TestTruncatedPeerResponseKeepsCallerConnection(t *testing.T) {
	truncated := signedResponse("r1", "Content-Length: 9\r\n\r\nhell")
	complete := signedResponse("r1", "Content-Length: 5\r\n\r\nhello")
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		failing := rawServer(t, func(c net.Conn, r *bufio.Reader) { respondOnce(c, r, truncated) })
		healthy := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			for respondOnce(c, r, complete) {
			}
		})
		caller := dialRaw(t, newHopRig(t, repeatable, failing, healthy))
		resp, body, err := caller.exchange(t, signedGet)
		is.NoErr(err)
		if repeatable {
			is.Equal(body, "hello")
		} else {
			is.Equal(resp.StatusCode, http.StatusBadGateway)
		}
		resp, _, err = caller.exchange(t, signedGet)
		is.NoErr(err)
		is.True(!resp.Close)
	}
}

// Guards against slow links: a response starts just before its deadline and is
// not complete in time. Its caller gets a refusal, and the request pipelined
// after it, which has been run, gets its own response.
func TestLateResponseBodyKeepsPipelinedRequest(t *testing.T) {
	is := is.New(t)
	hop := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Path == "/slow" {
				_, _ = c.Write([]byte(signedResponse("slow", "Content-Length: 9\r\n\r\nhell")))
				continue
			}
			_, _ = c.Write([]byte(signedResponse("quick", "Content-Length: 5\r\n\r\nhello")))
		}
	})
	caller := dialRaw(t, newHopRig(t, true, hop))
	caller.send(t, "GET /slow HTTP/1.1\r\nHost: a\r\nX-Id: slow\r\nHeatherlift-Deadline-Ms: 200\r\n\r\n"+
		"GET /quick HTTP/1.1\r\nHost: a\r\nX-Id: quick\r\nHeatherlift-Deadline-Ms: 5000\r\n\r\n")
	resp, _, err := caller.read("GET")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway) // the fake core's refusal for an unknown outcome
	resp, body, err := caller.read("GET")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "hello")
}

// The proxy beside a backend server must learn the lengths of a declared download also if
// the route has no target.
func TestHopNamesTheRouteOfADownload(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	h := make(http.Header)
	h.Set(hopHeader, formatHop(routing.Send{Route: "photos", Download: true, Repeatable: true}, "r", 1, false, now))
	a, ok := parseHop(now, h)
	is.True(ok)
	is.True(a.Download)
	is.Equal(a.Route, "photos")
	is.True(a.Target.IsZero())
}

// A proxy without a version must learn the warm-up of its service from the first request.
func TestHopNamesTheWarmUp(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	h := make(http.Header)
	h.Set(hopHeader, formatHop(routing.Send{Repeatable: true, WarmUpPerSecond: 14.5}, "r", 1, false, now))
	a, ok := parseHop(now, h)
	is.True(ok)
	is.Equal(a.WarmUpPerSecond, 14.5)
	h.Set(hopHeader, "f=1&s=1&u=-1")
	_, ok = parseHop(now, h)
	is.True(!ok)
}
