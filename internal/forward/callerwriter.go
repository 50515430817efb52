package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxHeldAnswer is the size up to which an answer is held before its head is
// written, so that its length is known.
const maxHeldAnswer = 32 << 10

// exchangeWriter is one request of a caller and the writer of its answer. It
// implements http.ResponseWriter and what http.ResponseController calls.
type exchangeWriter struct {
	conn   *callerConn
	req    *http.Request
	cancel context.CancelFunc
	// turn is closed when the answers before are written, done when this one
	// is.
	turn <-chan struct{}
	done chan struct{}
	body *callerBody
	// rejected is the status for a request that is not served, 0 if it is.
	rejected int

	header http.Header
	status int
	held   bytes.Buffer
	// committed tells that the head was written.
	committed bool
	chunked   bool
	closing   bool
	// length is the declared length of the body, -1 if none.
	length  int64
	written int64
	err     error
	// writeDeadline is the handler's; it binds the connection only while it is
	// this answer's turn.
	writeDeadline time.Time
}

func newExchangeWriter(ctx context.Context, c *callerConn, req *http.Request, turn <-chan struct{}) *exchangeWriter {
	x := &exchangeWriter{conn: c, turn: turn, done: make(chan struct{}), header: make(http.Header), length: -1}
	if req == nil {
		req = &http.Request{Method: http.MethodGet, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody, Close: true}
	}
	ctx, x.cancel = context.WithCancel(ctx)
	x.body = newCallerBody(x, req.Body, strings.EqualFold(req.Header.Get("Expect"), "100-continue"))
	req.Body = x.body
	req.RemoteAddr = c.RemoteAddr().String()
	x.req = req.WithContext(ctx)
	return x
}

// mustClose reports whether the caller wants or needs the connection closed
// after the answer.
func (x *exchangeWriter) mustClose() bool {
	return x.rejected != 0 || x.req.Close || !x.req.ProtoAtLeast(1, 1)
}

// awaitBody waits until the body was read, so that the next request begins
// where it should, and reports whether the connection is in order.
func (x *exchangeWriter) awaitBody() bool {
	select {
	case <-x.body.ended:
	case <-x.done:
	}
	return x.body.complete()
}

// serve calls the handler and writes the answer.
func (x *exchangeWriter) serve() {
	defer x.conn.finish()
	defer close(x.done)
	defer x.cancel()
	if !x.handle() {
		x.awaitTurn()
		_ = x.conn.Close()
		return
	}
	if err := x.end(); err != nil {
		_ = x.conn.Close()
	}
}

// handle reports whether the handler came to its end. A panic ends the
// connection alone; LogPanics tells of it.
func (x *exchangeWriter) handle() (ok bool) {
	defer func() {
		if recover() != nil {
			ok = false
		}
	}()
	if x.rejected != 0 {
		x.header.Set("Content-Type", "text/plain; charset=utf-8")
		x.WriteHeader(x.rejected)
		return true
	}
	x.conn.server.handler.ServeHTTP(x, x.req)
	return true
}

// Header implements http.ResponseWriter.
func (x *exchangeWriter) Header() http.Header { return x.header }

// WriteHeader implements http.ResponseWriter.
func (x *exchangeWriter) WriteHeader(status int) {
	if x.status != 0 || status < http.StatusOK {
		return
	}
	x.status = status
	if text := x.header.Get("Content-Length"); text != "" {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			x.length = n
		}
	}
}

// Write implements http.ResponseWriter.
func (x *exchangeWriter) Write(p []byte) (int, error) {
	x.WriteHeader(http.StatusOK)
	if !x.hasBody() {
		return len(p), nil
	}
	if x.length >= 0 && x.written+int64(len(p)) > x.length {
		return 0, http.ErrContentLength
	}
	x.written += int64(len(p))
	_, _ = x.held.Write(p)
	if x.held.Len() <= maxHeldAnswer {
		return len(p), nil
	}
	return len(p), x.FlushError()
}

func (x *exchangeWriter) hasBody() bool {
	return x.req.Method != http.MethodHead && x.status != http.StatusNoContent && x.status != http.StatusNotModified
}

// FlushError implements the flush of http.ResponseController.
func (x *exchangeWriter) FlushError() error {
	x.WriteHeader(http.StatusOK)
	if x.err != nil {
		return x.err
	}
	x.takeTurn()
	x.commit(false)
	x.writeHeld()
	return x.err
}

// SetReadDeadline implements http.ResponseController.
func (x *exchangeWriter) SetReadDeadline(t time.Time) error { return x.conn.Conn.SetReadDeadline(t) }

// SetWriteDeadline implements http.ResponseController. Before the answer's turn
// the connection belongs to the answers before.
func (x *exchangeWriter) SetWriteDeadline(t time.Time) error {
	x.writeDeadline = t
	if !x.committed {
		return nil
	}
	return x.conn.Conn.SetWriteDeadline(t)
}

