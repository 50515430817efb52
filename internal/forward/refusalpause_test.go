package forward

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRefusalsInARowPauseRequestsSentAhead(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var p refusalPause
	for range toleratedRefusals - 1 {
		p.observe(now, true)
		is.True(!p.active(now))
	}
	p.observe(now, true)
	is.True(p.active(now))
	is.True(!p.active(now.Add(minRefusalPause)))
	for range 100 {
		p.observe(now, true)
	}
	is.True(p.active(now.Add(maxRefusalPause - time.Millisecond)))
	is.True(!p.active(now.Add(maxRefusalPause)))
	p.observe(now, false)
	is.True(!p.active(now))
}

// Requests that a caller sends ahead while they are refused come to the state machine at the
// pace of the pauses, and all are answered. A caller that sends one after the other does not
// wait.
func TestRefusedRequestsSentAheadArePaced(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	g.core.targets = nil // no instance takes work
	const ahead = toleratedRefusals + 4
	c := dialRaw(t, g.callersAddr)
	for range 2 * ahead {
		resp, _, err := c.exchange(t, simpleGet)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
	}
	c = dialRaw(t, g.callersAddr)
	paced := time.Now()
	c.send(t, strings.Repeat(simpleGet, maxPipelinedRequests+ahead))
	for range maxPipelinedRequests + ahead {
		resp, _, err := c.read(simpleGet)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
	}
	is.True(time.Since(paced) >= minRefusalPause)
}
