package forward

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newHopRig starts an entry whose other proxies are raw servers at the targets.
func newHopRig(t *testing.T, repeatable bool, targets ...string) string {
	t.Helper()
	dialect := signedDialect()
	core := newFakeCore(targets...)
	core.repeatable = repeatable
	pool := NewPool(DialTCP, 0)
	t.Cleanup(pool.Close)
	local := NewLocal(core, pool, "", false, dialect)
	return serveCallers(t, NewCallerServer(NewEntry(core, pool, "origin", local, "", "desk"), time.Second, time.Second))
}

// Replays a proxy that is lost in the middle of an answer. Nothing of it has
// reached the caller yet, so that the request is sent again if it may be, or
// else gets a final answer; the connection and the requests behind stay.
func TestAnswerLostOnItsWayBetweenProxiesCutsNoCaller(t *testing.T) {
	half := signed("r1", "Content-Length: 9\r\n\r\nhell")
	whole := signed("r1", "Content-Length: 5\r\n\r\nhello")
	for _, repeatable := range []bool{true, false} {
		is := is.New(t)
		broken := rawServer(t, func(c net.Conn, r *bufio.Reader) { answerOne(c, r, half) })
		sound := rawServer(t, func(c net.Conn, r *bufio.Reader) {
			for answerOne(c, r, whole) {
			}
		})
		caller := dialRaw(t, newHopRig(t, repeatable, broken, sound))
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

// Replays slow links: an answer begins just before its deadline and is not
// whole in time. Its caller gets a final answer, and the request pipelined behind it,
// which an instance has run, its own answer.
func TestAnswerThatIsLateInItsBodyCutsNoneBehind(t *testing.T) {
	is := is.New(t)
	hop := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Path == "/slow" {
				_, _ = c.Write([]byte(signed("slow", "Content-Length: 9\r\n\r\nhell")))
				continue
			}
			_, _ = c.Write([]byte(signed("quick", "Content-Length: 5\r\n\r\nhello")))
		}
	})
	caller := dialRaw(t, newHopRig(t, true, hop))
	caller.send(t, "GET /slow HTTP/1.1\r\nHost: a\r\nX-Id: slow\r\nHeatherlift-Deadline-Ms: 200\r\n\r\n"+
		"GET /quick HTTP/1.1\r\nHost: a\r\nX-Id: quick\r\nHeatherlift-Deadline-Ms: 5000\r\n\r\n")
	resp, _, err := caller.read("GET")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway) // what the fake core answers after doubt
	resp, body, err := caller.read("GET")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "hello")
}
