package forward

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	signedFields = "X-Id: r1\r\nX-Signature: s\r\n"
	// wholeBody follows a head of which the test spoils one line.
	wholeBody = "Content-Length: 9\r\n\r\nhello bye"
)

// nested is a proper response that a client must not find within another one.
var nested = signedResponse("r1", "Content-Length: 6\r\n\r\nnested")

// malformedResponses are no responses of the protocol, whatever net/http makes of them.
var malformedResponses = map[string]string{
	// Status lines.
	"status 000":                       "HTTP/1.1 000 \r\n" + signedFields + wholeBody,
	"status 000, a response within it": "HTTP/1.1 000 \r\n" + contentLength(len(nested)) + "\r\n\r\n" + nested,
	"status 000, then a response":      "HTTP/1.1 000 \r\n\r\n" + nested,
	"status 099":                       "HTTP/1.1 099 Odd\r\n\r\n" + nested,
	"status 600":                       "HTTP/1.1 600 Odd\r\n" + signedFields + wholeBody,
	"status 999":                       "HTTP/1.1 999 Odd\r\n" + signedFields + wholeBody,
	"status with a sign":               "HTTP/1.1 +20 Odd\r\n\r\n" + nested,
	"status of two digits":             "HTTP/1.1 20 Odd\r\n" + signedFields + wholeBody,
	"status of four digits":            "HTTP/1.1 2000 Odd\r\n" + signedFields + wholeBody,
	"two blanks before the status":     "HTTP/1.1  200 OK\r\n" + signedFields + wholeBody,
	"control byte in the reason":       "HTTP/1.1 200 O\x01K\r\n" + signedFields + wholeBody,
	"NUL in the reason":                "HTTP/1.1 200 O\x00K\r\n" + signedFields + wholeBody,
	"version 2.0":                      "HTTP/2.0 200 OK\r\n" + signedFields + wholeBody,
	"version 0.9":                      "HTTP/0.9 200 OK\r\n" + signedFields + wholeBody,
	"no protocol":                      "garbage\r\n\r\n",
	// Names of fields.
	"blank after Content-Length":    "HTTP/1.1 200 OK\r\n" + signedFields + "Content-Length : 9\r\n\r\nhello",
	"tab after Content-Length":      "HTTP/1.1 200 OK\r\n" + signedFields + "Content-Length\t: 9\r\n\r\nhello",
	"blank after Transfer-Encoding": "HTTP/1.1 200 OK\r\n" + signedFields + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"blank before Content-Length":   "HTTP/1.1 200 OK\r\n" + signedFields + " Content-Length: 9\r\n\r\nhello",
	"blank within":                  "HTTP/1.1 200 OK\r\n" + signedFields + "X A: b\r\n" + wholeBody,
	"blank at the end":              "HTTP/1.1 200 OK\r\n" + signedFields + "X-A : b\r\n" + wholeBody,
	"blank at the beginning":        "HTTP/1.1 200 OK\r\n" + signedFields + " X-A: b\r\n" + wholeBody,
	"tab at the beginning":          "HTTP/1.1 200 OK\r\n" + signedFields + "\tX-A: b\r\n" + wholeBody,
	"only a blank":                  "HTTP/1.1 200 OK\r\n" + signedFields + " : b\r\n" + wholeBody,
	"empty":                         "HTTP/1.1 200 OK\r\n" + signedFields + ": b\r\n" + wholeBody,
	"tab within":                    "HTTP/1.1 200 OK\r\n" + signedFields + "X\tA: b\r\n" + wholeBody,
	"NUL":                           "HTTP/1.1 200 OK\r\n" + signedFields + "X\x00A: b\r\n" + wholeBody,
	"control byte":                  "HTTP/1.1 200 OK\r\n" + signedFields + "X\x01A: b\r\n" + wholeBody,
	"DEL":                           "HTTP/1.1 200 OK\r\n" + signedFields + "X\x7fA: b\r\n" + wholeBody,
	"CR":                            "HTTP/1.1 200 OK\r\n" + signedFields + "X\rA: b\r\n" + wholeBody,
	"LF within":                     "HTTP/1.1 200 OK\r\n" + signedFields + "X\nA: b\r\n" + wholeBody,
	"LF at the beginning":           "HTTP/1.1 200 OK\r\n" + signedFields + "\nX-A: b\r\n" + wholeBody,
	"byte over 127":                 "HTTP/1.1 200 OK\r\n" + signedFields + "X\xe9A: b\r\n" + wholeBody,
	"no colon":                      "HTTP/1.1 200 OK\r\n" + signedFields + "X-A\r\n" + wholeBody,
	// Values of fields.
	"NUL in a value":          "HTTP/1.1 200 OK\r\n" + signedFields + "X-A: b\x00\r\n" + wholeBody,
	"CR in a value":           "HTTP/1.1 200 OK\r\n" + signedFields + "X-A: b\rc\r\n" + wholeBody,
	"control byte in a value": "HTTP/1.1 200 OK\r\n" + signedFields + "X-A: b\x01\r\n" + wholeBody,
	"LF in place of CR LF":    "HTTP/1.1 200 OK\r\n" + signedFields + "X-A: b\n" + wholeBody,
	// Framing.
	"two lengths":                "HTTP/1.1 200 OK\r\n" + signedFields + "Content-Length: 5\r\n" + wholeBody,
	"length with a sign":         "HTTP/1.1 200 OK\r\n" + signedFields + "Content-Length: +5\r\n\r\nhello",
	"length and transfer coding": "HTTP/1.1 200 OK\r\n" + signedFields + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"transfer coding in version 1.0": "HTTP/1.0 200 OK\r\n" + signedFields +
		"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"unknown transfer coding":  "HTTP/1.1 200 OK\r\n" + signedFields + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"two transfer codings":     "HTTP/1.1 200 OK\r\n" + signedFields + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"body of no content":       "HTTP/1.1 204 No Content\r\n" + signedFields + "Content-Length: 5\r\n\r\nhello",
	"chunks of no content":     "HTTP/1.1 204 No Content\r\n" + signedFields + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"chunk size with a sign":   chunkedResponse("+5\r\nhello\r\n0\r\n\r\n"),
	"chunk size with a blank":  chunkedResponse(" 5\r\nhello\r\n0\r\n\r\n"),
	"chunk without its end":    chunkedResponse("5\r\nhello0\r\n\r\n"),
	"chunk size ended by a LF": chunkedResponse("5\nhello\r\n0\r\n\r\n"),
	// Trailers.
	"blank at the end of the name of a trailer":  chunkedResponse("5\r\nhello\r\n0\r\nX-Sum : 1\r\n\r\n"),
	"blank within the name of a trailer":         chunkedResponse("5\r\nhello\r\n0\r\nX Sum: 1\r\n\r\n"),
	"control byte in the name of a trailer":      chunkedResponse("5\r\nhello\r\n0\r\nX\x01Sum: 1\r\n\r\n"),
	"control byte in the value of a trailer":     chunkedResponse("5\r\nhello\r\n0\r\nX-Sum: \x01\r\n\r\n"),
	"trailer that continues another":             chunkedResponse("5\r\nhello\r\n0\r\nX-Sum: 1\r\n X-Other: 2\r\n\r\n"),
	"trailer ended by a LF":                      chunkedResponse("5\r\nhello\r\n0\r\nX-Sum: 1\n\r\n"),
	"trailers ended by a LF":                     chunkedResponse("5\r\nhello\r\n0\r\nX-Sum: 1\r\n\n"),
	"trailer without colon":                      chunkedResponse("5\r\nhello\r\n0\r\nX-Sum\r\n\r\n"),
	"trailers longer than the buffer":            chunkedResponse("5\r\nhello\r\n0\r\nX-Sum: " + strings.Repeat("1", 2*connBufferBytes) + "\r\n\r\n"),
	"blank in the name, in a long head":          "HTTP/1.1 200 OK\r\n" + signedFields + "X-A: " + strings.Repeat("a", 2*connBufferBytes) + "\r\nX A: b\r\n" + wholeBody,
	"blank in the name, informational":           "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + nested,
	"body of an informational response":          "HTTP/1.1 103 Early Hints\r\n" + contentLength(len(nested)) + "\r\n\r\n" + nested,
	"blank in the name, response to another":     "HTTP/1.1 200 OK\r\nX-Id: r0\r\nX A: b\r\nContent-Length: 0\r\n\r\n" + nested,
	"blank after the length, of another":         "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length : 5\r\n\r\n" + nested,
	"blank in the name of a trailer, of another": "HTTP/1.1 200 OK\r\nX-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Sum: 1\r\n\r\n" + nested,
}

