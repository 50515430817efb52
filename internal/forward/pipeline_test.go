package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// warm makes admission trust the backend server with all its slots.
func (g *rig) warm(t *testing.T) {
	t.Helper()
	c := dialRaw(t, g.callers)
	for range 4 {
		if _, _, err := c.exchange(t, get("/warm")); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.Close()
}

// afterWarming runs the handler for all paths but that of warm.
func afterWarming(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			ok(w, r)
			return
		}
		handler(w, r)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Replays callers that send requests before the first is answered: a slow
// request must not hold back the work on those behind it.
func TestPipelinedRequestsRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	var once sync.Once
	g := newRig(t, afterWarming(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second
		} else {
			once.Do(func() { close(second) })
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	g.warm(t)
	g.core.repeatable = true
	c := dialRaw(t, g.callers)
	c.send(t, get("/1")+get("/2")+get("/3"))
	for _, path := range []string{"/1", "/2", "/3"} {
		_, body, err := c.read("GET")
		is.NoErr(err)
		is.Equal(body, path)
	}
}

func TestCallerThatLeavesCancelsPipelinedRequests(t *testing.T) {
	is := is.New(t)
	var ended sync.WaitGroup
	ended.Add(2)
	g := newRig(t, afterWarming(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended.Done()
	}))
	g.warm(t)
	c := dialRaw(t, g.callers)
	c.send(t, get("/1")+get("/2"))
	await(t, "requests run", func() bool { return g.ledger.of("/1")+g.ledger.of("/2") == 2 })
	is.NoErr(c.Close())
	ended.Wait()
	g.core.awaitSlots(t)
}

// A caller that announces the end of its connection may leave as well.
func TestCallerThatLeavesCancelsItsLastRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	g := newRig(t, afterWarming(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	}))
	g.warm(t)
	c := dialRaw(t, g.callers)
	c.send(t, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	await(t, "request runs", func() bool { return g.ledger.of("/1") == 1 })
	is.NoErr(c.Close())
	<-ended
	g.core.awaitSlots(t)
}

// Requests that were read before a drain are answered; the last answer ends
// the connection.
func TestDrainAnswersAllPipelinedRequests(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	g := newRig(t, afterWarming(func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	g.warm(t)
	g.core.repeatable = true
	c := dialRaw(t, g.callers)
	c.send(t, get("/1")+get("/2"))
	await(t, "requests run", func() bool { return g.ledger.of("/1")+g.ledger.of("/2") == 2 })
	g.server.Drain()
	close(proceed)
	first, _, err := c.read("GET")
	is.NoErr(err)
	second, body, err := c.read("GET")
	is.NoErr(err)
	is.Equal(body, "/2")
	is.True(!first.Close)
	is.True(second.Close)
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.NoErr(g.server.Shutdown(context.Background()))
}

func TestBytesBehindTheLastRequestDoNotResetItsAnswer(t *testing.T) {
	is := is.New(t)
	g := newRig(t, ok)
	c := dialRaw(t, g.callers)
	c.send(t, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"+strings.Repeat(get("/2"), 100))
	_, body, err := c.read("GET")
	is.NoErr(err)
	is.Equal(body, "ok")
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(g.ledger.of("/2"), 0)
}

// Replays a caller that pipelines without a pause while the proxy stops: its
// connection must come to an end, and what it sends behind stays unread.
func TestDrainTakesNothingMoreOfABusyConnection(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	g := newRig(t, afterWarming(func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	g.warm(t)
	g.core.repeatable = true
	c := dialRaw(t, g.callers)
	c.send(t, get("/1"))
	await(t, "request runs", func() bool { return g.ledger.of("/1") == 1 })
	g.server.Drain()
	c.send(t, get("/2"))
	time.Sleep(50 * time.Millisecond)
	is.Equal(g.ledger.of("/2"), 0)
	close(proceed)
	resp, body, err := c.read("GET")
	is.NoErr(err)
	is.Equal(body, "/1")
	is.True(resp.Close)
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(g.ledger.of("/2"), 0)
}

// An answer that has begun can no longer say that it is the last one: its
// caller may send another request, which must be answered.
func TestDrainDuringAnAnswerServesOneMoreRequest(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	g := newRig(t, afterWarming(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
		_ = http.NewResponseController(w).Flush()
		<-proceed
	}))
	g.warm(t)
	c := dialRaw(t, g.callers)
	c.send(t, get("/1"))
	resp, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.True(!resp.Close)
	g.server.Drain()
	close(proceed)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "/1")
	resp, text, err := c.exchange(t, get("/2"))
	is.NoErr(err)
	is.Equal(text, "/2")
	is.True(resp.Close)
}

// Replays a caller that pipelines a request with a short deadline behind a slow
// one: the deadline of the second answer must not cut the first, nor does the
// time count in which the second waits for its turn.
func TestDeadlineOfALaterAnswerCutsNoneBefore(t *testing.T) {
	const deadline, slow = 200 * time.Millisecond, 500 * time.Millisecond
	long := strings.Repeat("x", smallAnswer+1)
	for _, first := range []string{"short", long} {
		is := is.New(t)
		g := newRig(t, afterWarming(func(w http.ResponseWriter, r *http.Request) {
			text := long
			if r.URL.Path == "/1" {
				time.Sleep(slow)
				text = first
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			_, _ = io.WriteString(w, text)
		}))
		g.warm(t)
		g.core.repeatable = true
		c := dialRaw(t, g.callers)
		c.send(t, get("/1")+"GET /2 HTTP/1.1\r\nHost: a\r\nHeatherlift-Deadline-Ms: "+strconv.FormatInt(deadline.Milliseconds(), 10)+"\r\n\r\n")
		for _, want := range []string{first, long} {
			resp, body, err := c.read("GET")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(len(body), len(want))
		}
	}
}
