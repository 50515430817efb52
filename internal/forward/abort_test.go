package forward

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// At the end of a shutdown a request that still runs must get a response, since complete
// responses wait behind it on its connection.
func TestAbortedRequestGetsAResponse(t *testing.T) {
	is := is.New(t)
	g := newRig(t, exceptWarmUp(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, "ok")
	}))
	g.warmUp(t)
	answered := len(g.core.endedAttempts)
	c := dialRaw(t, g.callersAddr)
	c.send(t, getRequest("/long")+getRequest("/short"))
	waitFor(t, "both requests run", func() bool { return g.runs.count("/long") == 1 && g.runs.count("/short") == 1 })
	g.server.Drain()
	waitFor(t, "the short one ends", func() bool {
		g.core.mu.Lock()
		defer g.core.mu.Unlock()
		return len(g.core.endedAttempts) == answered+1
	})
	g.server.AbortRequests()
	resp, _, err := c.read("GET")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway) // it may have run
	_, body, err := c.read("GET")
	is.NoErr(err)
	is.Equal(body, "ok")
}
