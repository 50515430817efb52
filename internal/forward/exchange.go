package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/response"
)

// maxInformationalResponses limits the 1xx responses before the final one.
const maxInformationalResponses = 16

// Exchange is a request whose response header has been received. The code that
// called Pool.Do reads Response.Body and then calls Close.
type Exchange struct {
	Response *http.Response

	dialect *Dialect
	// requestID is the request identifier that the response must carry, empty
	// if none is required.
	requestID string
	pool      *Pool
	// selfDelimited is set when the end of the response does not depend on the
	// end of the connection.
	selfDelimited bool
	conn          *connection
	limit         timeLimit
	stopCancel    func() bool
	upload        *upload
	// uploadErr is the result of the upload, valid once the upload has
	// finished.
	uploadErr error
	// responding is set when a part of the final response has been received.
	responding bool
	// bodyUnsent is set while the receiver decides on a body.
	bodyUnsent bool
	// truncation is the error of a response that was aborted because its body did not end
	// in time or not properly, nil if it was not.
	truncation error
	// unforwarded is the error of a response of which nothing has reached the caller.
	unforwarded error
	// bodyRead is set when the whole body is in memory. held counts what is kept of it,
	// nil if that is not counted.
	bodyRead bool
	held     *heldMemory
	// lease is charged for the body instead if held is nil. It may be nil, too.
	lease *intake.Lease
}

// Do sends the request to the address and reads the response header. The whole
// exchange ends at the deadline or when ctx is cancelled. The error is
// ErrNotSent if no byte was sent, ErrMalformedResponse if a response was
// received that cannot be forwarded, and ErrConnectionLost otherwise. It is
// also ErrDeadlineExpired if the deadline has passed, or if ctx was cancelled shortly
// before it: the sender then left because of the deadline. An ErrNotSent is
// errUnreachable instead if the address cannot be reached. An ErrConnectionLost is
// also errBody if the sender of a streamed body is at fault, and errWithheld if its end was not
// sent.
func (p *Pool) Do(ctx context.Context, deadline time.Time, address string, out *outgoingRequest) (*Exchange, error) {
	limit := newTimeLimit(deadline)
	if limit.expired(ctx) {
		return nil, errors.Mark(errors.Wrap(ErrNotSent, "deadline"), ErrDeadlineExpired)
	}
	c, err := p.acquire(ctx, deadline, address, out.nonRepeatable)
	if errors.Is(err, errUnreachable) {
		return nil, err
	}
	if err != nil {
		return nil, limit.markExpired(ctx, err)
	}
	c.beginExchange()
	x := &Exchange{pool: p, conn: c, limit: limit, upload: out.upload, lease: out.lease, dialect: out.dialect, requestID: out.dialect.RequestID(out.in)}
	if out.use != nil {
		x.held = &out.use.held
	}
	_ = c.SetDeadline(deadline)
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	err = x.roundTrip(ctx, deadline, out)
	switch {
	case err == nil:
		return x, nil
	case errors.Is(err, errTooLate) && x.stopCancel():
		x.conn.endExchange() // a slow backend server would otherwise never get a connection in time
		p.put(x.conn)
	default:
		if ctx.Err() != nil {
			out.upload.awaitEnd(brokenBodyWait)
		}
		if out.upload.senderAtFault(limit.expired(ctx)) {
			err = errors.Mark(err, errBody)
		}
		if out.upload.isWithheld() && !x.responding {
			err = errors.Mark(err, errWithheld)
		}
		x.abort()
	}
	return nil, limit.markExpired(ctx, err)
}

// roundTrip sends the request and reads the response header.
func (x *Exchange) roundTrip(ctx context.Context, deadline time.Time, out *outgoingRequest) error {
	// The process may have been paused since the deadline was checked.
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return errors.Wrap(ErrNotSent, "deadline passed or request cancelled before the first byte")
	}
	if !out.sendBy.IsZero() && !time.Now().Before(out.sendBy) {
		return errors.Mark(errors.Wrap(ErrNotSent, "the connection was not ready in time"), errTooLate)
	}
	if err := x.sendRequest(out); err != nil {
		return err
	}
	if out.offersBody() {
		x.bodyUnsent = true
		resp, err := x.readResponse(out.in, http.StatusContinue)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusContinue {
			return x.acceptResponse(resp)
		}
		x.bodyUnsent = false
		if err := x.sendOfferedBody(out); err != nil {
			return err
		}
	}
	if out.upload != nil {
		out.upload.start()
		go x.sendUpload(out)
	}
	resp, err := x.readResponse(out.in, http.StatusOK)
	if err != nil {
		return err
	}
	out.upload.recordResponse()
	out.upload.awaitEnd(earlyResponseWait)
	return x.acceptResponse(resp)
}

