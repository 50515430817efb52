package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// At the end of a shutdown a request that still runs must get a response, since complete
// responses wait behind it on its connection. These must not be aborted, whatever their
// length.
func TestAbortedRequestGetsAResponse(t *testing.T) {
	for _, length := range []int{2, 40 << 10, 200 << 10} {
		t.Run(strconv.Itoa(length), func(t *testing.T) { testAbortedRequest(t, strings.Repeat("x", length)) })
	}
}

func testAbortedRequest(t *testing.T, short string) {
	is := is.New(t)
	g := newRig(t, exceptWarmUp(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, short)
	}))
	g.warmUp(t)
	c := dialRaw(t, g.callersAddr)
	c.send(t, getRequest("/long")+getRequest("/short"))
	waitFor(t, "both requests run", func() bool { return g.runs.count("/long") == 1 && g.runs.count("/short") == 1 })
	g.server.Drain()
	waitFor(t, "the short one is answered", func() bool {
		for _, conn := range g.server.connections() {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			for x := range conn.inProgress {
				if x.relaying.Load() {
					return true
				}
			}
		}
		return false
	})
	g.server.AbortRequests()
	resp, _, err := c.read("GET")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway) // it may have run
	_, body, err := c.read("GET")
	is.NoErr(err)
	is.Equal(body, short)
}