// EnableFullDuplex implements http.ResponseController: the body may always be
// read while the answer is written.
func (x *exchangeWriter) EnableFullDuplex() error { return nil }

// Reset makes the end of the connection a reset.
func (x *exchangeWriter) Reset() {
	x.awaitTurn()
	reset(x.conn.Conn)
}

// awaitTurn waits until the answers before are written.
func (x *exchangeWriter) awaitTurn() { <-x.turn }

// takeTurn waits until the answers before are written and takes over the
// connection. The wait is no fault of the receiver and extends the deadline.
func (x *exchangeWriter) takeTurn() {
	began := time.Now()
	x.awaitTurn()
	if x.committed || x.writeDeadline.IsZero() {
		return
	}
	x.writeDeadline = x.writeDeadline.Add(time.Since(began))
	_ = x.conn.Conn.SetWriteDeadline(x.writeDeadline)
}

// commit writes the head. Whole tells that the body is held complete.
func (x *exchangeWriter) commit(whole bool) {
	if x.committed {
		return
	}
	x.committed = true
	x.body.answered()
	x.frame(whole)
	if x.conn.endsWith(x, x.closing) {
		x.header["Connection"] = []string{"close"}
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %03d %s\r\n", x.status, http.StatusText(x.status))
	if _, ok := x.header["Date"]; !ok {
		head.WriteString("Date: " + time.Now().UTC().Format(http.TimeFormat) + "\r\n")
	}
	_ = x.header.WriteSubset(&head, x.trailers())
	head.WriteString("\r\n")
	if whole {
		head.Write(x.held.Bytes())
		x.held.Reset()
	}
	x.write(head.Bytes())
}

// frame decides how the caller finds the end of the body.
func (x *exchangeWriter) frame(whole bool) {
	x.closing = x.mustClose() || !x.body.complete() || strings.EqualFold(x.header.Get("Connection"), "close")
	switch {
	case !x.hasBody() || x.length >= 0:
	case whole && x.header["Trailer"] == nil:
		x.header["Content-Length"] = []string{strconv.Itoa(x.held.Len())}
	case x.req.ProtoAtLeast(1, 1):
		x.chunked = true
		x.header["Transfer-Encoding"] = []string{"chunked"}
	default:
		x.closing = true
	}
}

// trailers returns the names that are written after the body.
func (x *exchangeWriter) trailers() map[string]bool {
	names := make(map[string]bool)
	for _, line := range x.header["Trailer"] {
		for name := range strings.SplitSeq(line, ",") {
			names[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return names
}

func (x *exchangeWriter) writeHeld() {
	if x.held.Len() == 0 {
		return
	}
	if x.chunked {
		x.write(fmt.Appendf(nil, "%x\r\n", x.held.Len()))
		x.held.WriteString("\r\n")
	}
	x.write(x.held.Bytes())
	x.held.Reset()
}

func (x *exchangeWriter) write(b []byte) {
	if x.err == nil {
		_, x.err = x.conn.Conn.Write(b)
	}
}

// errShortAnswer marks an answer that ended before its declared length.
var errShortAnswer = errors.New("answer shorter than its length")

// end writes what is left of the answer.
func (x *exchangeWriter) end() error {
	x.WriteHeader(http.StatusOK)
	x.takeTurn()
	if x.hasBody() && x.length >= 0 && x.written < x.length {
		return errShortAnswer
	}
	x.commit(true)
	x.writeHeld()
	if x.chunked {
		x.writeTrailer()
	}
	return x.err
}

func (x *exchangeWriter) writeTrailer() {
	var tail bytes.Buffer
	tail.WriteString("0\r\n")
	for name := range x.trailers() {
		for _, value := range x.header[name] {
			tail.WriteString(name + ": " + value + "\r\n")
		}
	}
	tail.WriteString("\r\n")
	x.write(tail.Bytes())
}

// callerBody is the body of a request. It tells when its end was read.
type callerBody struct {
	io.ReadCloser
	x  *exchangeWriter
	mu sync.Mutex
	// told tells that the caller needs no 100 Continue any more.
	told     bool
	finished bool
	whole    bool
	ended    chan struct{}
}

func newCallerBody(x *exchangeWriter, body io.ReadCloser, expects bool) *callerBody {
	b := &callerBody{ReadCloser: body, x: x, ended: make(chan struct{}), told: !expects}
	if body == nil || body == http.NoBody {
		b.ReadCloser = http.NoBody
		b.finish(true)
	}
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	b.allow()
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer. The rest of the body is left unread.
func (b *callerBody) Close() error { return nil }

// allow tells a caller that waits for it to send the body.
func (b *callerBody) allow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.told {
		return
	}
	b.told = true
	b.x.awaitTurn()
	_, _ = io.WriteString(b.x.conn.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
}

// answered notes that the answer has begun.
func (b *callerBody) answered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = true
}

func (b *callerBody) finish(whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.finished {
		b.finished, b.whole = true, whole
		close(b.ended)
	}
}

// complete reports whether the body was read to its end.
func (b *callerBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.whole
}
