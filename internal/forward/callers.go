package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// maxPipelined bounds the requests of one connection that are in progress.
	maxPipelined = 32
	// closeTime is how long a connection that was ended still takes bytes, so
	// that a caller which is sending sees the last answer and no reset.
	closeTime = 250 * time.Millisecond
)

// CallerServer serves the HTTP/1.1 connections of callers. Unlike http.Server
// it works on pipelined requests side by side, writes their answers in order,
// and sees a caller leave while requests wait.
type CallerServer struct {
	handler http.Handler
	// headerTime bounds the reading of a header, idleTime the wait for the
	// next request.
	headerTime, idleTime time.Duration

	draining atomic.Bool
	mu       sync.Mutex
	conns    map[*callerConn]struct{}
	closed   bool
	active   sync.WaitGroup
}

// NewCallerServer returns a server that passes requests to the handler.
func NewCallerServer(handler http.Handler, headerTime, idleTime time.Duration) *CallerServer {
	return &CallerServer{handler: handler, headerTime: headerTime, idleTime: idleTime, conns: make(map[*callerConn]struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *CallerServer) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		conn := newCallerConn(s, c)
		if !s.add(conn) {
			_ = c.Close()
			continue
		}
		go conn.serve()
	}
}

func (s *CallerServer) add(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	s.active.Add(1)
	return true
}

func (s *CallerServer) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.active.Done()
}

func (s *CallerServer) all() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*callerConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Drain ends every connection with its next answer: one that carries requests
// takes no further one, an idle one takes a last one. Otherwise a caller that
// pipelines would never come to the end of its connection.
func (s *CallerServer) Drain() {
	s.draining.Store(true)
	for _, c := range s.all() {
		c.endIfBusy()
	}
}

// CloseIdle ends the connections that carry no request, in the direction of
// the caller only: a request that crosses the end is dropped without being run
// and its caller sees no reset.
func (s *CallerServer) CloseIdle() {
	for _, c := range s.all() {
		c.endIfIdle()
	}
}

// Shutdown ends idle connections and waits until all others have ended or ctx
// is done, whose error it then returns.
func (s *CallerServer) Shutdown(ctx context.Context) error {
	s.Drain()
	s.CloseIdle()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close cuts every connection.
func (s *CallerServer) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.all() {
		_ = c.Close()
	}
	s.active.Wait()
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn
	server *CallerServer
	guard  guard
	// malformed tells that a head on the connection was ambiguous. Only the
	// reader uses it.
	malformed bool
	reader    *bufio.Reader
	// headLeft is the number of bytes that the present head may still take,
	// or unlimitedBytes.
	headLeft int
	slots    chan struct{}
	handlers sync.WaitGroup

	mu sync.Mutex
	// inProgress counts the requests whose answer is not written.
	inProgress int
	// last is the request that was read last; answered tells that the head of
	// its answer was written.
	last     *exchangeWriter
	answered bool
	// ended tells that no further request is taken.
	ended bool
}

func newCallerConn(s *CallerServer, c net.Conn) *callerConn {
	conn := &callerConn{Conn: c, server: s, headLeft: unlimitedBytes, slots: make(chan struct{}, maxPipelined)}
	conn.reader = bufio.NewReaderSize(conn, 4<<10)
	return conn
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headLeft > 0 && len(b) > c.headLeft {
		b = b[:c.headLeft]
	}
	n, err := c.Conn.Read(b)
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	if n > 0 && c.guard.scan(b[:n]) {
		c.malformed = true
	}
	return n, err
}

// serve reads requests until the connection ends.
func (c *callerConn) serve() {
	defer c.server.remove(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	previous := make(chan struct{})
	close(previous)
	for {
		x, ok := c.next(ctx, previous)
		if !ok {
			break
		}
		previous = x.done
		c.handlers.Go(x.serve)
		if !x.awaitBody() {
			break
		}
	}
	c.watchCaller(cancel)
	c.handlers.Wait()
	c.linger()
}

// watchCaller cancels the requests in progress if the caller leaves, until the
// last answer is written. What the caller still sends is dropped unread.
func (c *callerConn) watchCaller(cancel context.CancelFunc) {
	for c.inProgressNow() > 0 {
		if _, err := c.reader.Discard(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				cancel()
			}
			return
		}
	}
}

