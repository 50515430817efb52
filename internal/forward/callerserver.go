package forward

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"heatherlift.example/heatherlift/internal/config"
)

const (
	// maxRequestHeaderBytes limits the request line and header of one request
	// unless the version in force sets another limit.
	maxRequestHeaderBytes = 64 << 10
	// maxPipelinedRequests limits the requests in progress on one connection.
	maxPipelinedRequests = 32
	// callerLingerTimeout is how long a closing connection still reads. Closing
	// it while the caller is sending would reset it, and the caller would lose
	// the last response.
	callerLingerTimeout = 250 * time.Millisecond
	// lateReadTimeout is how long a connection is still read after a header or
	// idle timeout, since a paused process finds both the timeout expired and the
	// request in the socket.
	lateReadTimeout = 20 * time.Millisecond
)

// CallerServer serves the HTTP/1.1 connections of callers. Unlike http.Server
// it handles pipelined requests concurrently, writes their responses in order
// and detects a disconnect of the caller while requests are waiting.
type CallerServer struct {
	handler http.Handler
	// headerTimeout limits reading a request header, idleTimeout waiting for
	// the next request.
	headerTimeout, idleTimeout time.Duration
	// LimitsInForce, if set, returns the limits of callers of the version in
	// force, nil if there is none. They replace the defaults of the server.
	LimitsInForce func() *config.CallerLimits
	// OnReject, if set, is called for each request that the server rejects itself,
	// with the address of the caller and the status.
	OnReject func(caller string, status int)

	draining    atomic.Bool
	mu          sync.Mutex
	conns       map[*callerConn]struct{}
	closed      bool
	activeConns sync.WaitGroup
}

// NewCallerServer returns a server that passes requests to the handler.
func NewCallerServer(handler http.Handler, headerTimeout, idleTimeout time.Duration) *CallerServer {
	return &CallerServer{handler: handler, headerTimeout: headerTimeout, idleTimeout: idleTimeout, conns: make(map[*callerConn]struct{})}
}

// limits returns the limits that apply to the next request.
func (s *CallerServer) limits() config.CallerLimits {
	l := config.CallerLimits{
		HeaderBytes:   maxRequestHeaderBytes,
		BodyBytes:     math.MaxInt64,
		HeaderTimeout: config.Duration(s.headerTimeout),
		IdleTimeout:   config.Duration(s.idleTimeout),
	}
	if s.LimitsInForce == nil {
		return l
	}
	if v := s.LimitsInForce(); v != nil {
		l.HeaderBytes = min(cmp.Or(v.HeaderBytes, l.HeaderBytes), config.MaxCallerHeaderBytes)
		l.BodyBytes = cmp.Or(v.BodyBytes, l.BodyBytes)
		l.HeaderTimeout = cmp.Or(v.HeaderTimeout, l.HeaderTimeout)
		l.IdleTimeout = cmp.Or(v.IdleTimeout, l.IdleTimeout)
	}
	return l
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
	s.activeConns.Add(1)
	return true
}

func (s *CallerServer) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.activeConns.Done()
}

func (s *CallerServer) reportReject(x *callerExchange) {
	if s.OnReject != nil {
		s.OnReject(x.req.RemoteAddr, x.rejectStatus)
	}
}

func (s *CallerServer) connections() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*callerConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Drain makes the connections close. A connection with requests in progress
// accepts no further ones and closes after the last response, because a caller
// that pipelines continuously would otherwise keep it open. An idle connection
// accepts one last request, and so does one whose last response has already
// started and can no longer announce the close.
func (s *CallerServer) Drain() {
	s.draining.Store(true)
	for _, c := range s.connections() {
		c.stopReadingIfBusy()
	}
}

// CloseIdle half-closes the connections without a request in progress: it shuts
// down only the direction towards the caller. A request that arrives after that
// is discarded without being run, and its caller sees no connection reset.
func (s *CallerServer) CloseIdle() {
	for _, c := range s.connections() {
		c.closeIfIdle()
	}
}

