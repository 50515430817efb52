package forward

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/intake"
)

// maxBufferedResponseBytes is the size up to which a response is buffered
// before its header is written, so that a Content-Length can be set.
const maxBufferedResponseBytes = 32 << 10

// callerExchange is one request of a caller and the writer of its response. It
// implements http.ResponseWriter and the methods that http.ResponseController
// calls.
type callerExchange struct {
	conn      *callerConn
	req       *http.Request
	startedAt time.Time
	cancel    context.CancelCauseFunc
	// relaying is set when a response has begun to be forwarded to the caller.
	relaying atomic.Bool
	// precedingDone is closed when all preceding responses are written, done
	// when this one is.
	precedingDone <-chan struct{}
	done          chan struct{}
	body          *callerBody
	// lease is what the request holds, and bufferHeld the part of it that buffered does.
	lease      *intake.Lease
	bufferHeld int
	// receivesMore is set while the receive buffer of the connection is that of an upload.
	receivesMore bool
	// rejectStatus is the status for a request that the server rejects itself,
	// 0 if the request goes to the handler.
	rejectStatus int

	header   http.Header
	status   int
	buffered bytes.Buffer
	// headerWritten is set when the response header is written.
	headerWritten bool
	chunked       bool
	closeAfter    bool
	// contentLength is the declared length of the response body, -1 if there is
	// none.
	contentLength int64
	written       int64
	err           error
	// writeDeadline is the deadline set by the handler. It is applied to the
	// connection only once all preceding responses are written; deadlineApplied is then
	// set.
	writeDeadline   time.Time
	deadlineApplied bool
}

// newCallerExchange returns the exchange for a request. A nil req stands for a
// request that could not be parsed; the connection closes after its response.
func newCallerExchange(ctx context.Context, c *callerConn, req *http.Request, precedingDone <-chan struct{}, lease *intake.Lease) *callerExchange {
	x := &callerExchange{conn: c, lease: lease, startedAt: time.Now(), precedingDone: precedingDone, done: make(chan struct{}), header: make(http.Header), contentLength: -1}
	if req == nil {
		req = &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody, Close: true}
	}
	ctx, x.cancel = context.WithCancelCause(ctx)
	x.body = newCallerBody(x, req.Body, strings.EqualFold(req.Header.Get("Expect"), "100-continue"))
	req.Body = x.body
	req.RemoteAddr = c.RemoteAddr().String()
	x.req = req.WithContext(ctx)
	return x
}

// requiresClose reports whether the connection has to be closed after the
// response.
func (x *callerExchange) requiresClose() bool {
	return x.rejectStatus != 0 || x.req.Close || !x.req.ProtoAtLeast(1, 1)
}

// waitForBody waits until reading the request body has ended or the request has
// been handled, and reports whether the body was read completely, so that the
// next request can be read. It calls cancel if the caller disconnects meanwhile: a body that
// is not being read hides the end of the connection.
func (x *callerExchange) waitForBody(cancel func()) bool {
	if x.body.complete() {
		return true
	}
	awaitWatching(x.conn.Conn, x.body.done, x.done, cancel)
	return x.body.complete()
}

// serve calls the handler and writes the response.
func (x *callerExchange) serve() {
	defer x.conn.finishRequest(x)
	defer close(x.done)
	defer x.cancel(nil)
	if !x.callHandler() {
		x.reportCut(CutResponse)
		x.waitForPreceding()
		_ = x.conn.Close()
		return
	}
	if err := x.finish(); err != nil {
		x.reportCut(CutWrite)
		_ = x.conn.Close()
	}
}

// callHandler calls the handler, or sets the status of a request that the server
// rejects itself. It reports whether the handler returned normally. A panic
// closes only this connection; LogPanics logs it.
func (x *callerExchange) callHandler() (ok bool) {
	defer func() {
		if recover() != nil {
			ok = false
		}
	}()
	if x.rejectStatus == http.StatusServiceUnavailable {
		maps.Copy(x.header, x.conn.server.noRoomHeader())
		x.WriteHeader(x.rejectStatus)
		return true
	}
	if x.rejectStatus != 0 {
		x.header.Set("Content-Type", "text/plain; charset=utf-8")
		x.WriteHeader(x.rejectStatus)
		return true
	}
	x.conn.server.handler.ServeHTTP(x, x.req)
	return true
}

