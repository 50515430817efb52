package forward

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against work for a caller that has left: with maxPipelinedRequests in progress, the
// end of the connection lay behind requests that were not read, so that all of them ran to
// their end, and then those behind them.
func TestLeavingIsSeenBehindManyPipelinedRequests(t *testing.T) {
	for _, requests := range []int{maxPipelinedRequests, maxPipelinedRequests + 4, 40 * maxPipelinedRequests} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			var running, begun atomic.Int32
			s := NewCallerServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				begun.Add(1)
				running.Add(1)
				defer running.Add(-1)
				<-r.Context().Done()
			}), testTimeout, testTimeout)
			c := dialRaw(t, serveCallers(t, s))
			text := ""
			for range requests {
				text += getRequest("/a")
			}
			c.send(t, text)
			waitFor(t, "the first requests run", func() bool { return running.Load() == maxPipelinedRequests })
			left := time.Now()
			_ = c.Close()
			waitFor(t, "no request runs", func() bool { return running.Load() == 0 })
			if took := time.Since(left); took > 500*time.Millisecond {
				t.Errorf("requests run %v after their caller has left", took)
			}
			if n := begun.Load(); n != maxPipelinedRequests {
				t.Errorf("%d requests were begun, want %d", n, maxPipelinedRequests)
			}
		})
	}
}

// A caller that is slow to read, and one that sends further requests, has not left.
func TestManyPipelinedRequestsAreServedWhileTheCallerStays(t *testing.T) {
	const requests = 3 * maxPipelinedRequests
	s := NewCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		time.Sleep(2 * hangUpCheckInterval)
	}), testTimeout, testTimeout)
	c := dialRaw(t, serveCallers(t, s))
	for range requests {
		c.send(t, getRequest("/a"))
	}
	for k := range requests {
		if _, _, err := c.read("GET"); err != nil {
			t.Fatalf("response %d: %v", k, err)
		}
	}
}

// Guards against work for a caller that has left while its request waits for a slot and its
// body is unread, so that no read tells: it was run as soon as a slot was free (review/10).
func TestLeavingIsSeenBehindAnUnreadBody(t *testing.T) {
	long := strings.Repeat("x", 3*maxSmallBodyBytes)
	for name, text := range map[string]string{
		"short, in chunks":             chunkedHeader + "3\r\nabc\r\n0\r\n\r\n",
		"long, sized, stops short":     uploadHeader(len(long), "") + long[:1000],
		"long, in chunks, stops short": chunkedHeader + "400\r\n" + long[:1024] + "\r\n",
		"behind another request":       getRequest("/busy") + chunkedHeader + "3\r\nabc\r\n0\r\n\r\n",
	} {
		for _, local := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/local=%v", name, local), func(t *testing.T) {
				release := make(chan struct{})
				releaseAll := sync.OnceFunc(func() { close(release) })
				g := newRig(t, func(_ http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/busy" {
						select {
						case <-release:
						case <-r.Context().Done():
						}
					}
				})
				defer releaseAll()
				if local {
					g.core.targets = []string{""}
				}
				inFlight := func() (running, waiting int) {
					g.core.mu.Lock()
					defer g.core.mu.Unlock()
					return g.core.admission.InFlight()
				}
				for range 4 { // all slots are taken
					dialRaw(t, g.callersAddr).send(t, getRequest("/busy"))
				}
				var before int
				waitFor(t, "the slots are taken", func() bool {
					running, waiting := inFlight()
					before = waiting
					return waiting > 0 && running+waiting == 4
				})
				c := dialRaw(t, g.callersAddr)
				c.send(t, text)
				added := strings.Count(text, " HTTP/1.1")
				waitFor(t, "the request waits", func() bool { _, waiting := inFlight(); return waiting == before+added })
				left := time.Now()
				_ = c.Close()
				waitFor(t, "the request no longer waits", func() bool { _, waiting := inFlight(); return waiting == before })
				if took := time.Since(left); took > 500*time.Millisecond {
					t.Errorf("the request waits %v after its caller has left", took)
				}
				releaseAll()
				g.core.waitForFreeSlots(t)
				if n := g.runs.count("/late") + g.runs.count("/a"); n != 0 {
					t.Errorf("%d requests were run", n)
				}
			})
		}
	}
}

// A caller whose body pauses while its request waits has not left.
func TestRequestIsServedWhoseBodyPauses(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	c := dialRaw(t, g.callersAddr)
	c.send(t, chunkedHeader+"3\r\nabc\r\n")
	time.Sleep(3 * hangUpCheckInterval)
	_, body, err := c.exchange(t, "0\r\n\r\n")
	is.NoErr(err)
	is.Equal(body, "ok")
}