func chunkedResponse(body string) string {
	return signedResponse("r1", "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"+body)
}

// Guards against passing on as a response, or as a part of one, what is none of the
// protocol: net/http reads another message than the one sent, or a response where there is
// none.
func TestMalformedResponseIsRefused(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(malformedResponses)) {
		for _, ended := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, ended %v", name, ended), func(t *testing.T) {
				t.Parallel()
				checkRefused(t, malformedResponses[name], ended)
			})
		}
	}
}

// checkRefused checks that a response is refused after which the backend server keeps the
// connection open or ends its direction, and that the next request is served.
func checkRefused(t *testing.T, response string, ended bool) {
	var runs, closed atomic.Int32
	serve := func(c net.Conn, r *bufio.Reader) {
		if !readWholeRequest(r) {
			return
		}
		if runs.Add(1) > 1 {
			_, _ = io.WriteString(c, signedResponse("r2", "Content-Length: 2\r\n\r\nok"))
			return
		}
		_, _ = io.WriteString(c, response)
		if ended {
			_ = c.(*net.TCPConn).CloseWrite()
		}
		_, _ = io.Copy(io.Discard, r)
		closed.Add(1)
	}
	atEachProxy(t, serve, func(t *testing.T, g *rig) {
		is := is.New(t)
		runs.Store(0)
		closed.Store(0)
		caller := dialRaw(t, g.callersAddr)
		resp, body, err := caller.exchange(t, signedPost("r1"))
		is.NoErr(err)
		if resp.StatusCode != http.StatusBadGateway || resp.Header.Get("X-Signature") != "" {
			t.Fatalf("status %d, body %q", resp.StatusCode, body)
		}
		waitFor(t, "the connection is closed", func() bool { return closed.Load() == 1 })
		is.Equal(runs.Load(), int32(1))
		g.checkFailedOnce(t, "r1")
		resp, body, err = caller.exchange(t, signedPost("r2"))
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, "ok")
	})
}

