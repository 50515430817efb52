package forward

import (
	"bytes"
	"strconv"
)

// maxGuardedHead bounds the bytes of a head that are held.
const maxGuardedHead = 72 << 10

// guardState is the part of a connection's byte stream that comes next.
type guardState int

const (
	guardHead guardState = iota
	guardBody
	// guardOff means that the place of the next head is not known.
	guardOff
)

// guard watches the bytes of a caller's connection for heads that programs
// read in different ways and that net/http reads in one of them. It follows
// bodies by their length and stops at the first chunked one.
type guard struct {
	state guardState
	head  []byte
	// body is the number of bytes left of the current body.
	body int64
}

// scan takes the next bytes and reports whether a malformed head ended in
// them.
func (g *guard) scan(b []byte) (malformed bool) {
	for len(b) > 0 && g.state != guardOff {
		if g.state == guardBody {
			n := min(int64(len(b)), g.body)
			b = b[n:]
			g.body -= n
			if g.body == 0 {
				g.state = guardHead
			}
			continue
		}
		rest, done := g.collect(b)
		if !done {
			return malformed
		}
		malformed = !g.finishHead() || malformed
		b = rest
	}
	return malformed
}

// collect adds bytes to the head; done tells that the head is complete and
// rest follows it.
func (g *guard) collect(b []byte) (rest []byte, done bool) {
	before := len(g.head)
	g.head = append(g.head, b...)
	end := headEnd(g.head, max(0, before-3))
	if end < 0 {
		if len(g.head) > maxGuardedHead {
			g.state, g.head = guardOff, nil
		}
		return nil, false
	}
	g.head = g.head[:end]
	return b[end-before:], true
}

// headEnd returns the length of a head whose end is not before from, or -1.
func headEnd(b []byte, from int) int {
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

// finishHead judges the head and finds out what follows it.
func (g *guard) finishHead() bool {
	f, ok := parseHead(g.head)
	g.head = g.head[:0]
	switch {
	case !ok || f.chunked:
		g.state, g.head = guardOff, nil
	case f.length > 0:
		g.state, g.body = guardBody, f.length
	}
	return ok
}

// framing is what a head says about the body.
type framing struct {
	lengths, encodings int
	length             int64
	chunked            bool
}

// parseHead reports false if the head is ambiguous.
func parseHead(head []byte) (f framing, ok bool) {
	first, rest, ok := cutLine(head)
	for ok && len(rest) > 0 {
		var line []byte
		line, rest, ok = cutLine(rest)
		ok = ok && f.add(line)
	}
	if f.encodings > 0 && (f.lengths > 0 || f.encodings > 1 || bytes.HasSuffix(first, []byte("HTTP/1.0"))) {
		return f, false
	}
	return f, ok && f.lengths <= 1
}

// cutLine returns the first line, which must end in CR LF and hold neither.
func cutLine(b []byte) (line, rest []byte, ok bool) {
	i := bytes.IndexByte(b, '\n')
	if i < 1 || b[i-1] != '\r' || bytes.IndexByte(b[:i-1], '\r') >= 0 {
		return nil, nil, false
	}
	return b[:i-1], b[i+1:], true
}

// add takes a header line and reports false if it continues the line before.
func (f *framing) add(line []byte) bool {
	if len(line) == 0 {
		return true
	}
	if line[0] == ' ' || line[0] == '\t' {
		return false
	}
	switch name, value, _ := bytes.Cut(line, []byte(":")); {
	case len(name) == len("Content-Length") && bytes.EqualFold(name, []byte("Content-Length")):
		f.lengths++
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		f.length = int64(n)
		return err == nil
	case len(name) == len("Transfer-Encoding") && bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.encodings++
		f.chunked = true
	}
	return true
}
