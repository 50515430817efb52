package forward

import (
	"bytes"
	"strconv"
)

// maxScannedHeaderBytes limits the header bytes that are kept for inspection.
const maxScannedHeaderBytes = 72 << 10

// maxIdleHeaderBytes limits the memory that is kept between headers.
const maxIdleHeaderBytes = 4 << 10

// scanState tells what follows next in the byte stream of a connection.
type scanState int

const (
	scanHeader scanState = iota
	scanBody
	// scanDisabled means that the start of the next header is not known.
	scanDisabled
)

// headerScanner inspects the byte stream of a caller's connection for malformed
// request headers that net/http accepts but that other implementations may
// interpret differently. It skips bodies by their Content-Length and stops at the
// first chunked body.
type headerScanner struct {
	state  scanState
	header []byte
	// bodyLeft is the number of bytes left of the current body.
	bodyLeft int64
}

// scan processes the next bytes and reports whether they complete a malformed
// header.
func (s *headerScanner) scan(b []byte) (malformed bool) {
	for len(b) > 0 && s.state != scanDisabled {
		if s.state == scanBody {
			n := min(int64(len(b)), s.bodyLeft)
			b = b[n:]
			s.bodyLeft -= n
			if s.bodyLeft == 0 {
				s.state = scanHeader
			}
			continue
		}
		rest, done := s.collectHeader(b)
		if !done {
			return malformed
		}
		malformed = !s.finishHeader() || malformed
		b = rest
	}
	return malformed
}

// collectHeader appends bytes to the header. If done is set, the header is
// complete and rest follows it.
func (s *headerScanner) collectHeader(b []byte) (rest []byte, done bool) {
	before := len(s.header)
	s.header = append(s.header, b...)
	end := headerEnd(s.header, max(0, before-3))
	if end < 0 {
		if len(s.header) > maxScannedHeaderBytes {
			s.state, s.header = scanDisabled, nil
		}
		return nil, false
	}
	s.header = s.header[:end]
	return b[end-before:], true
}

// headerEnd returns the length of the header in b if it ends at or after from,
// else -1.
func headerEnd(b []byte, from int) int {
	for {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return -1
		}
		from += i + 1
		switch {
		case bytes.HasPrefix(b[from:], []byte("\n")):
			return from + 1
		case bytes.HasPrefix(b[from:], []byte("\r\n")):
			return from + 2
		}
	}
}

// finishHeader reports whether the header is well formed and determines what
// follows it.
func (s *headerScanner) finishHeader() bool {
	f, ok := parseFraming(s.header)
	if s.header = s.header[:0]; cap(s.header) > maxIdleHeaderBytes {
		s.header = nil
	}
	switch {
	case !ok || f.chunked:
		s.state, s.header = scanDisabled, nil
	case f.length > 0:
		s.state, s.bodyLeft = scanBody, f.length
	}
	return ok
}

// framing is the information in a header about the body.
type framing struct {
	contentLengths, transferEncodings int
	length                            int64
	chunked                           bool
}

// parseFraming reports false if the header is ambiguous.
func parseFraming(header []byte) (f framing, ok bool) {
	first, rest, ok := cutLine(header)
	for ok && len(rest) > 0 {
		var line []byte
		line, rest, ok = cutLine(rest)
		ok = ok && f.addLine(line)
	}
	if f.transferEncodings > 0 && (f.contentLengths > 0 || f.transferEncodings > 1 || bytes.HasSuffix(first, []byte("HTTP/1.0"))) {
		return f, false
	}
	return f, ok && f.contentLengths <= 1
}

// cutLine splits off the first line. It reports false if the line does not end
// in CR LF or contains another CR.
func cutLine(b []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' || bytes.IndexByte(b[:i-1], '\r') >= 0 {
		return nil, nil, false
	}
	return b[:i-1], b[i+1:], true
}

// addLine processes a header line. It reports false if the line is a
// continuation of the previous one or its Content-Length is invalid.
func (f *framing) addLine(line []byte) bool {
	if len(line) == 0 {
		return true
	}
	if line[0] == ' ' || line[0] == '\t' {
		return false
	}
	switch name, value, _ := bytes.Cut(line, []byte(":")); {
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		f.contentLengths++
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		f.length = int64(n)
		return err == nil
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.transferEncodings++
		f.chunked = true
	}
	return true
}
