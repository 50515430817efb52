package forward

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"heatherlift.example/heatherlift/internal/response"
)

const (
	connBufferBytes        = 8 << 10
	maxResponseHeaderBytes = 64 << 10
	unlimitedBytes         = -1
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, connBufferBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, connBufferBytes) }}
)

// pastDeadline is a deadline that interrupts all pending I/O.
var pastDeadline = time.Unix(1, 0)

// connection is an HTTP/1.1 client connection that carries at most one exchange
// at a time. It holds buffers only during an exchange.
type connection struct {
	net.Conn
	raw syscall.RawConn
	// peekFunc is the method value peekSocket, stored to avoid an allocation
	// per call. peekOpen and peekBuf receive its results.
	peekFunc  func(fd uintptr) bool
	peekOpen  bool
	peekBuf   [1]byte
	address   string
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	// maxIdle is how long the connection may have been idle when it is reused.
	maxIdle time.Duration
	// bytesWritten counts the bytes of the current exchange that the kernel
	// accepted.
	bytesWritten int64
	// readLimit is the number of bytes that may still be read, or
	// unlimitedBytes.
	readLimit int64
	// writing is held during a write. writeFailed is set when a write has failed for
	// another reason than that the peer had closed the connection in order.
	writing     sync.Mutex
	writeFailed atomic.Bool
}

func newConnection(c net.Conn, address string) *connection {
	conn := &connection{Conn: c, raw: rawConn(c), address: address, readLimit: unlimitedBytes, maxIdle: maxIdleTime}
	conn.peekFunc = conn.peekSocket
	return conn
}

// rawConn returns the socket that underlies c, nil if there is none.
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

// beginExchange prepares the connection for an exchange.
func (c *connection) beginExchange() {
	c.bytesWritten = 0
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.writer = writerPool.Get().(*bufio.Writer)
	c.writer.Reset(c)
}

// endExchange returns the buffers to their pools. They must not be used after
// that.
func (c *connection) endExchange() {
	if c.reader.Size() == connBufferBytes {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
	}
	c.writer.Reset(nil)
	writerPool.Put(c.writer)
	c.reader, c.writer = nil, nil
}

// readResponse reads the head of a response to the request. A head that exceeds the buffer
// gets a larger one for the rest of the exchange.
func (c *connection) readResponse(req *http.Request) (*http.Response, error) {
	resp, err := response.Read(c.reader, req)
	if errors.Is(err, response.ErrHeadTooLong) && c.reader.Size() == connBufferBytes {
		c.reader = response.Enlarge(c.reader, c, connBufferBytes+maxResponseHeaderBytes)
		resp, err = response.Read(c.reader, req)
	}
	if errors.Is(err, response.ErrHeadTooLong) {
		err = errors.Wrap(ErrMalformedResponse, "response header too large")
	}
	return resp, err
}

// applyKeepAlive limits maxIdle to the idle timeout that the receiver announces
// in a Keep-Alive header, in whole seconds, less keepAliveMargin.
func (c *connection) applyKeepAlive(h http.Header) {
	_, text, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return
	}
	text, _, _ = strings.Cut(text, ",")
	if seconds, err := strconv.Atoi(strings.TrimSpace(text)); err == nil && seconds >= 0 {
		c.maxIdle = max(0, min(maxIdleTime, time.Duration(seconds)*time.Second-keepAliveMargin))
	}
}

// Write implements io.Writer.
func (c *connection) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.bytesWritten += int64(n)
	if err != nil && !errors.Is(err, syscall.EPIPE) {
		c.writeFailed.Store(true)
	}
	return n, err
}

// endedInOrder reports whether the end of the stream that was read means that the peer has
// ended its direction of the connection. The kernel reports a failure of a connection, such
// as a reset, only once. If it reports it to a write, the next read returns the end of the
// stream. After the peer has ended its direction a write fails with EPIPE instead.
func (c *connection) endedInOrder() bool {
	if socketEvents(c.raw, 0)&(unix.POLLHUP|unix.POLLERR) != 0 { // a write in progress ends at once
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	return !c.writeFailed.Load()
}

// Read implements io.Reader.
func (c *connection) Read(b []byte) (int, error) {
	if c.readLimit == unlimitedBytes {
		return c.Conn.Read(b)
	}
	if c.readLimit == 0 {
		return 0, errors.Wrap(ErrMalformedResponse, "response header too large")
	}
	if int64(len(b)) > c.readLimit {
		b = b[:c.readLimit]
	}
	n, err := c.Conn.Read(b)
	c.readLimit -= int64(n)
	return n, err
}

// setUserTimeout sets how long sent data may stay unacknowledged, or unsent because the
// receiver does not read, before the connection fails; 0 means no such limit. It has no
// effect on connections other than TCP.
func (c *connection) setUserTimeout(d time.Duration) {
	if c.raw == nil {
		return
	}
	_ = c.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
}

// alive reports whether the peer has neither closed the idle connection nor
// sent data on it.
func (c *connection) alive() bool {
	if c.raw == nil {
		return true
	}
	c.peekOpen = false
	return c.raw.Read(c.peekFunc) == nil && c.peekOpen
}

// peekSocket checks the socket for data or a close without blocking.
func (c *connection) peekSocket(fd uintptr) bool {
	_, _, err := syscall.Recvfrom(int(fd), c.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	c.peekOpen = err == syscall.EAGAIN
	return true
}
