package response

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const getMethod = http.MethodGet

// testCase is the beginning of a stream of responses. Those that are not malformed are
// followed by another response.
type testCase struct {
	name, text string
	// status and body are those of the first response, if it is not malformed.
	status int
	body   string
}

const following = "HTTP/1.1 202 Accepted\r\nContent-Length: 4\r\n\r\nnext"

var wellFormed = []testCase{
	{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;a=b\r\nllo\r\n0\r\n\r\n", 200, "hello"},
	{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0005\r\nhello\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n", 200, "hello"},
	{"hexadecimal chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nA\r\nhello byes\r\n0\r\n\r\n", 200, "hello byes"},
	{"no content", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
	{"not modified, with a length", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, ""},
	{"long head", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 30<<10) + "\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
	{"many fields", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 4<<10) + "Content-Length: 5\r\n\r\nhello", 200, "hello"},
}

var malformedHeads = []testCase{
	{name: "status 000", text: "HTTP/1.1 000 \r\n"},
	{name: "status out of range", text: "HTTP/1.1 600 Odd\r\n"},
	{name: "no protocol", text: "garbage"},
	{name: "another version", text: "HTTP/2.0 200 OK\r\n"},
	{name: "blank in a name", text: "HTTP/1.1 200 OK\r\nX A: b\r\n"},
	{name: "blank after a name", text: "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n"},
	{name: "continued line", text: "HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 5\r\n"},
	{name: "control byte in a name", text: "HTTP/1.1 200 OK\r\nX\x01A: b\r\n"},
	{name: "control byte in a value", text: "HTTP/1.1 200 OK\r\nX-A: \x01\r\n"},
	{name: "LF in place of CR LF", text: "HTTP/1.1 200 OK\n"},
	{name: "only an empty line", text: "\r\nHTTP/1.1 200 OK\r\n"},
	{name: "length and transfer coding", text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"},
}

// A response is the same in whatever pieces it arrives, and the next one begins behind it.
func TestWellFormedResponsesAreRead(t *testing.T) {
	for _, test := range wellFormed {
		for piece, reader := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader,
		} {
			t.Run(test.name+"/"+piece, func(t *testing.T) {
				is := is.New(t)
				src := reader(strings.NewReader(test.text + following))
				r := bufio.NewReader(src)
				resp, err := Read(r, &http.Request{Method: getMethod})
				if errors.Is(err, ErrHeadTooLong) {
					r = Enlarge(r, src, 64<<10)
					resp, err = Read(r, &http.Request{Method: getMethod})
				}
				is.NoErr(err)
				is.Equal(resp.StatusCode, test.status)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), test.body)
				if test.name == "trailers" {
					is.Equal(resp.Trailer, http.Header{"X-A": {"b"}, "X-B": {""}})
				}
				next, err := Read(r, &http.Request{Method: getMethod})
				is.NoErr(err)
				is.Equal(next.StatusCode, http.StatusAccepted)
			})
		}
	}
}

// A malformed line is reported when it has arrived, not when the head has: its sender may
// never end it.
func TestMalformedHeadIsReportedAtOnce(t *testing.T) {
	for _, test := range malformedHeads {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			silent := errors.New("the sender is silent")
			src := io.MultiReader(strings.NewReader(test.text), iotest.ErrReader(silent))
			_, err := Read(bufio.NewReader(src), &http.Request{Method: getMethod})
			is.True(errors.Is(err, ErrMalformed))
		})
	}
}
