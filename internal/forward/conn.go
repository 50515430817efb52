package forward

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	bufferBytes    = 8 << 10
	maxAnswerHead  = 64 << 10
	unlimitedBytes = -1
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}
)

// past is a time that ends all I/O when it is set as a deadline.
var past = time.Unix(1, 0)

// connection is an HTTP/1.1 connection with at most one exchange. It holds
// buffers only during an exchange.
type connection struct {
	net.Conn
	raw syscall.RawConn
	// peek is peekSocket, bound once; open and peeked are its results.
	peek    func(fd uintptr) bool
	open    bool
	peeked  [1]byte
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	since   time.Time
	// idleLimit is how long the connection may be idle before it is used.
	idleLimit time.Duration
	// written counts the bytes of the current exchange that the kernel took.
	written int64
	// readLimit is the number of bytes that may still be read, or
	// unlimitedBytes.
	readLimit int64
}

func newConnection(c net.Conn, address string) *connection {
	conn := &connection{Conn: c, raw: rawConn(c), address: address, readLimit: unlimitedBytes, idleLimit: maxIdleTime}
	conn.peek = conn.peekSocket
	return conn
}

// rawConn returns the socket below c, nil if there is none.
func rawConn(c net.Conn) syscall.RawConn {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// begin prepares the connection for an exchange.
func (c *connection) begin() {
	c.written = 0
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.writer = writers.Get().(*bufio.Writer)
	c.writer.Reset(c)
}

// end gives the buffers back. Nothing may use them any more.
func (c *connection) end() {
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.writer.Reset(nil)
	writers.Put(c.writer)
	c.reader, c.writer = nil, nil
}

// announce takes the idle time that the receiver states in a Keep-Alive
// header, in whole seconds.
func (c *connection) announce(h http.Header) {
	_, text, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && seconds >= 0 {
		c.idleLimit = max(0, min(maxIdleTime, time.Duration(seconds)*time.Second-closeMargin))
	}
}

// Write implements io.Writer.
func (c *connection) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// Read implements io.Reader.
func (c *connection) Read(b []byte) (int, error) {
	if c.readLimit == unlimitedBytes {
		return c.Conn.Read(b)
	}
	if c.readLimit == 0 {
		return 0, errors.Wrap(ErrBadAnswer, "header too large")
	}
	if int64(len(b)) > c.readLimit {
		b = b[:c.readLimit]
	}
	n, err := c.Conn.Read(b)
	c.readLimit -= int64(n)
	return n, err
}

// alive reports whether the peer has neither closed the idle connection nor
// sent anything on it.
func (c *connection) alive() bool {
	if c.raw == nil {
		return true
	}
	c.open = false
	return c.raw.Read(c.peek) == nil && c.open
}

// peekSocket looks at what the socket holds, without waiting.
func (c *connection) peekSocket(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), c.peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.open = err == syscall.EAGAIN
	return true
}