// refused reports whether the response is a refusal of this proxy that asks the caller to
// come back later.
func (x *callerExchange) refused() bool {
	return !x.relaying.Load() && (x.status == http.StatusServiceUnavailable || x.status == http.StatusTooManyRequests)
}

// beginRelay records that a response is being forwarded to the caller.
func (x *callerExchange) beginRelay() { x.relaying.Store(true) }

// Header implements http.ResponseWriter.
func (x *callerExchange) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter. It records the status of the final
// response; sendHeader writes the header to the connection.
func (x *callerExchange) WriteHeader(status int) {
	if x.status != 0 || status < http.StatusOK {
		return
	}
	x.status = status
	if text := x.header.Get("Content-Length"); text != "" {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			x.contentLength = n
		}
	}
}

// Write implements http.ResponseWriter.
func (x *callerExchange) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if !x.hasBody() {
		return len(p), nil
	}
	if x.contentLength >= 0 && x.written+int64(len(p)) > x.contentLength {
		return 0, http.ErrContentLength
	}
	x.written += int64(len(p))
	_, _ = x.buffered.Write(p)
	if n := x.buffered.Cap(); n > x.bufferHeld {
		x.lease.Take(int64(n - x.bufferHeld))
		x.bufferHeld = n
	}
	if x.buffered.Len() <= maxBufferedResponseBytes {
		return len(p), nil
	}
	return len(p), x.FlushError()
}

func (x *callerExchange) hasBody() bool {
	return x.req.Method != http.MethodHead && x.status != http.StatusNoContent && x.status != http.StatusNotModified
}

// FlushError is called by http.ResponseController.
func (x *callerExchange) FlushError() error {
	x.WriteHeader(http.StatusOK)
	if x.err != nil {
		return x.err
	}
	x.acquireConn()
	x.sendHeader(false)
	x.flushBuffered()
	return x.err
}

// SetReadDeadline is called by http.ResponseController.
func (x *callerExchange) SetReadDeadline(t time.Time) error { return x.conn.Conn.SetReadDeadline(t) }

// SetWriteDeadline is called by http.ResponseController. Until the response
// header is written, the connection may be in use by preceding responses and
// the deadline is only stored.
func (x *callerExchange) SetWriteDeadline(t time.Time) error {
	x.writeDeadline = t
	if !x.headerWritten {
		return nil
	}
	return x.conn.Conn.SetWriteDeadline(t)
}

// EnableFullDuplex is called by http.ResponseController. The request body can
// always be read while the response is written.
func (x *callerExchange) EnableFullDuplex() error { return nil }

// uploadReceiveBytes is the receive buffer of a connection while a body is streamed from it.
const uploadReceiveBytes = 256 << 10

// receiveMore enlarges the receive buffer of the connection for a body that is streamed, if
// there is room for it.
func (x *callerExchange) receiveMore() {
	if x.conn.server.ReceiveBuffer > 0 && x.lease.Roomy() && x.lease.Acquire(uploadReceiveBytes) {
		x.receivesMore = true
		intake.SetReceiveBuffer(x.conn.Conn, uploadReceiveBytes)
	}
}

// requestLease returns what the request holds.
func (x *callerExchange) requestLease() *intake.Lease { return x.lease }

// AwaitTurn waits until all preceding responses are written.
func (x *callerExchange) AwaitTurn() { x.acquireConn() }

// Discard drops the response written so far, so that another one can be written. It
// returns false if a part of it may have reached the caller.
func (x *callerExchange) Discard() bool {
	if x.headerWritten {
		return false
	}
	if x.deadlineApplied {
		_ = x.conn.Conn.SetWriteDeadline(time.Time{})
	}
	clear(x.header)
	x.buffered.Reset()
	x.status, x.written, x.contentLength, x.writeDeadline = 0, 0, -1, time.Time{}
	return true
}

