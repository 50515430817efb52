package response

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes bounds the head of a response on a Conn.
const MaxHeadBytes = 64 << 10

const (
	connBufferBytes = 4 << 10
	// maxChunkSizeDigits is the number of hexadecimal digits that net/http accepts.
	maxChunkSizeDigits = 16
)

// Conn is a connection of a client below http.Transport. What is read from it consists of
// well-formed responses: a head, or the trailers of a body, is passed on when it has been
// checked as a whole. It must not carry HEAD requests, whose responses have no body.
type Conn struct {
	net.Conn
	r *bufio.Reader
	// passing is the number of bytes that are passed on before next.
	passing uint64
	next    part
	err     error
}

// part is a part of the stream of responses.
type part int

const (
	nextHead part = iota
	nextChunk
	nextTrailers
	// untilClose is a body that ends with the connection.
	untilClose
)

// NewConn returns a Conn that reads from c.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, r: bufio.NewReaderSize(c, connBufferBytes)}
}

// NewTransport returns a transport that opens connections with dial, makes them Conns and
// bounds the heads of responses.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return NewConn(c), nil
		},
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

// NetConn returns the connection that c reads from.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements io.Reader. The error may be ErrMalformed.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for c.passing == 0 && c.next != untilClose {
		if c.err == nil {
			c.err = c.advance()
		}
		if c.err != nil {
			return 0, c.err
		}
	}
	if c.passing == 0 {
		return c.r.Read(p) // until the connection ends
	}
	n, err := c.r.Read(p[:min(uint64(len(p)), c.passing)])
	c.passing -= uint64(n)
	return n, err
}

// advance determines what is passed on next.
func (c *Conn) advance() error {
	switch c.next {
	case nextHead:
		return c.passHead()
	case nextChunk:
		return c.passChunk()
	default:
		size, err := scanTrailers(c.r)
		c.passing, c.next = uint64(size), nextHead
		return err
	}
}

// passHead checks the next head. The end of the stream before its first byte is the end of
// the connection.
func (c *Conn) passHead() error {
	if _, err := c.r.Peek(1); err != nil {
		return err
	}
	size, h, err := scanHead(c.r)
	if errors.Is(err, ErrHeadTooLong) && c.r.Size() == connBufferBytes {
		c.r = Enlarge(c.r, c.Conn, MaxHeadBytes)
		size, h, err = scanHead(c.r)
	}
	if err != nil {
		return err
	}
	c.passing = uint64(size)
	switch {
	case h.withoutBody():
		c.next = nextHead
	case h.chunked:
		c.next = nextChunk
	case h.hasLength:
		c.passing, c.next = c.passing+h.length, nextHead
	default:
		c.next = untilClose
	}
	return nil
}

// passChunk passes the next chunk on with its size. Only the digits of the size are checked:
// http.Transport refuses what follows them if it is malformed.
func (c *Conn) passChunk() error {
	line, err := peekLine(c.r)
	if err != nil {
		return err
	}
	digits := 0
	for digits < len(line) && digits < maxChunkSizeDigits && isHexDigit(line[digits]) {
		digits++
	}
	size, err := strconv.ParseUint(string(line[:digits]), 16, 62)
	if err != nil {
		return malformed("chunk size", line)
	}
	c.passing, c.next = uint64(len(line)), nextTrailers
	if size > 0 {
		c.passing, c.next = c.passing+size+uint64(len("\r\n")), nextChunk
	}
	return nil
}

func isHexDigit(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// peekLine returns the next line with its end, and leaves it in the buffer of r.
func peekLine(r *bufio.Reader) ([]byte, error) {
	for {
		buffered, _ := r.Peek(r.Buffered())
		if length := bytes.IndexByte(buffered, '\n'); length >= 0 {
			return buffered[:length+1], nil
		}
		if err := awaitMore(r, len(buffered)); err != nil {
			return nil, err
		}
	}
}
