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

// stage is a place in an exchange at which a process dies.
type stage int

const (
	beforeListen stage = iota
	beforeRead
	inHeader
	inBody
	afterBody
	inAnswerHeader
	inAnswerBody
	neverAnswers
	stages
)

// dyingAt returns a server that breaks each connection at a stage. It counts a
// run as soon as a request's header has arrived.
func dyingAt(t *testing.T, at stage, runs *ledger) string {
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
		case inAnswerHeader:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
		case inAnswerBody:
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n"+strings.Repeat("x", 20000))
		case neverAnswers:
			_, _ = r.ReadByte()
		}
	})
	if at == beforeListen {
		return closedAddress
	}
	return address
}

// closedAddress is below the ports that the system gives to listeners.
const closedAddress = "127.0.0.1:1"

func TestDeathAtEachStageIsReportedTruly(t *testing.T) {
	for at := range stages {
		for _, repeatable := range []bool{false, true} {
			for _, proxyDies := range []bool{false, true} {
				for _, size := range []int{0, 100, largeBody} {
					name := fmt.Sprintf("stage %d, repeatable %v, proxy %v, %d bytes", at, repeatable, proxyDies, size)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						checkDeath(t, at, repeatable, proxyDies, size)
					})
				}
			}
		}
	}
}

// checkDeath sends a request that reaches a dying process first and a good one
// next, and compares what the caller is told with what was run.
func checkDeath(t *testing.T, at stage, repeatable, proxyDies bool, size int) {
	runs := &ledger{}
	dying := dyingAt(t, at, runs)
	good := newRig(t, runs.count(ok))
	g := &rig{}
	g.start(t, dying)
	first := g.forward
	if proxyDies {
		first = dying
	}
	g.core.targets = []string{first, good.forward}
	g.core.repeatable = repeatable
	if at == neverAnswers {
		g.core.budget = 500 * time.Millisecond
	}

	c := dialRaw(t, g.callers)
	go func() {
		_, _ = io.WriteString(c, uploadHead(size, "")+strings.Repeat("x", size))
	}()
	resp, body, err := c.read("POST")
	n := runs.of("/a")
	switch {
	case err != nil: // visibly cut
		if at != inAnswerBody {
			t.Errorf("the caller saw no answer: %v", err)
		}
	case resp.Header.Get(OutcomeHeader) == string(outcome.NotRun):
		if n != 0 {
			t.Errorf("reported as not run and ran %d times", n)
		}
	case resp.Header.Get(OutcomeHeader) == string(outcome.Unknown):
		if at == beforeListen {
			t.Error("proof that the request was not run was lost")
		}
	case body != "ok":
		t.Errorf("partial answer of %d bytes ended cleanly", len(body))
	}
	if !repeatable && n > 1 {
		t.Errorf("ran %d times", n)
	}
	if at == beforeListen && (err != nil || body != "ok") {
		t.Error("a request that was not sent did not go to another instance")
	}
	g.core.awaitSlots(t)
	good.core.awaitSlots(t)
}
