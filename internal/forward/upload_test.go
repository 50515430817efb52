package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
)

const largeBody = 4 << 20

func uploadHead(length int, more string) string {
	return "POST /a HTTP/1.1\r\nHost: a\r\n" + more + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

func TestLargeUploadArrivesWhole(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n, err)
	})
	c := dialRaw(t, g.callers)
	for range 2 { // the connection is kept
		_, body, err := c.exchange(t, uploadHead(largeBody, "")+strings.Repeat("x", largeBody))
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(largeBody, nil))
	}
}

func TestRefusedUploadGoesToAnotherInstance(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	})
	leaving := newRig(t, ok)
	leaving.core.Admit(admission.Leave{})
	g.core.targets = []string{leaving.forward, g.forward}
	_, body, err := dialRaw(t, g.callers).exchange(t, uploadHead(largeBody, "")+strings.Repeat("x", largeBody))
	is.NoErr(err)
	is.Equal(body, strconv.Itoa(largeBody))
	is.Equal(leaving.ledger.of("/a"), 0)
}

func TestUploadWithoutInstanceIsNotRead(t *testing.T) {
	is := is.New(t)
	g := newRig(t, ok)
	g.core.Admit(admission.Leave{})
	resp, _, err := dialRaw(t, g.callers).exchange(t, uploadHead(largeBody, "Expect: 100-continue\r\n"))
	is.NoErr(err) // no 100 Continue came before
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
	is.Equal(resp.Header.Get(ReasonHeader), string(outcome.InstanceLeaving))
}

func TestUploadIsNotSentTwice(t *testing.T) {
	is := is.New(t)
	runs := &ledger{}
	broken := rawServer(t, func(_ net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		runs.add(req.URL.Path)
		_, _ = io.CopyN(io.Discard, req.Body, 1<<20)
	})
	g := &rig{ledger: runs}
	g.start(t, broken)
	g.core.repeatable = true
	g.core.targets = []string{g.forward, g.forward}
	c := dialRaw(t, g.callers)
	go func() { _, _ = io.WriteString(c, uploadHead(largeBody, "")+strings.Repeat("x", largeBody)) }()
	resp, _, err := c.read("POST")
	is.NoErr(err)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.Unknown))
	is.Equal(runs.of("/a"), 1)
}

func TestEarlyAnswerIsDelivered(t *testing.T) {
	for _, more := range []string{"", "Connection: close\r\n"} {
		is := is.New(t)
		g := &rig{}
		g.start(t, rawServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\n"+more+"Content-Length: 3\r\n\r\nbig")
			_, _ = io.Copy(io.Discard, r)
		}))
		c := dialRaw(t, g.callers)
		c.send(t, uploadHead(largeBody, "")+"only the start")
		resp, body, err := c.read("POST")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
		is.Equal(body, "big")
		is.True(resp.Close) // the rest of the body is no request
		g.core.awaitSlots(t)
	}
}

func TestShortUploadIsAbortedTowardsTheBackendServer(t *testing.T) {
	for _, head := range []string{
		uploadHead(largeBody, ""),
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello",
	} {
		ends := make(chan error, 1)
		g := newRig(t, func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			ends <- err
		})
		c := dialRaw(t, g.callers)
		c.send(t, head)
		await(t, "request runs", func() bool { return g.ledger.of("/a") == 1 })
		_ = c.Close()
		select {
		case err := <-ends:
			if err == nil {
				t.Fatal("the backend server took a short body for whole")
			}
		case <-time.After(testTimeout):
			t.Fatal("the backend server still waits for the body")
		}
		g.core.awaitSlots(t)
	}
}

func TestShortSmallBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	g := newRig(t, ok)
	c := dialRaw(t, g.callers)
	c.send(t, uploadHead(100, "")+"hello")
	is.NoErr(c.Conn.(*net.TCPConn).CloseWrite())
	resp, _, err := c.read("POST")
	is.NoErr(err)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
	is.Equal(g.ledger.of("/a"), 0)
}
