package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/intake"
)

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
	// headerErr is the error with which reading a header ended. The header is not read on after
	// it. Only the reading goroutine uses it.
	headerErr error
	// readsLate is set while a read that timed out is tried once more. Only the
	// reading goroutine uses it.
	readsLate bool
	// discardedInput is set when input was discarded that belongs to no request that
	// was read. Only the reading goroutine uses it.
	discardedInput bool
	// slotFreed wakes the reading goroutine when a request has ended.
	slotFreed chan struct{}
	handlers  sync.WaitGroup
	// held counts what the connection holds.
	held *intake.Conn
	// lease is what the header that is being read holds, nil between headers. noRoom is set
	// when there was no room for more of it. Only the reading goroutine uses them.
	lease  *intake.Lease
	noRoom bool

	mu sync.Mutex
	// inProgress holds the requests whose response is not completely written.
	inProgress map[*callerExchange]struct{}
	// lastRequest is the request read most recently. responseStarted is set
	// when its response header has been written.
	lastRequest     *callerExchange
	responseStarted bool
	// closing is set when no further request is accepted.
	closing bool
	// evicted is set when the connection is closed as soon as it is idle.
	evicted bool
	// pause delays requests that were sent ahead.
	pause refusalPause
	// reading is set while a request is being read that is not in progress yet.
	reading bool
}

func newCallerConn(s *CallerServer, c net.Conn) *callerConn {
	conn := &callerConn{Conn: c, server: s, headerBytesLeft: unlimitedBytes, slotFreed: make(chan struct{}, 1), inProgress: make(map[*callerExchange]struct{})}
	conn.reader = bufio.NewReaderSize(conn, 4<<10)
	return conn
}

// register counts the connection and reports whether there is room for it.
func (c *callerConn) register() bool {
	held, ok := c.server.Intake.Open(intake.Callers, c.RemoteAddr().String(), c.evict)
	if !ok {
		return false
	}
	c.held = held
	intake.SetReceiveBuffer(c.Conn, c.server.ReceiveBuffer)
	return true
}

// evict closes the connection for lack of room. One that is idle first takes a request that
// lies in the socket.
func (c *callerConn) evict(idle bool) {
	if !idle {
		_ = c.Conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	if len(c.inProgress) == 0 && !c.reading {
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	err := c.Conn.Close()
	c.held.Close()
	return err
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	if c.headerErr != nil {
		return 0, c.headerErr
	}
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
		c.headerErr = err
	}
	if n > 0 && c.headerScanner.scan(b[:n]) {
		c.malformed = true
	}
	if n > 0 && c.lease != nil && !c.chargeHeader(b[:n]) {
		return 0, errNoRoom
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
	timeout := lateReadTimeout
	if c.server.closingIdle.Load() {
		timeout = closingReadTimeout
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(timeout))
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
		if !c.awaitPipelineSlot() {
			cancel()
			break
		}
		x, ok := c.nextRequest(ctx, previous)
		if !ok {
			break
		}
		previous = x.done
		c.handlers.Go(x.serve)
		if !x.waitForBody(cancel) {
			break
		}
	}
	c.cancelOnDisconnect(cancel)
	c.handlers.Wait()
	c.linger()
}

// awaitPipelineSlot waits until another request may be in progress. It returns false if the
// caller disconnects meanwhile: the end of the connection lies behind requests that are not
// read, so that no read tells.
func (c *callerConn) awaitPipelineSlot() bool {
	if c.mayReadAhead() {
		return true
	}
	ticker := time.NewTicker(hangUpCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.slotFreed:
		case <-ticker.C:
			if hungUp(c.Conn) {
				return false
			}
		}
		if c.mayReadAhead() {
			return true
		}
	}
}

// mayReadAhead reports whether another request may be read.
func (c *callerConn) mayReadAhead() bool {
	if c.reader.Buffered() > 0 && c.isPaused() {
		return false
	}
	n := c.requestsInProgress()
	return n == 0 || n < maxPipelinedRequests && c.held.MayReadAhead()
}

// isPaused reports whether requests that the caller has sent ahead wait, which ends when the
// connection closes.
func (c *callerConn) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && c.pause.active(time.Now())
}

