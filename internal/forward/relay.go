package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/response"
)

// maxHTTP10BufferBytes is the size up to which a response of unknown length is
// buffered for an HTTP/1.0 caller, which detects a truncated response only by
// its Content-Length.
const maxHTTP10BufferBytes = 64 << 10

// smallResponseBytes is the size up to which a response fits into the write
// buffers, so that writing it does not wait for its receiver.
const smallResponseBytes = 16 << 10

// relayResponse forwards a response to its receiver and ends the exchange. If
// the response cannot be forwarded completely it panics with
// http.ErrAbortHandler, so that the receiver sees an aborted connection and not a
// complete response. If none of it has reached a caller, it sets x.unforwarded and
// returns instead: another response can be written.
func relayResponse(w http.ResponseWriter, r *http.Request, x *Exchange, d delivery) {
	if b, ok := w.(interface{ beginRelay() }); ok {
		b.beginRelay()
	}
	rr := responseRelay{w: w, r: r, x: x, startedAt: time.Now(), deadline: d.deadline, bodyEnded: x.bodyRead || !hasBody(x.Response)}
	rr.setHeader(d.extra)
	if d.use != nil && x.Sent() {
		rr.relayOverLink(d)
		return
	}
	small := x.Response.ContentLength >= 0 && x.Response.ContentLength <= smallResponseBytes
	controller := http.NewResponseController(w)
	if !small {
		_ = controller.SetWriteDeadline(d.deadline)
	}
	if err := rr.write(controller); err != nil {
		rr.recordTruncation(err)
		x.Close(false)
		d.reportRead(false)
		rr.giveUp(controller, err)
		return
	}
	if !small {
		_ = controller.Flush()
		_ = controller.SetWriteDeadline(time.Time{})
	}
	x.Close(true)
	d.reportRead(true)
}

// responseRelay is a response that is being forwarded to its receiver.
type responseRelay struct {
	w                   http.ResponseWriter
	r                   *http.Request
	x                   *Exchange
	startedAt, deadline time.Time
	// bodyEnded is set when the body has been read to its end, and holdUp measures the
	// writes to the receiver. ahead replaces both if the body is read ahead.
	bodyEnded bool
	holdUp    holdUp
	ahead     *readAhead
	// written counts the bytes of the body that were written, and turnCame is set when the
	// preceding responses of the connection are written.
	written  int
	turnCame bool
	// closeDelimited is set when the end of the response is marked only by the
	// end of the connection.
	closeDelimited bool
	// pace sends the body in pieces, nil if it is not paced.
	pace *pace
}

func (rr *responseRelay) setHeader(extra field) {
	h := rr.w.Header()
	resp := rr.x.Response
	dialect := rr.x.dialect
	dialect.copyEndToEndHeaders(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from guessing the type
	}
	extra.addTo(h)
	if !rr.x.Sent() {
		h["Connection"] = []string{"close"} // the rest of the body must not be taken for a request
	}
	for name := range resp.Trailer {
		if dialect.isEndToEnd(name) {
			h.Add("Trailer", name)
		}
	}
}

// write forwards the header, the body and the trailers.
func (rr *responseRelay) write(controller *http.ResponseController) error {
	resp := rr.x.Response
	if resp.ContentLength < 0 && resp.Body != http.NoBody && !rr.r.ProtoAtLeast(1, 1) {
		return rr.writeHTTP10()
	}
	rr.w.WriteHeader(resp.StatusCode)
	if err := rr.copyBody(controller, resp.ContentLength < 0); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		if rr.x.dialect.isEndToEnd(name) {
			rr.w.Header()[name] = values
		}
	}
	return nil
}

// writeHTTP10 forwards a response to an HTTP/1.0 caller, which does not support
// chunked encoding.
func (rr *responseRelay) writeHTTP10() error {
	resp := rr.x.Response
	delete(rr.w.Header(), "Trailer")
	buffered, err := io.ReadAll(io.LimitReader(resp.Body, maxHTTP10BufferBytes))
	if err != nil {
		return bodyError(err)
	}
	rr.closeDelimited = len(buffered) == maxHTTP10BufferBytes
	rr.bodyEnded = !rr.closeDelimited
	if !rr.closeDelimited {
		rr.w.Header().Set("Content-Length", strconv.Itoa(len(buffered)))
	}
	rr.w.WriteHeader(resp.StatusCode)
	if _, err := rr.w.Write(buffered); err != nil {
		return err
	}
	return rr.copyBody(nil, false)
}