// Shutdown drains the server, closes idle connections and waits until all
// others have closed. It returns the error of ctx if that is done first.
func (s *CallerServer) Shutdown(ctx context.Context) error {
	s.Drain()
	s.CloseIdle()
	done := make(chan struct{})
	go func() {
		s.activeConns.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes all connections immediately.
func (s *CallerServer) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, c := range s.connections() {
		_ = c.Close()
	}
	s.activeConns.Wait()
}

// callerConn is a connection from a caller.
type callerConn struct {
	net.Conn
	server        *CallerServer
	headerScanner headerScanner
	// malformed is set when a request header on the connection is ambiguous.
	// Only the reading goroutine uses it.
	malformed bool
	reader    *bufio.Reader
	// headerBytesLeft is the number of bytes that the header being read may
	// still take, or unlimitedBytes.
	headerBytesLeft int
	// headerTooLarge is set when the header being read exceeded its limit.
	headerTooLarge bool
	// readsLate is set while a read that timed out is tried once more. Only the
	// reading goroutine uses it.
	readsLate     bool
	pipelineSlots chan struct{}
	handlers      sync.WaitGroup

	mu sync.Mutex
	// inProgress counts the requests whose response is not completely written.
	inProgress int
	// lastRequest is the request read most recently. responseStarted is set
	// when its response header has been written.
	lastRequest     *callerExchange
	responseStarted bool
	// closing is set when no further request is accepted.
	closing bool
}

func newCallerConn(s *CallerServer, c net.Conn) *callerConn {
	conn := &callerConn{Conn: c, server: s, headerBytesLeft: unlimitedBytes, pipelineSlots: make(chan struct{}, maxPipelinedRequests)}
	conn.reader = bufio.NewReaderSize(conn, 4<<10)
	return conn
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.headerBytesLeft == 0 {
		c.headerTooLarge = true
		return 0, errRequestHeaderTooLarge
	}
	if c.headerBytesLeft > 0 && len(b) > c.headerBytesLeft {
		b = b[:c.headerBytesLeft]
	}
	n, err := c.Conn.Read(b)
	if c.readsLate && errors.Is(err, os.ErrDeadlineExceeded) && c.extendRead() {
		n, err = c.Conn.Read(b)
	}
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= n
	}
	if n > 0 && c.headerScanner.scan(b[:n]) {
		c.malformed = true
	}
	return n, err
}

// extendRead allows one more read after a timeout. It returns false if the
// connection accepts no further request.
func (c *callerConn) extendRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readsLate = false
	if c.closing {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lateReadTimeout))
	return true
}

// serve reads requests until the connection closes.
func (c *callerConn) serve() {
	defer c.server.remove(c)
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), http.LocalAddrContextKey, c.LocalAddr()))
	defer cancel()
	previous := make(chan struct{})
	close(previous)
	for {
		x, ok := c.nextRequest(ctx, previous)
		if !ok {
			break
		}
		previous = x.done
		c.handlers.Go(x.serve)
		if !x.waitForBody() {
			break
		}
	}
	c.cancelOnDisconnect(cancel)
	c.handlers.Wait()
	c.linger()
}

// cancelOnDisconnect cancels the requests in progress if the caller disconnects
// before the last response is written. Further input from the caller is
// discarded.
func (c *callerConn) cancelOnDisconnect(cancel context.CancelFunc) {
	for c.requestsInProgress() > 0 {
		if _, err := c.reader.Discard(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				cancel()
			}
			return
		}
	}
}

func (c *callerConn) requestsInProgress() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inProgress
}

// nextRequest waits for a request. It returns false if there is none.
func (c *callerConn) nextRequest(ctx context.Context, previous chan struct{}) (*callerExchange, bool) {
	c.pipelineSlots <- struct{}{}
	if !c.waitForRequest() {
		return nil, false
	}
	limits := c.server.limits()
	_ = c.Conn.SetReadDeadline(time.Now().Add(time.Duration(limits.HeaderTimeout)))
	c.readsLate = true
	req, status := c.readRequest(limits)
	c.readsLate = false
	_ = c.Conn.SetReadDeadline(time.Time{})
	if status == 0 {
		return nil, false
	}
	x := newCallerExchange(ctx, c, req, previous)
	x.body.bytesLeft = limits.BodyBytes
	if status != http.StatusOK {
		x.rejectStatus = status
		c.server.reportReject(x)
	}
	if !c.startRequest(x) {
		return nil, false
	}
	return x, true
}

