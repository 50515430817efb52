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

func uploadHeader(length int, extraHeaders string) string {
	return "POST /a HTTP/1.1\r\nHost: a\r\n" + extraHeaders + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

func TestLargeUploadIsComplete(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n, err)
	})
	c := dialRaw(t, g.callersAddr)
	for range 2 { // the second upload uses the same connection
		_, body, err := c.exchange(t, uploadHeader(largeBody, "")+strings.Repeat("x", largeBody))
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
	leaving := newRig(t, respondOK)
	leaving.core.Admit(admission.Leave{})
	g.core.targets = []string{leaving.peerAddr, g.peerAddr}
	_, body, err := dialRaw(t, g.callersAddr).exchange(t, uploadHeader(largeBody, "")+strings.Repeat("x", largeBody))
	is.NoErr(err)
	is.Equal(body, strconv.Itoa(largeBody))
	is.Equal(leaving.runs.count("/a"), 0)
}

func TestUploadWithoutInstanceIsNotRead(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	g.core.Admit(admission.Leave{})
	resp, _, err := dialRaw(t, g.callersAddr).exchange(t, uploadHeader(largeBody, "Expect: 100-continue\r\n"))
	is.NoErr(err) // no 100 Continue was sent before
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
	is.Equal(resp.Header.Get(ReasonHeader), string(outcome.InstanceLeaving))
}

func TestUploadIsNotResent(t *testing.T) {
	is := is.New(t)
	runs := &runCounter{}
	failing := rawServer(t, func(_ net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		runs.add(req.URL.Path)
		_, _ = io.CopyN(io.Discard, req.Body, 1<<20)
	})
	g := &rig{runs: runs}
	g.start(t, failing)
	g.core.repeatable = true
	g.core.targets = []string{g.peerAddr, g.peerAddr}
	c := dialRaw(t, g.callersAddr)
	go func() { _, _ = io.WriteString(c, uploadHeader(largeBody, "")+strings.Repeat("x", largeBody)) }()
	resp, _, err := c.read("POST")
	is.NoErr(err)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.Unknown))
	is.Equal(runs.count("/a"), 1)
}

func TestEarlyResponseIsDelivered(t *testing.T) {
	for _, connectionHeader := range []string{"", "Connection: close\r\n"} {
		is := is.New(t)
		g := &rig{}
		g.start(t, rawServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\n"+connectionHeader+"Content-Length: 3\r\n\r\nbig")
			_, _ = io.Copy(io.Discard, r)
		}))
		c := dialRaw(t, g.callersAddr)
		c.send(t, uploadHeader(largeBody, "")+"only the start")
		resp, body, err := c.read("POST")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
		is.Equal(body, "big")
		is.True(resp.Close) // the rest of the body must not be taken for a request
		g.core.waitForFreeSlots(t)
	}
}

func TestTruncatedUploadIsAbortedAtBackendServer(t *testing.T) {
	for _, header := range []string{
		uploadHeader(largeBody, ""),
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello",
	} {
		bodyErrs := make(chan error, 1)
		g := newRig(t, func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.Copy(io.Discard, r.Body)
			bodyErrs <- err
		})
		c := dialRaw(t, g.callersAddr)
		c.send(t, header)
		waitFor(t, "request runs", func() bool { return g.runs.count("/a") == 1 })
		_ = c.Close()
		select {
		case err := <-bodyErrs:
			if err == nil {
				t.Fatal("the backend server took a truncated body for a complete one")
			}
		case <-time.After(testTimeout):
			t.Fatal("the backend server still waits for the body")
		}
		g.core.waitForFreeSlots(t)
	}
}

func TestTruncatedSmallBodyIsNotRun(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	c := dialRaw(t, g.callersAddr)
	c.send(t, uploadHeader(100, "")+"hello")
	is.NoErr(c.Conn.(*net.TCPConn).CloseWrite())
	resp, _, err := c.read("POST")
	is.NoErr(err)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.NotRun))
	is.Equal(g.runs.count("/a"), 0)
}
