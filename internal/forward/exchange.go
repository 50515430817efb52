package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// maxInformational bounds the 1xx answers before the final one.
const maxInformational = 16

// Exchange is a request that was sent and whose answer's header has arrived.
// Its user reads Response.Body and then calls Close.
type Exchange struct {
	Response *http.Response

	dialect *Dialect
	// id is what the answer's request identifier must be, "" for any.
	id   string
	pool *Pool
	// framed tells that the answer's end does not depend on the connection's.
	framed bool
	conn   *connection
	stop   func() bool
	upload *upload
	// sendErr is set when the upload has ended.
	sendErr error
}

// Do sends the message to the address and reads the answer's header. The
// whole exchange ends at the deadline or when ctx is cancelled. The error is
// ErrNotSent if provably no byte was sent, ErrBadAnswer if an answer came that
// cannot be passed on, and ErrLost otherwise; it is ErrExpired besides if the
// deadline was the cause.
func (p *Pool) Do(ctx context.Context, deadline time.Time, address string, m *message) (*Exchange, error) {
	if !time.Now().Before(deadline) {
		return nil, errors.Mark(errors.Wrap(ErrNotSent, "deadline"), ErrExpired)
	}
	c, err := p.acquire(ctx, deadline, address, m.once)
	if err != nil {
		return nil, markExpired(err, deadline)
	}
	c.begin()
	x := &Exchange{pool: p, conn: c, upload: m.upload, dialect: m.dialect, id: m.dialect.id(m.in)}
	_ = c.SetDeadline(deadline)
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	if err := x.run(ctx, deadline, m); err != nil {
		x.abort()
		return nil, markExpired(err, deadline)
	}
	return x, nil
}

func markExpired(err error, deadline time.Time) error {
	if time.Now().Before(deadline) {
		return err
	}
	return errors.Mark(err, ErrExpired)
}

// run sends the message and reads the answer's header.
func (x *Exchange) run(ctx context.Context, deadline time.Time, m *message) error {
	// The process may have been paused since the deadline was checked.
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return errors.Wrap(ErrNotSent, "expired or cancelled")
	}
	if err := x.sendHead(m); err != nil {
		return err
	}
	if m.upload != nil && m.expect {
		resp, err := x.receive(m.in, http.StatusContinue)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusContinue {
			return x.accept(resp)
		}
	}
	if m.upload != nil {
		m.upload.begin()
		go x.sendUpload(m)
	}
	resp, err := x.receive(m.in, http.StatusOK)
	if err != nil {
		return err
	}
	return x.accept(resp)
}

func (x *Exchange) sendHead(m *message) error {
	err := m.writeHead(x.conn.writer)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	switch {
	case err == nil:
		return nil
	case x.conn.written == 0:
		return errors.Wrapf(ErrNotSent, "%v", err)
	default:
		return errors.Wrapf(ErrLost, "%v", err)
	}
}

// sendUpload writes the streamed body beside the reader of the answer.
func (x *Exchange) sendUpload(m *message) {
	defer close(m.upload.sending)
	x.sendErr = m.writeUpload(x.conn.writer)
	switch {
	case x.sendErr == nil:
	case errors.Is(x.sendErr, errBody):
		_ = x.conn.Close() // the receiver must not take the body for whole
	default:
		m.upload.drain() // the receiver may have answered early
	}
}

// receive reads headers up to the first with at least the given status.
func (x *Exchange) receive(req *http.Request, status int) (*http.Response, error) {
	x.conn.readLimit = maxAnswerHead
	defer func() { x.conn.readLimit = unlimitedBytes }()
	for range maxInformational {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if errors.Is(err, ErrBadAnswer) {
			return nil, err
		}
		if err != nil {
			return nil, errors.Wrapf(ErrLost, "%v", err)
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.Wrap(ErrBadAnswer, "protocol switched")
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == status {
			return resp, nil
		}
	}
	return nil, errors.Wrap(ErrBadAnswer, "too many informational answers")
}

// accept takes the answer if its end can be told from a lost connection.
func (x *Exchange) accept(resp *http.Response) error {
	x.framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
	if !x.framed && x.dialect.Signature == "" {
		return errors.Wrap(ErrBadAnswer, "answer without length")
	}
	x.Response = resp
	x.conn.announce(resp.Header)
	return nil
}

// Sent reports whether the whole request has been sent.
func (x *Exchange) Sent() bool {
	if x.upload == nil {
		return true
	}
	return x.upload.spent() && x.upload.ended() && x.sendErr == nil
}

// Close ends the exchange; complete tells that the answer was read to its end.
// The connection is kept if the request was sent whole and nothing is left on
// it.
func (x *Exchange) Close(complete bool) {
	if !complete || !x.framed || x.Response.Close || !x.Sent() || x.conn.reader.Buffered() > 0 || !x.stop() {
		x.abort()
		return
	}
	_ = x.Response.Body.Close()
	x.conn.end()
	x.pool.put(x.conn)
}

// abort closes the connection. The buffers stay with an upload that may still
// use them.
func (x *Exchange) abort() {
	x.stop()
	x.pool.discard(x.conn)
	if !x.upload.spent() {
		x.conn.end()
	}
}