// waitForRequest waits for the first byte of the next request.
func (c *callerConn) waitForRequest() bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	if c.inProgress == 0 {
		c.startIdleTimeout()
	}
	c.mu.Unlock()
	c.readsLate = true
	_, err := c.reader.Peek(1)
	c.readsLate = false
	return err == nil
}

// startIdleTimeout bounds the wait for the next request.
func (c *callerConn) startIdleTimeout() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(time.Duration(c.server.limits().IdleTimeout)))
}

// startRequest registers a request. It returns false if the connection started
// closing in the meantime; the request is then discarded without being run.
func (c *callerConn) startRequest(x *callerExchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.inProgress++
	c.lastRequest, c.responseStarted = x, false
	if x.requiresClose() || c.server.draining.Load() {
		c.closing = true
	}
	return true
}

// finishRequest unregisters a request whose response has been written.
func (c *callerConn) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inProgress--
	if c.inProgress == 0 && !c.closing {
		c.startIdleTimeout()
	}
	<-c.pipelineSlots
}

// startResponse records that the response of x starts and reports whether the
// connection closes after it. In that case no further request is accepted.
func (c *callerConn) startResponse(x *callerExchange, closeAfter bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRequest == x {
		c.responseStarted = true
		c.closing = c.closing || c.server.draining.Load()
	}
	if closeAfter {
		c.closing = true
	}
	last := c.closing && (c.lastRequest == x || closeAfter)
	if last {
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
	return last
}

// closeIfIdle half-closes the connection if no request is in progress.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inProgress > 0 || c.closing {
		return
	}
	c.closing = true
	c.closeWrite()
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// stopReadingIfBusy stops accepting requests if requests are in progress and the
// last response can still carry "Connection: close". Requests pipelined after it
// stay unread.
func (c *callerConn) stopReadingIfBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || c.inProgress > 0 && !c.responseStarted
}

// isClosing reports whether the connection accepts no further request.
func (c *callerConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *callerConn) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// linger reads and discards further input before it closes the connection:
// closing a socket with unread data resets it and loses the last response. If
// the caller has disconnected or timed out, the connection is closed at once.
func (c *callerConn) linger() {
	defer c.Conn.Close()
	if !c.isClosing() {
		return
	}
	c.closeWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(callerLingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// readRequest reads a request header. The returned status is 200 if the request
// is valid, the status of the error response if it is not, and 0 if the
// connection failed or timed out before the header was complete.
func (c *callerConn) readRequest(limits config.CallerLimits) (*http.Request, int) {
	// What is buffered was read before, and may hold more than this header.
	c.headerBytesLeft = max(0, limits.HeaderBytes-c.reader.Buffered())
	available := c.reader.Buffered() + c.headerBytesLeft
	req, err := http.ReadRequest(c.reader)
	headerBytes := available - c.headerBytesLeft - c.reader.Buffered()
	c.headerBytesLeft = unlimitedBytes
	var netErr net.Error
	switch {
	case c.headerTooLarge, err == nil && headerBytes > limits.HeaderBytes:
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case err == nil && req.ContentLength > limits.BodyBytes:
		return req, http.StatusRequestEntityTooLarge
	case err == nil:
		return req, c.validateRequest(req)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &netErr):
		return nil, 0
	case strings.Contains(err.Error(), "transfer encoding"): // net/http exports no error for this case
		return nil, http.StatusNotImplemented
	default:
		return nil, http.StatusBadRequest
	}
}

// validateRequest returns 200 if the request header is valid and the status of
// the error response if it is not.
func (c *callerConn) validateRequest(req *http.Request) int {
	hostFields := len(req.Header["Host"])
	switch {
	case c.malformed, req.ProtoMajor != 1, req.ProtoAtLeast(1, 1) && req.Host == "", hostFields > 0:
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