// The caller and the log are told what was wrong. To admission the response counts as lost:
// the bytes may be the last ones of a process.
func TestMalformedResponseIsNamed(t *testing.T) {
	serve := func(c net.Conn, r *bufio.Reader) { respondOnce(c, r, "HTTP/1.1 000 \r\n\r\n") }
	atEachProxy(t, serve, func(t *testing.T, g *rig) {
		is := is.New(t)
		resp, _, err := dialRaw(t, g.callersAddr).exchange(t, signedPost("r1"))
		is.NoErr(err)
		is.Equal(resp.Header.Get(ReasonHeader), string(outcome.MalformedAnswer))
		g.checkFailedOnce(t, "r1")
		is.True(strings.Contains(g.core.loggedDetail("r1"), `status: "HTTP/1.1 000 "`))
		is.Equal(g.core.endedAttempts[0].Reason, outcome.MalformedAnswer)
		for _, ended := range g.core.endedRuns { // none if another proxy responds
			is.Equal(ended.Reason, outcome.ConnectionLost)
		}
	})
}

// Proper responses that are near to malformed ones arrive whole.
func TestUnusualResponsesAreForwarded(t *testing.T) {
	long := strings.Repeat("a", 60<<10)
	for name, test := range map[string]struct {
		response, body string
		status         int
		header         [2]string
	}{
		"no reason":                  {"HTTP/1.1 200 \r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{}},
		"no blank after the status":  {"HTTP/1.1 200\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{}},
		"other bytes in the reason":  {"HTTP/1.1 200 \xe9\tOK (1)\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{}},
		"status 599":                 {"HTTP/1.1 599 Odd\r\n" + signedFields + wholeBody, "hello bye", 599, [2]string{}},
		"status 299":                 {"HTTP/1.1 299 Odd\r\n" + signedFields + wholeBody, "hello bye", 299, [2]string{}},
		"HTTP/1.0 with a length":     {"HTTP/1.0 200 OK\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{}},
		"HTTP/1.0 without length":    {"HTTP/1.0 200 OK\r\n" + signedFields + "\r\nhello bye", "hello bye", 200, [2]string{}},
		"no length":                  {"HTTP/1.1 200 OK\r\n" + signedFields + "\r\nhello bye", "hello bye", 200, [2]string{}},
		"all characters of a name":   {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{"!#$%&'*+-.^_`|~09azAZ", "b"}},
		"no blank before a value":    {"HTTP/1.1 200 OK\r\nX-A:b\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{"X-A", "b"}},
		"blanks and tabs in a value": {"HTTP/1.1 200 OK\r\nX-A: \t b\t c \r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{"X-A", "b\t c"}},
		"other bytes in a value":     {"HTTP/1.1 200 OK\r\nX-A: \xe9:b\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{"X-A", "\xe9:b"}},
		"empty value":                {"HTTP/1.1 200 OK\r\nX-A:\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{"X-A", ""}},
		"the same length twice":      {"HTTP/1.1 200 OK\r\n" + signedFields + "Content-Length: 9\r\n" + wholeBody, "hello bye", 200, [2]string{}},
		"head of 60 KB":              {"HTTP/1.1 200 OK\r\nX-A: " + long + "\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{"X-A", long}},
		"no content, length 0":       {"HTTP/1.1 204 No Content\r\n" + signedFields + "Content-Length: 0\r\n\r\n", "", 204, [2]string{}},
		"chunk extension, trailer":   {chunkedResponse("5;a=b\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n"), "hello", 200, [2]string{}},
		"trailer not announced":      {signedResponse("r1", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n"), "hello", 200, [2]string{}},
		"informational before":       {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + "HTTP/1.1 200 OK\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{}},
		"length 0 of informational":  {"HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n" + "HTTP/1.1 200 OK\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{}},
		"in chunks to another":       {"HTTP/1.1 200 OK\r\nX-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX-Sum: 1\r\n\r\n" + "HTTP/1.1 200 OK\r\n" + signedFields + wholeBody, "hello bye", 200, [2]string{}},
	} {
		t.Run(name, func(t *testing.T) {
			serve := func(c net.Conn, r *bufio.Reader) { respondOnce(c, r, test.response) }
			atEachProxy(t, serve, func(t *testing.T, g *rig) {
				is := is.New(t)
				resp, body, err := dialRaw(t, g.callersAddr).exchange(t, signedPost("r1"))
				is.NoErr(err)
				is.Equal(resp.StatusCode, test.status)
				is.Equal(body, test.body)
				is.Equal(resp.Header.Get(test.header[0]), strings.TrimSpace(test.header[1]))
			})
		})
	}
}
