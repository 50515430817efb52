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

// warmUp sends requests until admission uses all slots of the backend server.
func (g *rig) warmUp(t *testing.T) {
	t.Helper()
	c := dialRaw(t, g.callersAddr)
	for range 4 {
		if _, _, err := c.exchange(t, getRequest("/warm")); err != nil {
			t.Fatal(err)
		}
	}
	_ = c.Close()
}

// exceptWarmUp runs the handler for all paths except the one of warmUp.
func exceptWarmUp(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			respondOK(w, r)
			return
		}
		handler(w, r)
	}
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// Callers send requests before the first one is answered. A slow request must
// not delay the processing of those pipelined after it.
func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	var once sync.Once
	g := newRig(t, exceptWarmUp(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second
		} else {
			once.Do(func() { close(second) })
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	g.warmUp(t)
	g.core.repeatable = true
	c := dialRaw(t, g.callersAddr)
	c.send(t, getRequest("/1")+getRequest("/2")+getRequest("/3"))
	for _, path := range []string{"/1", "/2", "/3"} {
		_, body, err := c.read("GET")
		is.NoErr(err)
		is.Equal(body, path)
	}
}

func TestCallerDisconnectCancelsPipelinedRequests(t *testing.T) {
	is := is.New(t)
	var ended sync.WaitGroup
	ended.Add(2)
	g := newRig(t, exceptWarmUp(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		ended.Done()
	}))
	g.warmUp(t)
	c := dialRaw(t, g.callersAddr)
	c.send(t, getRequest("/1")+getRequest("/2"))
	waitFor(t, "requests run", func() bool { return g.runs.count("/1")+g.runs.count("/2") == 2 })
	is.NoErr(c.Close())
	ended.Wait()
	g.core.waitForFreeSlots(t)
}

// A caller may also disconnect after it announced the close of its connection.
func TestCallerDisconnectCancelsLastRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	g := newRig(t, exceptWarmUp(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	}))
	g.warmUp(t)
	c := dialRaw(t, g.callersAddr)
	c.send(t, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	waitFor(t, "request runs", func() bool { return g.runs.count("/1") == 1 })
	is.NoErr(c.Close())
	<-ended
	g.core.waitForFreeSlots(t)
}

// Requests read before a drain are answered, and the connection closes after
// the last response.
func TestDrainAnswersAllPipelinedRequests(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	g := newRig(t, exceptWarmUp(func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	g.warmUp(t)
	g.core.repeatable = true
	c := dialRaw(t, g.callersAddr)
	c.send(t, getRequest("/1")+getRequest("/2"))
	waitFor(t, "requests run", func() bool { return g.runs.count("/1")+g.runs.count("/2") == 2 })
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

func TestBytesAfterLastRequestDoNotResetResponse(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	c := dialRaw(t, g.callersAddr)
	c.send(t, "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"+strings.Repeat(getRequest("/2"), 100))
	_, body, err := c.read("GET")
	is.NoErr(err)
	is.Equal(body, "ok")
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(g.runs.count("/2"), 0)
}

// A caller may pipeline continuously while the proxy shuts down. Its connection
// must close nevertheless, and requests sent after the drain stay unread.
func TestDrainReadsNoFurtherRequestFromBusyConnection(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	g := newRig(t, exceptWarmUp(func(w http.ResponseWriter, r *http.Request) {
		<-proceed
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	g.warmUp(t)
	g.core.repeatable = true
	c := dialRaw(t, g.callersAddr)
	c.send(t, getRequest("/1"))
	waitFor(t, "request runs", func() bool { return g.runs.count("/1") == 1 })
	g.server.Drain()
	c.send(t, getRequest("/2"))
	time.Sleep(50 * time.Millisecond)
	is.Equal(g.runs.count("/2"), 0)
	close(proceed)
	resp, body, err := c.read("GET")
	is.NoErr(err)
	is.Equal(body, "/1")
	is.True(resp.Close)
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(g.runs.count("/2"), 0)
}

// A response whose header is already written cannot announce the close of the
// connection. Its caller may send another request, which must be answered.
func TestDrainDuringResponseServesOneMoreRequest(t *testing.T) {
	is := is.New(t)
	proceed := make(chan struct{})
	g := newRig(t, exceptWarmUp(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
		_ = http.NewResponseController(w).Flush()
		<-proceed
	}))
	g.warmUp(t)
	c := dialRaw(t, g.callersAddr)
	c.send(t, getRequest("/1"))
	resp, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	is.True(!resp.Close)
	g.server.Drain()
	close(proceed)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "/1")
	resp, text, err := c.exchange(t, getRequest("/2"))
	is.NoErr(err)
	is.Equal(text, "/2")
	is.True(resp.Close)
}

// A caller may pipeline a request with a short deadline after a slow one. The
// deadline of the second response must not interrupt the first, and it is
// extended by the time for which the second waits for the first.
func TestPipelinedDeadlineDoesNotAffectEarlierResponse(t *testing.T) {
	const deadline, slow = 200 * time.Millisecond, 500 * time.Millisecond
	long := strings.Repeat("x", smallResponseBytes+1)
	for _, first := range []string{"short", long} {
		is := is.New(t)
		g := newRig(t, exceptWarmUp(func(w http.ResponseWriter, r *http.Request) {
			text := long
			if r.URL.Path == "/1" {
				time.Sleep(slow)
				text = first
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			_, _ = io.WriteString(w, text)
		}))
		g.warmUp(t)
		g.core.repeatable = true
		c := dialRaw(t, g.callersAddr)
		c.send(t, getRequest("/1")+"GET /2 HTTP/1.1\r\nHost: a\r\nHeatherlift-Deadline-Ms: "+strconv.FormatInt(deadline.Milliseconds(), 10)+"\r\n\r\n")
		for _, want := range []string{first, long} {
			resp, body, err := c.read("GET")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(len(body), len(want))
		}
	}
}
