package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/transfer"
)

// delivery is how a response goes to its receiver.
type delivery struct {
	deadline time.Time
	extra    field
	// use is nil if the bandwidth of the link is unknown. sameMachine means that the
	// receiver is reached without the link.
	use         *linkUse
	sameMachine bool
	// request is told when the response has been read, completely or not. It is nil for
	// a response of another proxy.
	request *backendRequest
}

func (d *delivery) reportRead(complete bool) {
	if d.request != nil {
		d.request.reportRead(complete)
	}
}

// relayOverLink is relayResponse on a shared link. The response is read without waiting
// for the receiver, and a large one is sent in pieces.
func (rr *responseRelay) relayOverLink(d delivery) {
	controller := http.NewResponseController(rr.w)
	length := rr.x.Response.ContentLength
	var err error
	if length < 0 || length > transfer.LargeResponseBytes {
		err = rr.relayLarge(controller, d, length)
	} else {
		err = rr.relayShort(controller, d)
	}
	if err != nil {
		rr.recordTruncation(err)
		rr.giveUp(controller, err)
	}
}

// relayLarge forwards a response whose body may be large.
func (rr *responseRelay) relayLarge(controller *http.ResponseController, d delivery, length int64) error {
	ctx, cancel := context.WithDeadline(rr.r.Context(), d.deadline)
	defer cancel()
	defer rr.readLarge(ctx, d)()
	_ = controller.SetWriteDeadline(d.deadline)
	if !d.sameMachine {
		rr.pace = rr.newPace(ctx, d, length)
	}
	if err := rr.write(controller); err != nil {
		return err
	}
	_ = controller.Flush()
	_ = controller.SetWriteDeadline(time.Time{})
	return nil
}

// readLarge makes the body of the response independent of the connection on which it
// arrives, and ends the exchange when it has been read. The function stop has to be
// called when the response is not needed any more.
func (rr *responseRelay) readLarge(ctx context.Context, d delivery) (stop func()) {
	x, ready := rr.x, time.Now()
	if !hasBody(x.Response) || x.bodyRead {
		rr.endRead(d, max(0, x.Response.ContentLength), ready)
		return func() {}
	}
	end := func(bytes int64, complete bool) {
		d.use.learn(x, bytes, ready, complete)
		d.reportRead(complete)
	}
	rr.ahead = startReadAhead(ctx, x, d.use.link.memory, d.deadline, end)
	return rr.ahead.stop
}

// relayShort forwards a response with a short body, which is read first. It needs no
// timer and no goroutine.
func (rr *responseRelay) relayShort(controller *http.ResponseController, d delivery) error {
	ready := time.Now()
	if hasBody(rr.x.Response) && !rr.x.bodyRead {
		if err := rr.readShort(); err != nil {
			rr.x.Close(false)
			d.reportRead(false)
			return err
		}
	}
	rr.endRead(d, rr.x.Response.ContentLength, ready)
	return rr.write(controller)
}

// endRead ends the exchange of a response that is in memory.
func (rr *responseRelay) endRead(d delivery, bytes int64, ready time.Time) {
	rr.x.Close(true)
	rr.bodyEnded = true
	d.use.learn(rr.x, bytes, ready, true)
	d.reportRead(true)
}

// readShort reads a short body into memory.
func (rr *responseRelay) readShort() error {
	resp := rr.x.Response
	body := make([]byte, resp.ContentLength)
	rr.x.held.take(resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return errors.Wrapf(errResponseBody, "%v", err)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// newPace returns the function that waits until a piece of the body may leave. What is
// short, also at the beginning of a body of unknown length, does not wait.
func (rr *responseRelay) newPace(ctx context.Context, d delivery, length int64) *pace {
	return &pace{ctx: ctx, use: d.use, length: length, deadline: d.deadline, pieceBytes: d.use.link.pacer.PieceBytes()}
}

// pace sends a body in pieces.
type pace struct {
	ctx        context.Context
	use        *linkUse
	length     int64
	deadline   time.Time
	pieceBytes int
	sent       int64
}

// await waits until the next n bytes may leave.
func (p *pace) await(n int) error {
	p.sent += int64(n)
	if p.length < 0 && p.sent <= transfer.LargeResponseBytes {
		return nil
	}
	if !p.use.begun {
		p.use.begin(p.length, p.deadline)
	}
	return p.use.await(p.ctx, n)
}

// next reads the next piece of the body. One of unknown length is sent as it arrives.
func (p *pace) next(body io.Reader, buf []byte) (int, error) {
	buf = buf[:min(len(buf), p.pieceBytes)]
	if p.length < 0 {
		return body.Read(buf)
	}
	n, err := io.ReadFull(body, buf)
	if errors.Is(err, io.ErrUnexpectedEOF) && p.sent+int64(n) >= p.length {
		err = io.EOF // the last piece is shorter
	}
	return n, err
}

// sameMachine reports whether the caller is on this machine. Its connection then has the
// machine's own address at both ends.
func sameMachine(w http.ResponseWriter) bool {
	x, ok := w.(*callerExchange)
	if !ok {
		return false
	}
	return sameAddress(x.conn.LocalAddr().String(), x.conn.RemoteAddr().String())
}