// Reset closes the connection with a TCP reset.
func (x *callerExchange) Reset() {
	x.waitForPreceding()
	resetConn(x.conn.Conn)
}

// waitForPreceding waits until all preceding responses are written.
func (x *callerExchange) waitForPreceding() { <-x.precedingDone }

// acquireConn waits until all preceding responses are written and applies the
// write deadline to the connection. The wait is not caused by the receiver of
// this response, so the deadline is extended by it.
func (x *callerExchange) acquireConn() {
	waitStart := time.Now()
	x.waitForPreceding()
	if x.headerWritten || x.writeDeadline.IsZero() {
		return
	}
	x.writeDeadline = x.writeDeadline.Add(time.Since(waitStart))
	_ = x.conn.Conn.SetWriteDeadline(x.writeDeadline)
	x.deadlineApplied = true
}

// sendHeader writes the response header to the connection. If complete is set,
// the buffer holds the whole body, which is written with it.
func (x *callerExchange) sendHeader(complete bool) {
	if x.headerWritten {
		return
	}
	x.headerWritten = true
	x.body.suppressContinue()
	x.chooseFraming(complete)
	if x.conn.startResponse(x, x.closeAfter) {
		x.header["Connection"] = []string{"close"}
	}
	var header bytes.Buffer
	fmt.Fprintf(&header, "HTTP/1.1 %03d %s\r\n", x.status, http.StatusText(x.status))
	if _, ok := x.header["Date"]; !ok {
		header.WriteString("Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n")
	}
	_ = x.header.WriteSubset(&header, x.trailerNames())
	header.WriteString("\r\n")
	if complete {
		header.Write(x.buffered.Bytes())
		x.buffered.Reset()
	}
	x.writeToConn(header.Bytes())
}

// chooseFraming determines how the caller detects the end of the response body.
func (x *callerExchange) chooseFraming(complete bool) {
	x.closeAfter = x.requiresClose() || !x.body.complete() || strings.EqualFold(x.header.Get("Connection"), "close")
	switch {
	case !x.hasBody() || x.contentLength >= 0:
	case complete && x.header["Trailer"] == nil:
		x.header["Content-Length"] = []string{strconv.Itoa(x.buffered.Len())}
	case x.req.ProtoAtLeast(1, 1):
		x.chunked = true
		x.header["Transfer-Encoding"] = []string{"chunked"}
	default:
		x.closeAfter = true
	}
}

// trailerNames returns the names of the fields that are sent as trailers.
func (x *callerExchange) trailerNames() map[string]bool {
	names := make(map[string]bool)
	for _, line := range x.header["Trailer"] {
		for name := range strings.SplitSeq(line, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

func (x *callerExchange) flushBuffered() {
	if x.buffered.Len() == 0 {
		return
	}
	if x.chunked {
		x.writeToConn(fmt.Appendf(nil, "%x\r\n", x.buffered.Len()))
		x.buffered.WriteString("\r\n")
	}
	x.writeToConn(x.buffered.Bytes())
	x.buffered.Reset()
}

func (x *callerExchange) writeToConn(b []byte) {
	if x.err == nil {
		x.conn.held.WriteBegun()
		_, x.err = x.conn.Conn.Write(b)
		x.conn.held.WriteEnded()
	}
}

// errShortResponse marks a response that ended before its declared length.
var errShortResponse = errors.New("response shorter than its Content-Length")

// finish writes the rest of the response.
func (x *callerExchange) finish() error {
	x.WriteHeader(http.StatusOK)
	x.acquireConn()
	if x.hasBody() && x.contentLength >= 0 && x.written < x.contentLength {
		return errShortResponse
	}
	x.sendHeader(true)
	x.flushBuffered()
	if x.chunked {
		x.writeTrailer()
	}
	return x.err
}

func (x *callerExchange) writeTrailer() {
	var trailer bytes.Buffer
	trailer.WriteString("0\r\n")
	for name := range x.trailerNames() {
		for _, value := range x.header[name] {
			trailer.WriteString(name + ": " + value + "\r\n")
		}
	}
	trailer.WriteString("\r\n")
	x.writeToConn(trailer.Bytes())
}