// recordTruncation records why a response could not be forwarded, if its backend server is at
// fault.
func (rr *responseRelay) recordTruncation(err error) {
	if rr.backendAtFault(err) {
		rr.x.truncation = err
	}
}

// giveUp ends a response that could not be forwarded because of err.
func (rr *responseRelay) giveUp(controller *http.ResponseController, err error) {
	ctx := rr.r.Context()
	if w, ok := rr.w.(interface{ Discard() bool }); ok && ctx.Err() == nil && w.Discard() {
		if rr.x.truncation == nil {
			err = errors.Mark(err, errHeldUp)
		}
		rr.x.unforwarded = rr.x.limit.markExpired(ctx, err)
		return
	}
	rr.abort(controller)
}

// abort aborts the connection to the receiver. If the response is
// close-delimited, the connection is reset, because a normal close would mark
// the response as complete.
func (rr *responseRelay) abort(controller *http.ResponseController) {
	if rr.x.upload.started() {
		rr.x.upload.interruptRead()
	}
	if rr.closeDelimited {
		if r, ok := rr.w.(interface{ Reset() }); ok {
			r.Reset()
		}
	}
	panic(http.ErrAbortHandler)
}

func resetConn(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// copyBody streams the response body to its receiver with a fixed-size buffer.
func (rr *responseRelay) copyBody(controller *http.ResponseController, flush bool) error {
	body := rr.x.Response.Body
	if body == http.NoBody {
		return nil
	}
	buf := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(buf)
	for {
		n, err := rr.readPart(body, *buf)
		rr.bodyEnded = rr.bodyEnded || err == io.EOF
		if n > 0 {
			if werr := rr.writePart((*buf)[:n], controller, flush); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return bodyError(err)
		}
	}
}

// bodyError returns the error of a body that could not be read to its end.
func bodyError(err error) error {
	if errors.Is(err, response.ErrMalformed) {
		err = readError(err)
	}
	return errors.Mark(errors.Wrap(err, "response body"), errResponseBody)
}

func (rr *responseRelay) readPart(body io.Reader, buf []byte) (int, error) {
	if rr.pace == nil {
		return body.Read(buf)
	}
	return rr.pace.next(body, buf)
}

// awaitTurn waits for the preceding responses of the connection if writing the next n bytes
// of the body would send the header. It fails if the rest of the body cannot be read any
// more by then.
func (rr *responseRelay) awaitTurn(n int, flush bool) error {
	rr.written += n
	w, ok := rr.w.(interface{ AwaitTurn() })
	if !ok || rr.turnCame || !flush && rr.pace == nil && rr.written <= maxBufferedResponseBytes {
		return nil
	}
	w.AwaitTurn()
	rr.turnCame = true
	if _, complete := rr.progress(); complete || time.Now().Before(rr.deadline) {
		return nil
	}
	return errors.Wrap(context.DeadlineExceeded, "waiting for preceding responses")
}

// writePart writes a part of the body. It is flushed if flush is set or the body is paced,
// unless there is no controller.
func (rr *responseRelay) writePart(part []byte, controller *http.ResponseController, flush bool) error {
	if rr.pace != nil {
		if err := rr.pace.await(len(part)); err != nil {
			return err
		}
	}
	rr.holdUp.begin()
	defer rr.holdUp.end(minHoldUp)
	if err := rr.awaitTurn(len(part), flush); err != nil {
		return err
	}
	_, err := rr.w.Write(part)
	if err != nil || controller == nil || !flush && rr.pace == nil {
		return err
	}
	if err := controller.Flush(); !errors.Is(err, http.ErrNotSupported) {
		return err
	}
	return nil
}
