package forward

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// maxRequestHeaderBytes limits the request line and header of one request
	// unless the version in force sets another limit.
	maxRequestHeaderBytes = 64 << 10
	// maxPipelinedRequests limits the requests in progress on one connection.
	maxPipelinedRequests = 32
	// hangUpCheckInterval is the interval at which a connection with that many, or with an
	// unread body, is checked for a disconnect of the caller.
	hangUpCheckInterval = 100 * time.Millisecond
	// callerLingerTimeout is how long a closing connection still reads. Closing
	// it while the caller is sending would reset it, and the caller would lose
	// the last response.
	callerLingerTimeout = 250 * time.Millisecond
	// lateReadTimeout is how long a connection is still read after a header or
	// idle timeout, since a paused process finds both the timeout expired and the
	// request in the socket.
	lateReadTimeout = 20 * time.Millisecond
	// closingReadTimeout replaces lateReadTimeout when idle connections are closed. A
	// process without processor time for longer would miss a request in the socket.
	closingReadTimeout = 100 * time.Millisecond
	// closingHeaderTimeout limits reading a request header from then on, so that a caller
	// that stops in the middle of it does not delay the shutdown.
	closingHeaderTimeout = 250 * time.Millisecond
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
	// with the address of the caller and the status. The account reports those that are
	// refused for lack of room.
	OnReject func(caller string, status int)
	// Intake, if set, bounds what callers hold.
	Intake *intake.Account
	// ReceiveBuffer, if positive, bounds the bytes that the kernel holds of a connection
	// for this process to read.
	ReceiveBuffer int
	// RetryAfter, if set, returns the Retry-After header of a request that is refused for
	// lack of room.
	RetryAfter func() string
	// OnCut, if set, is called for each request, read completely or not, whose
	// connection ends without a complete response.
	OnCut func(Cut)

	draining atomic.Bool
	// closingIdle is set when connections are closed instead of waiting for a request.
	closingIdle atomic.Bool
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
		if !conn.register() {
			s.turnAway(c)
			continue
		}
		if !s.add(conn) {
			_ = conn.Close()
			continue
		}
		go conn.serve()
	}
}

// turnAwayTimeout limits writing the response to a connection for which there is no room.
const turnAwayTimeout = 10 * time.Millisecond

// turnAway closes a connection for which there is no room with a response to the request
// that its caller sends. It is not read, and so not run.
func (s *CallerServer) turnAway(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(turnAwayTimeout))
	header := s.noRoomHeader()
	header["Connection"] = []string{"close"}
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	_ = header.Write(&response)
	response.WriteString("\r\n")
	_, _ = c.Write(response.Bytes())
	_ = c.Close()
}

// noRoomHeader returns the header of the response to a request that is refused unread for
// lack of room. It has no body, since the method of the request is not known.
func (s *CallerServer) noRoomHeader() http.Header {
	header := http.Header{
		"Content-Length": {"0"},
		OutcomeHeader:    {string(outcome.NotRun)},
		ReasonHeader:     {string(outcome.ClientLimit)},
	}
	if s.RetryAfter != nil {
		header["Retry-After"] = []string{s.RetryAfter()}
	}
	return header
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
	if s.OnReject != nil && x.rejectStatus != http.StatusServiceUnavailable {
		s.OnReject(x.req.RemoteAddr, x.rejectStatus)
	}
}

// isClosed reports whether Close was called.
func (s *CallerServer) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
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

// CloseIdle half-closes connections as soon as they have no request in progress and
// none in the socket: it shuts down only the direction towards the caller. A request
// that arrives after that is discarded without being run, and its caller sees no
// connection reset.
func (s *CallerServer) CloseIdle() {
	s.closingIdle.Store(true)
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

// AbortRequests cancels the requests in progress that have no response yet with
// errShuttingDown, so that they end with a response of this proxy. Complete responses
// behind them can then be delivered.
func (s *CallerServer) AbortRequests() {
	for _, c := range s.connections() {
		c.abortRequests(errShuttingDown)
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