// cancelOnDisconnect cancels the requests in progress if the caller disconnects
// before the last response is written. Further input from the caller is
// discarded.
func (c *callerConn) cancelOnDisconnect(cancel context.CancelFunc) {
	for c.requestsInProgress() > 0 {
		n, err := c.reader.Discard(max(1, c.reader.Buffered()))
		c.discardedInput = c.discardedInput || n > 0
		if err != nil {
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
	return len(c.inProgress)
}

// nextRequest waits for a request. It returns false if there is none.
func (c *callerConn) nextRequest(ctx context.Context, previous chan struct{}) (*callerExchange, bool) {
	if !c.waitForRequest() {
		return nil, false
	}
	defer c.endReading()
	limits := c.server.limits()
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.headerTimeout(limits)))
	c.held.MessageBegun()
	lease := c.held.Lease()
	c.readsLate = true
	req, status := c.readLeased(limits, &lease)
	c.readsLate = false
	c.held.MessageEnded()
	_ = c.Conn.SetReadDeadline(time.Time{})
	if status == 0 {
		lease.Settle(0)
		return nil, false
	}
	x := newCallerExchange(ctx, c, req, previous, &lease)
	x.body.bytesLeft = limits.BodyBytes
	if status != http.StatusOK {
		x.rejectStatus = status
		c.server.reportReject(x)
	}
	if !c.startRequest(x) {
		lease.Settle(0)
		x.reportCut(CutDiscarded)
		return nil, false
	}
	return x, true
}

func (c *callerConn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
}

// waitForRequest waits for the first byte of the next request.
func (c *callerConn) waitForRequest() bool {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		return false
	}
	if len(c.inProgress) == 0 {
		c.startIdleTimeout()
	}
	c.mu.Unlock()
	c.readsLate = true
	_, err := c.reader.Peek(1)
	c.readsLate = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = err == nil && !c.closing
	if errors.Is(err, os.ErrDeadlineExceeded) && (c.server.closingIdle.Load() || c.evicted) {
		c.closing = true
	}
	return err == nil
}

// startIdleTimeout bounds the wait for the next request. If idle connections are being
// closed, only input that has already arrived is read.
func (c *callerConn) startIdleTimeout() {
	if c.server.closingIdle.Load() || c.evicted {
		_ = c.Conn.SetReadDeadline(pastDeadline)
		return
	}
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
	c.inProgress[x] = struct{}{}
	c.lastRequest, c.responseStarted = x, false
	if x.requiresClose() || c.server.draining.Load() || c.evicted {
		c.closing = true
	}
	c.held.Begin()
	return true
}

// finishRequest unregisters a request whose response has been written.
func (c *callerConn) finishRequest(x *callerExchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pause.observe(time.Now(), x.refused())
	delete(c.inProgress, x)
	if len(c.inProgress) == 0 && !c.reading && !c.closing {
		c.startIdleTimeout()
	}
	x.lease.Settle(0)
	if x.receivesMore {
		intake.SetReceiveBuffer(c.Conn, c.server.ReceiveBuffer)
	}
	c.held.End()
	wake(c.slotFreed)
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

// closeIfIdle ends the wait for the next request if there is none in progress. The
// reading goroutine closes the connection, but first takes a request that lies in the
// socket: it may have lain there for long if the process has had no processor time, and
// only one that arrives later has crossed the close.
func (c *callerConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.inProgress) > 0 || c.closing:
	case c.reading:
		_ = c.Conn.SetReadDeadline(time.Now().Add(closingHeaderTimeout))
	default:
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// abortRequests cancels the requests in progress, except those whose response has begun
// to be forwarded.
func (c *callerConn) abortRequests(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for x := range c.inProgress {
		if !x.relaying.Load() {
			x.cancel(cause)
		}
	}
}

// headerTimeout returns the time for reading a request header.
func (c *callerConn) headerTimeout(limits config.CallerLimits) time.Duration {
	if c.server.closingIdle.Load() {
		return min(time.Duration(limits.HeaderTimeout), closingHeaderTimeout)
	}
	return time.Duration(limits.HeaderTimeout)
}

// stopReadingIfBusy stops accepting requests if requests are in progress and the
// last response can still carry "Connection: close". Requests pipelined after it
// stay unread.
func (c *callerConn) stopReadingIfBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || len(c.inProgress) > 0 && !c.responseStarted
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
	defer c.Close()
	if !c.isClosing() {
		return
	}
	c.closeWrite()
	if !c.held.MayLinger() {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(callerLingerTimeout))
	n, _ := io.Copy(io.Discard, c.Conn)
	if c.discardedInput || n > 0 {
		c.server.reportCut(Cut{Cause: CutUnread, Caller: c.RemoteAddr().String()})
	}
}
