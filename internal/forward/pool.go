package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrNotSent marks an exchange of which no byte reached the network.
	ErrNotSent = errors.New("request not sent")
	// ErrLost marks an exchange whose connection failed after bytes of the
	// request had been sent and before the answer's header came.
	ErrLost = errors.New("connection lost")
)

const (
	dialTimeout     = time.Second
	maxIdlePerHost  = 130
	maxIdleTime     = 30 * time.Second
	bufferBytes     = 8 << 10
	maxHeaderPeriod = 10 * time.Second
)

// Pool keeps HTTP/1.1 connections. Unlike http.Transport it never sends a
// request a second time by itself. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*connection
	closed bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: make(map[string][]*connection)}
}

// connection is an HTTP/1.1 connection with at most one exchange.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	since   time.Time
}

// Close closes the idle connections; busy ones close after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// take returns an idle connection that is still open, or nil.
func (p *Pool) take(address string) *connection {
	for {
		c := p.pop(address)
		if c == nil || (time.Since(c.since) < maxIdleTime && c.alive()) {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *connection) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdlePerHost {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "%v", err)
	}
	return &connection{
		Conn:    nc,
		address: address,
		reader:  bufio.NewReaderSize(nc, bufferBytes),
		writer:  bufio.NewWriterSize(nc, bufferBytes),
	}, nil
}

// alive reports whether the peer has neither closed the idle connection nor
// sent anything on it.
func (c *connection) alive() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Exchange is a request that was sent and whose answer's header has arrived.
// The caller reads Response.Body and then calls Close.
type Exchange struct {
	Response *http.Response

	pool *Pool
	conn *connection
	stop func() bool
	// sending is closed when the request's body has been written.
	sending chan struct{}
	sendErr error
}

// Do sends the request to the address and reads the answer's header. Body
// holds the whole body if it is small; stream carries a larger one. It returns
// ErrNotSent if provably no byte was sent, and ErrLost otherwise.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request) (*Exchange, error) {
	c := p.take(address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	x := &Exchange{pool: p, conn: c, sending: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if ctx.Err() != nil {
		x.abort()
		return nil, errors.Wrapf(ErrNotSent, "%v", context.Cause(ctx))
	}
	x.send(req)
	if err := x.receive(req); err != nil {
		x.abort()
		return nil, errors.Wrapf(ErrLost, "%v", err)
	}
	return x, nil
}

// send writes the request, beside the reader if its body is streamed.
func (x *Exchange) send(req *http.Request) {
	write := func() {
		defer close(x.sending)
		x.sendErr = req.Write(x.conn.writer)
		if x.sendErr == nil {
			x.sendErr = x.conn.writer.Flush()
		}
	}
	if req.ContentLength >= 0 && req.ContentLength <= maxBufferedBody {
		write()
		return
	}
	go write()
}

func (x *Exchange) receive(req *http.Request) error {
	for {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusOK {
			x.Response = resp
			return nil
		}
	}
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end and the request was sent whole.
func (x *Exchange) Close(complete bool) {
	if !complete || x.Response.Close || x.Response.ProtoMinor == 0 || !x.sent() || !x.stop() {
		x.abort()
		return
	}
	_ = x.Response.Body.Close()
	x.pool.put(x.conn)
}

// sent reports whether the whole request has been written.
func (x *Exchange) sent() bool {
	select {
	case <-x.sending:
		return x.sendErr == nil
	default:
		return false
	}
}

func (x *Exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}

// copyBody streams an answer to its receiver in bounded memory.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	controller := http.NewResponseController(w)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
			if flush {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, 32<<10)
	return &b
}}
