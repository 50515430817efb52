package response

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// maxQuotedBytes limits the part of a malformed line that an error quotes.
const maxQuotedBytes = 40

// head is what the lines of a head say about what follows it.
type head struct {
	// lines is the number of lines that were added.
	lines  int
	status int
	// minor is the minor version of HTTP/1.
	minor byte
	// hasLength is set if there is a Content-Length, of which length is the last one.
	// chunked is set if there is a Transfer-Encoding.
	hasLength, chunked bool
	length             uint64
}

// scanHead checks the lines of a head as they arrive. It leaves the head in the buffer of r
// and returns its size and what it says.
func scanHead(r *bufio.Reader) (size int, h head, err error) {
	if start, err := r.Peek(len(statusPrefix)); err == nil && string(start) != statusPrefix {
		start, _ = r.Peek(min(r.Buffered(), maxQuotedBytes))
		return 0, h, malformed("status line", start) // whether or not its end ever arrives
	}
	size, err = scanLines(r, h.addLine)
	if err == nil {
		err = h.checkFraming()
	}
	return size, h, err
}

// scanTrailers checks the lines of trailers as they arrive. It leaves them in the buffer of
// r, with the empty line that ends them, and returns their size.
func scanTrailers(r *bufio.Reader) (int, error) {
	size, err := scanLines(r, func(line []byte) error {
		_, _, err := parseField(line)
		return err
	})
	if errors.Is(err, ErrHeadTooLong) {
		err = errors.Wrap(ErrMalformed, "trailers too long")
	}
	return size, err
}

// scanLines calls add for each line as it arrives, without its end, until an empty line. It
// leaves the lines in the buffer of r and returns their size. A line that is malformed is
// reported before the following ones have arrived.
func scanLines(r *bufio.Reader, add func(line []byte) error) (size int, err error) {
	for {
		buffered, _ := r.Peek(r.Buffered())
		for {
			length := bytes.IndexByte(buffered[size:], '\n')
			if length < 0 {
				break
			}
			line := buffered[size : size+length]
			size += length + 1
			if length == 0 || line[length-1] != '\r' {
				return size, malformed("line does not end with CR LF", line)
			}
			if line = line[:length-1]; len(line) == 0 {
				return size, nil
			}
			if err := add(line); err != nil {
				return size, err
			}
		}
		if err := awaitMore(r, len(buffered)); err != nil {
			return size, err
		}
	}
}

// awaitMore waits until more than the given number of bytes are in the buffer of r. It fails
// with ErrHeadTooLong if they have no room.
func awaitMore(r *bufio.Reader, buffered int) error {
	switch _, err := r.Peek(buffered + 1); {
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrHeadTooLong
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}

// addLine checks the next line of a head.
func (h *head) addLine(line []byte) error {
	if h.lines++; h.lines == 1 {
		return h.setStatus(line)
	}
	name, value, err := parseField(line)
	if err != nil {
		return err
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength = true
		if h.length, err = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63); err != nil {
			return malformed("length", line)
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.chunked = true
	}
	return nil
}

// Parts of a status line, HTTP/1.1 200 OK, of which the reason may be missing with the space
// before it.
const (
	statusPrefix = "HTTP/1."
	statusStart  = len("HTTP/1.1 ")
	statusEnd    = len("HTTP/1.1 200")
)

// setStatus checks the status line. The status codes are those from 100 to 599 (RFC 9110,
// section 15).
func (h *head) setStatus(line []byte) error {
	if len(line) < statusEnd || !bytes.HasPrefix(line, []byte(statusPrefix)) {
		return malformed("status line", line)
	}
	h.minor = line[len(statusPrefix)] - '0'
	reason := line[statusEnd:]
	if h.minor > 9 || line[statusStart-1] != ' ' || len(reason) > 0 && reason[0] != ' ' || !validValue(reason) {
		return malformed("status line", line)
	}
	for _, c := range line[statusStart:statusEnd] {
		if c < '0' || c > '9' {
			return malformed("status", line)
		}
		h.status = 10*h.status + int(c-'0')
	}
	if h.status < 100 || h.status > 599 {
		return malformed("status", line)
	}
	return nil
}

// checkFraming checks whether the fields agree on where the message ends (RFC 9112, section
// 6). What else could contradict, such as lengths that differ, is an error of net/http.
func (h *head) checkFraming() error {
	switch {
	case h.lines == 0:
		return errors.Wrap(ErrMalformed, "no status line")
	case h.chunked && h.hasLength:
		return errors.Wrap(ErrMalformed, "both a length and a transfer coding")
	case h.chunked && h.minor == 0:
		return errors.Wrap(ErrMalformed, "transfer coding in HTTP/1.0")
	case h.withoutBody() && h.status != http.StatusNotModified && (h.chunked || h.length > 0):
		return errors.Wrapf(ErrMalformed, "body announced with status %d", h.status)
	}
	return nil
}

// withoutBody reports whether the response ends with its head whatever its fields say.
func (h *head) withoutBody() bool {
	return h.status < http.StatusOK || h.status == http.StatusNoContent || h.status == http.StatusNotModified
}

// parseField returns the name and the value of a field line. A line that continues the
// preceding one has no name.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
		return nil, nil, malformed("field without colon", line)
	case !validName(name):
		return nil, nil, malformed("name of a field", line)
	case !validValue(value):
		return nil, nil, malformed("value of a field", line)
	}
	return name, value, nil
}

// validName reports whether the name of a field is a token (RFC 9110, section 5.6.2).
func validName(name []byte) bool {
	for _, c := range name {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(name) > 0
}

// validValue reports whether a value has no control characters but tabs (RFC 9110, section
// 5.5).
func validValue(value []byte) bool {
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// malformed returns an ErrMalformed that quotes the beginning of a line.
func malformed(what string, line []byte) error {
	return errors.Wrapf(ErrMalformed, "%s: %q", what, line[:min(len(line), maxQuotedBytes)])
}
