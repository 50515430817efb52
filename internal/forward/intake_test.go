package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/outcome"
)

// newBoundedRig starts both proxies with an account of what callers hold.
func newBoundedRig(t *testing.T, l intake.Limits, backend http.HandlerFunc) (*rig, *intake.Account) {
	t.Helper()
	if l.ClientMemory == 0 {
		l.ClientMemory = l.Memory
	}
	if l.ConnectionMemory == 0 {
		l.ConnectionMemory = l.Memory
	}
	l.ClientShare = 1
	account := intake.New(l)
	g := &rig{runs: &runCounter{}, account: account}
	g.start(t, serveHTTP(t, g.runs.countRequests(backend)))
	return g, account
}

func roomyLimits() intake.Limits {
	l := intake.Limits{Memory: 64 << 20, SlowAfter: time.Minute}
	l.Connections[intake.Callers] = 100
	return l
}

// shortFieldsHeader returns a request with n header fields.
func shortFieldsHeader(n int) string {
	var text strings.Builder
	text.WriteString("GET /a HTTP/1.1\r\nHost: a\r\n" + OrganisationHeader + ": o\r\n")
	for i := range n {
		fmt.Fprintf(&text, "x%d:\r\n", i)
	}
	return text.String() + "\r\n"
}

// isRefusedForRoom checks that a response tells that there was no room and that the request
// was not run.
func isRefusedForRoom(is *is.I, resp *http.Response) {
	is.Helper()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
	is.Equal(resp.Header.Get(ReasonHeader), string(outcome.ClientLimit))
	is.Equal(resp.Header.Get("Retry-After"), "1")
	is.True(resp.Close)
}

func TestRequestIsRefusedBeforeItIsHeld(t *testing.T) {
	cases := []struct {
		name string
		text string
	}{
		{"a header of very many fields", shortFieldsHeader(4000)},
		{"a body", "POST /a HTTP/1.1\r\nHost: a\r\n" + OrganisationHeader + ": o\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("b", 50000)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := roomyLimits()
			l.Memory = intake.RequestCost + 48<<10
			g, account := newBoundedRig(t, l, respondOK)
			caller := dialRaw(t, g.callersAddr)
			resp, _, err := caller.exchange(t, c.text)
			is.NoErr(err)
			isRefusedForRoom(is, resp)
			is.Equal(g.runs.count("/a"), 0)
			_ = caller.Close()
			waitFor(t, "nothing held", func() bool { return account.Usage().Memory == 0 })
			resp, body, err := dialRaw(t, g.callersAddr).exchange(t, simpleGet)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, "ok")
		})
	}
}

func TestConnectionWithoutRoomIsAnswered(t *testing.T) {
	is := is.New(t)
	l := roomyLimits()
	l.Connections[intake.Callers] = 2
	proceed := make(chan struct{})
	g, _ := newBoundedRig(t, l, func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		respondOK(w, r)
	})
	busy := dialRaw(t, g.callersAddr)
	busy.send(t, simpleGet)
	waitFor(t, "request runs", func() bool { return g.runs.count("/a") == 1 })
	resp, _, err := dialRaw(t, g.callersAddr).read(simpleGet) // without a request, which could reset the connection
	is.NoErr(err)
	isRefusedForRoom(is, resp)
	close(proceed)
	_, body, err := busy.read(simpleGet)
	is.NoErr(err)
	is.Equal(body, "ok")
}

// An idle connection that is closed for a new one still serves a request that lies in its
// socket.
func TestIdleConnectionClosedForAnotherLosesNoRequest(t *testing.T) {
	is := is.New(t)
	l := roomyLimits()
	l.Connections[intake.Callers] = 3
	g, _ := newBoundedRig(t, l, respondOK)
	first, second := dialRaw(t, g.callersAddr), dialRaw(t, g.callersAddr)
	for _, c := range []*rawCaller{first, second} {
		_, _, err := c.exchange(t, simpleGet)
		is.NoErr(err)
	}
	waitFor(t, "connections idle", func() bool {
		for _, c := range g.server.connections() {
			if c.requestsInProgress() > 0 {
				return false
			}
		}
		return true
	})
	third := dialRaw(t, g.callersAddr)
	_, body, err := third.exchange(t, simpleGet)
	is.NoErr(err)
	is.Equal(body, "ok")
	_, err = first.reader.ReadByte()
	is.Equal(err, io.EOF) // closed, and not reset
	_, body, err = second.exchange(t, simpleGet)
	is.NoErr(err)
	is.Equal(body, "ok")
}