func (c *callerConn) inProgressNow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inProgress
}

// next waits for a request. It returns false if none follows.
func (c *callerConn) next(ctx context.Context, previous chan struct{}) (*exchangeWriter, bool) {
	c.slots <- struct{}{}
	if !c.awaitByte() {
		return nil, false
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.headerTime))
	req, status := c.readRequest()
	_ = c.Conn.SetReadDeadline(time.Time{})
	if status == 0 {
		return nil, false
	}
	x := newExchangeWriter(ctx, c, req, previous)
	if status != http.StatusOK {
		x.rejected = status
	}
	if !c.begin(x) {
		return nil, false
	}
	return x, true
}

// awaitByte waits for the first byte of the next request.
func (c *callerConn) awaitByte() bool {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return false
	}
	if c.inProgress == 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.idleTime))
	}
	c.mu.Unlock()
	_, err := c.reader.Peek(1)
	return err == nil
}

// begin counts a request, unless the connection was ended meanwhile: then it
// is dropped and its caller sees it unread.
func (c *callerConn) begin(x *exchangeWriter) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.inProgress++
	c.last, c.answered = x, false
	if x.mustClose() || c.server.draining.Load() {
		c.ended = true
	}
	return true
}

// finish counts a request whose answer was written.
func (c *callerConn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	if c.inProgress == 0 && !c.ended {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.server.idleTime))
	}
	<-c.slots
}

// endsWith reports whether an answer is the last one of the connection, and
// takes no further request in that case.
func (c *callerConn) endsWith(x *exchangeWriter, closing bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == x {
		c.answered = true
		c.ended = c.ended || c.server.draining.Load()
	}
	if closing {
		c.ended = true
	}
	ends := c.ended && (c.last == x || closing)
	if ends {
		_ = c.Conn.SetReadDeadline(past)
	}
	return ends
}

// endIfIdle ends the connection if it carries no request.
func (c *callerConn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress > 0 || c.ended {
		return
	}
	c.ended = true
	c.closeWrite()
	_ = c.Conn.SetReadDeadline(past)
}

// endIfBusy takes no further request if one is in progress whose answer can
// still say that it is the last. What the caller sent behind it stays unread.
func (c *callerConn) endIfBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.ended || c.inProgress > 0 && !c.answered
}

// isEnded reports whether no further request is taken.
func (c *callerConn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *callerConn) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// linger takes what the caller still sends before the connection is closed: a
// close with unread bytes would reset it and lose the last answer.
func (c *callerConn) linger() {
	defer c.Conn.Close()
	if !c.isEnded() {
		return
	}
	c.closeWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(closeTime))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// readRequest reads a head. The status is 200, that of the answer which the
// head deserves, or 0 if the caller left within it.
func (c *callerConn) readRequest() (*http.Request, int) {
	c.headLeft = maxHeaderBytes
	req, err := http.ReadRequest(c.reader)
	c.headLeft = unlimitedBytes
	var broken net.Error
	switch {
	case err == nil:
		return req, c.judge(req)
	case errors.Is(err, errHeadTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		return nil, 0
	case strings.Contains(err.Error(), "transfer encoding"): // the library has no name for this error
		return nil, http.StatusNotImplemented
	default:
		return nil, http.StatusBadRequest
	}
}

// judge returns the status that a head deserves, 200 if it is well formed.
func (c *callerConn) judge(req *http.Request) int {
	hosts := len(req.Header["Host"])
	switch {
	case c.malformed, req.ProtoMajor != 1, req.ProtoAtLeast(1, 1) && req.Host == "", hosts > 0:
		return http.StatusBadRequest
	case !httpguts.ValidHostHeader(req.Host):
		return http.StatusBadRequest
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return http.StatusBadRequest
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return http.StatusBadRequest
			}
		}
	}
	return http.StatusOK
}