func (x *Exchange) sendRequest(out *outgoingRequest) error {
	err := out.writeRequest(x.conn.writer)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	switch {
	case err == nil:
		return nil
	case x.conn.bytesWritten == 0:
		return errors.Wrapf(ErrNotSent, "%v", err)
	default:
		return errors.Wrapf(ErrConnectionLost, "%v", err)
	}
}

// sendOfferedBody writes a body kept in memory that the receiver has accepted.
func (x *Exchange) sendOfferedBody(out *outgoingRequest) error {
	if out.upload != nil {
		return nil
	}
	_, err := x.conn.writer.Write(out.body)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	if err != nil {
		return errors.Wrapf(ErrConnectionLost, "%v", err)
	}
	return nil
}

// sendUpload writes the streamed body while the response is read concurrently.
func (x *Exchange) sendUpload(out *outgoingRequest) {
	defer close(out.upload.sendDone)
	defer func() {
		if cause := recover(); cause != nil {
			x.uploadErr = errors.Wrapf(errBody, "panic: %v", cause)
			_ = x.conn.Close()
		}
	}()
	// A receiver that does not read for a while is slow, not lost: the deadline of the
	// exchange bounds the wait.
	x.conn.setUserTimeout(0)
	x.uploadErr = out.writeUpload(x.conn.writer)
	switch {
	case x.uploadErr == nil:
		x.conn.setUserTimeout(userTimeout)
	case errors.Is(x.uploadErr, errWithheld):
		out.upload.withheld.Store(true)
		_ = x.conn.Close()
	case errors.Is(x.uploadErr, errBody):
		out.upload.broken.Store(true)
		_ = x.conn.Close() // the receiver must not take a truncated body for a complete one
	default:
		out.upload.discardRest() // the receiver may have responded before the end of the body
	}
}

// readResponse reads response headers up to the first one whose status is final
// or equal to the given status.
func (x *Exchange) readResponse(req *http.Request, status int) (*http.Response, error) {
	x.conn.readLimit = maxResponseHeaderBytes
	defer func() {
		x.responding = x.conn.readLimit < maxResponseHeaderBytes
		x.conn.readLimit = unlimitedBytes
	}()
	for range maxInformationalResponses {
		resp, err := x.conn.readResponse(req)
		if err != nil {
			return nil, readError(err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(ErrMalformedResponse, "unexpected status 101 Switching Protocols")
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == status {
			return resp, nil
		}
	}
	return nil, errors.Wrap(ErrMalformedResponse, "too many informational (1xx) responses")
}

// readError returns the error of this package for one of reading a response. Bytes that are
// no response are an ErrConnectionLost, too: no response was received.
func readError(err error) error {
	switch {
	case errors.Is(err, ErrMalformedResponse), errors.Is(err, ErrConnectionLost):
		return err
	case errors.Is(err, response.ErrMalformed):
		return errors.Mark(errors.Wrapf(ErrMalformedResponse, "%v", err), ErrConnectionLost)
	}
	return errors.Wrapf(ErrConnectionLost, "%v", err)
}

// acceptResponse accepts a response whose end can be told from a lost
// connection. A close-delimited response is accepted only in a dialect with
// signatures, where verifyResponse reads it to its end.
func (x *Exchange) acceptResponse(resp *http.Response) error {
	x.selfDelimited = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
	if !x.selfDelimited && x.dialect.SignatureHeader == "" {
		return errors.Wrap(ErrMalformedResponse, "response with neither Content-Length nor chunked encoding")
	}
	if !x.selfDelimited {
		resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, conn: x.conn}
	}
	x.Response = resp
	x.conn.applyKeepAlive(resp.Header)
	return nil
}

// closeDelimitedBody is the body of a response that ends with its connection. It is
// complete only if the connection was closed in order.
type closeDelimitedBody struct {
	io.ReadCloser
	conn *connection
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.endedInOrder() {
		err = errors.Wrap(ErrConnectionLost, "reset before the end of a response without length")
	}
	return n, err
}

// Sent reports whether the whole request has been sent.
func (x *Exchange) Sent() bool {
	if x.upload == nil {
		return !x.bodyUnsent
	}
	return x.upload.started() && x.upload.finished() && x.uploadErr == nil
}

// Close ends the exchange. The argument tells whether the response was read to
// its end. The connection is reused only if the request was sent completely and
// no data is left on the connection.
func (x *Exchange) Close(complete bool) {
	if !complete || !x.selfDelimited || x.Response.Close || !x.Sent() || x.conn.reader.Buffered() > 0 || !x.stopCancel() {
		x.abort()
		return
	}
	_ = x.Response.Body.Close()
	x.conn.endExchange()
	x.pool.put(x.conn)
}

// abort closes the connection. The buffers are not returned to their pools if
// an upload may still use them.
func (x *Exchange) abort() {
	x.stopCancel()
	x.pool.discard(x.conn)
	if !x.upload.started() {
		x.conn.endExchange()
	}
}