func TestBodyWithoutARouteIsNotAwaited(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	g.core.unroutable = true
	for _, framing := range []string{"Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 100), "Content-Length: 10000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\nbbbbb\r\n"} {
		c := dialRaw(t, g.callersAddr)
		resp, _, err := c.exchange(t, "POST /a HTTP/1.1\r\nHost: a\r\n"+OrganisationHeader+": o\r\n"+framing)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusNotFound)
		is.True(resp.Close) // the rest of the body must not be taken for a request
	}
	c := dialRaw(t, g.callersAddr)
	resp, _, err := c.exchange(t, "POST /a HTTP/1.1\r\nHost: a\r\n"+OrganisationHeader+": o\r\nContent-Length: 5\r\n\r\nbbbbb")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.True(!resp.Close) // the whole body has arrived
	is.Equal(g.runs.count("/a"), 0)
}

// What a request holds is returned however it ends.
func TestNothingIsHeldAfterARequest(t *testing.T) {
	hang := make(chan struct{})
	t.Cleanup(func() { close(hang) })
	cases := map[string]func(t *testing.T, g *rig, c *rawCaller){
		"answer": func(t *testing.T, _ *rig, c *rawCaller) { _, _, _ = c.exchange(t, simpleGet) },
		"rejected header": func(t *testing.T, _ *rig, c *rawCaller) {
			_, _, _ = c.exchange(t, "GET /a HTTP/1.1\r\nHost: a\r\nx y: z\r\n\r\n")
		},
		"caller leaves in the header": func(t *testing.T, _ *rig, c *rawCaller) { c.send(t, "GET /a HTTP/1.1\r\nHo"); _ = c.Close() },
		"caller leaves in the body": func(t *testing.T, _ *rig, c *rawCaller) {
			c.send(t, "POST /a HTTP/1.1\r\nHost: a\r\n"+OrganisationHeader+": o\r\nContent-Length: 60000\r\n\r\nb")
			_ = c.Close()
		},
		"caller leaves while it runs": func(t *testing.T, g *rig, c *rawCaller) {
			c.send(t, strings.Replace(simpleGet, "/a", "/hang", 1))
			waitFor(t, "request runs", func() bool { return g.runs.count("/hang") == 1 })
			_ = c.Close()
		},
		"panic": func(t *testing.T, _ *rig, c *rawCaller) {
			_, _, _ = c.exchange(t, strings.Replace(simpleGet, "/a", "/panic", 1))
		},
		"sent ahead": func(t *testing.T, _ *rig, c *rawCaller) {
			c.send(t, strings.Repeat(simpleGet, 50))
			for range 50 {
				_, _, _ = c.read(simpleGet)
			}
		},
		"stop": func(t *testing.T, g *rig, c *rawCaller) { c.send(t, simpleGet); g.server.Close() },
	}
	for name, end := range cases {
		t.Run(name, func(t *testing.T) {
			g, account := newBoundedRig(t, roomyLimits(), func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/hang":
					select {
					case <-hang:
					case <-r.Context().Done():
					}
				case "/panic":
					panic(http.ErrAbortHandler)
				}
				respondOK(w, r)
			})
			c := dialRaw(t, g.callersAddr)
			end(t, g, c)
			_ = c.Close()
			waitFor(t, "nothing held", func() bool {
				u := account.Usage()
				return u.Memory == 0 && u.Connections == intake.Usage{}.Connections
			})
		})
	}
}

func TestPoolWithoutConnectionsRefusesRequests(t *testing.T) {
	is := is.New(t)
	address := keepAliveResponder(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	other := keepAliveResponder(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	pool := NewPool(DialTCP, 0)
	defer pool.Close()
	pool.LimitTotal(1)
	c, err := pool.acquire(t.Context(), time.Now().Add(testTimeout), address, false)
	is.NoErr(err)
	_, err = pool.acquire(t.Context(), time.Now().Add(testTimeout), other, false)
	refusal := refusalForError(err)
	is.Equal(refusal.Outcome, outcome.NotRun)
	is.Equal(refusal.Reason, outcome.Overload) // says nothing about the instance
	is.Equal(refusal.Status, http.StatusServiceUnavailable)
	pool.put(c)
	c, err = pool.acquire(t.Context(), time.Now().Add(testTimeout), other, false)
	is.NoErr(err) // the idle connection gave way
	pool.discard(c)
	is.Equal(pool.PeakConnections(), 1)
}
