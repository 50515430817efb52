package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// stage is the point of an exchange at which a process fails.
type stage int

const (
	beforeListen stage = iota
	beforeRead
	inHeader
	inBody
	afterBody
	inResponseHeader
	inResponseBody
	neverResponds
	stageCount
)

// failingServer returns the address of a server that breaks each connection at
// a stage. It counts a run when a request header has been received.
func failingServer(t *testing.T, at stage, runs *runCounter) string {
	address := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		if at == beforeRead {
			return
		}
		if at == inHeader {
			_, _ = r.ReadByte()
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		runs.add(req.URL.Path)
		if req.Header.Get("Expect") != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		if at == inBody {
			_, _ = io.CopyN(io.Discard, req.Body, 10)
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		switch at {
		case inResponseHeader:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
		case inResponseBody:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n"+strings.Repeat("x", 20000))
		case neverResponds:
			_, _ = r.ReadByte()
		}
	})
	if at == beforeListen {
		return closedAddress
	}
	return address
}

// closedAddress refuses connections: its port is below the range from which the
// system assigns ports to listeners.
const closedAddress = "127.0.0.1:1"

func TestFailureAtEachStageIsReportedCorrectly(t *testing.T) {
	for at := range stageCount {
		for _, repeatable := range []bool{false, true} {
			for _, proxyFails := range []bool{false, true} {
				for _, size := range []int{0, 100, largeBody} {
					name := fmt.Sprintf("stage %d, repeatable %v, proxy %v, %d bytes", at, repeatable, proxyFails, size)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						checkFailure(t, at, repeatable, proxyFails, size)
					})
				}
			}
		}
	}
}

// checkFailure sends a request that reaches a failing process first and a
// healthy one next, and compares the outcome reported to the caller with the
// actual runs.
func checkFailure(t *testing.T, at stage, repeatable, proxyFails bool, size int) {
	runs := &runCounter{}
	failing := failingServer(t, at, runs)
	healthy := newRig(t, runs.countRequests(respondOK))
	g := &rig{}
	g.start(t, failing)
	first := g.peerAddr
	if proxyFails {
		first = failing
	}
	g.core.targets = []string{first, healthy.peerAddr}
	g.core.repeatable = repeatable
	if at == neverResponds {
		g.core.budget = 500 * time.Millisecond
	}

	c := dialRaw(t, g.callersAddr)
	go func() {
		_, _ = io.WriteString(c, uploadHeader(size, "")+strings.Repeat("x", size))
	}()
	resp, body, err := c.read("POST")
	n := runs.count("/a")
	switch {
	case err != nil: // the response was truncated visibly
		if at != inResponseBody {
			t.Errorf("the caller got no response: %v", err)
		}
	case resp.Header.Get(OutcomeHeader) == string(outcome.NotRun):
		if n != 0 {
			t.Errorf("reported as not run but ran %d times", n)
		}
	case resp.Header.Get(OutcomeHeader) == string(outcome.Unknown):
		if at == beforeListen {
			t.Error("a request that was not sent was reported with an unknown outcome")
		}
	case body != "ok":
		t.Errorf("a truncated response of %d bytes looked complete", len(body))
	}
	if !repeatable && n > 1 {
		t.Errorf("ran %d times", n)
	}
	if at == beforeListen && (err != nil || body != "ok") {
		t.Error("a request that could not be sent to the first instance was not run by the second")
	}
	g.core.waitForFreeSlots(t)
	healthy.core.waitForFreeSlots(t)
}
