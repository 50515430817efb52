package forward

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/intake"
)

// field is a header field that is added at one hop.
type field struct{ name, value string }

// outgoingRequest is a request to be sent to the next hop.
type outgoingRequest struct {
	in      *http.Request
	dialect *Dialect
	// fromCaller is set when the request came directly from a caller.
	fromCaller bool
	// fields are the headers that this hop adds to the end-to-end ones.
	fields []field
	// upload is the body if it is too large to keep in memory, otherwise nil.
	upload *upload
	// body is the whole body if upload is nil.
	body []byte
	// expectContinue lets the receiver accept or refuse the request before a body
	// that is streamed is sent, and with offerBody also before one kept in memory.
	expectContinue, offerBody bool
	nonRepeatable             bool
	retry                     bool
	// sendBy is the time from which on the request must not be sent, zero if there is
	// none.
	sendBy time.Time
	// callerService is the service of the instance at which the request
	// entered.
	callerService string
	// use is what the response takes of the link and of memory, nil if the bandwidth of
	// the link is unknown.
	use *linkUse
	// lease is what the request holds.
	lease *intake.Lease
	// mayEnd, if set, is called before the end of a streamed body is sent, and reports
	// whether it may be. Until then the receiver cannot run the request.
	mayEnd func() bool
}

// uploadLingerTimeout is how long the sender of a body gets to read a response
// that was written before the end of the body.
const uploadLingerTimeout = time.Second

// earlyResponseWait is how long a response waits for the end of the body that it may
// have overtaken. The connections would otherwise be closed as if the response had come
// before the end of the body.
const earlyResponseWait = 5 * time.Millisecond

// brokenBodyWait is how long a failed exchange whose sender has left waits for the end of
// reading the body: the error of a body that broke off is known only then.
const brokenBodyWait = 100 * time.Millisecond

// upload is a request body that is streamed to the next hop. It can be sent
// only once. The handler must call waitUntilFinished before it returns, because a
// request body must not be read after that.
type upload struct {
	r *http.Request
	w http.ResponseWriter
	// sendDone is closed when reading of the body has ended. It is nil before
	// sending has started.
	sendDone  chan struct{}
	startedAt time.Time
	// broken is set when the body could not be read to its end, withheld when its end was not
	// sent, and responded when the receiver has responded.
	broken, withheld, responded atomic.Bool
	// mu guards holdUp, which measures the waits for the sender of the body.
	mu     sync.Mutex
	holdUp holdUp
}

func newUpload(w http.ResponseWriter, r *http.Request) *upload {
	return &upload{r: r, w: w}
}

// started reports whether sending has started, after which the body cannot be
// sent from its beginning again.
func (u *upload) started() bool {
	return u != nil && u.sendDone != nil
}

// start marks the upload as started and allows the response to be written while
// the body is still read.
func (u *upload) start() {
	u.sendDone, u.startedAt = make(chan struct{}), time.Now()
	_ = http.NewResponseController(u.w).EnableFullDuplex()
	if x, ok := u.w.(interface{ receiveMore() }); ok {
		x.receiveMore()
	}
}

// read reads a part of the body.
func (u *upload) read(p []byte) (int, error) {
	u.mu.Lock()
	u.holdUp.begin()
	u.mu.Unlock()
	n, err := u.r.Body.Read(p)
	u.mu.Lock()
	u.holdUp.end(minHoldUp)
	u.mu.Unlock()
	return n, err
}

// senderAtFault reports whether an exchange failed because of the sender of the body: the
// body broke off, or the deadline has passed and the wait for the body was most of the time.
func (u *upload) senderAtFault(expired bool) bool {
	switch {
	case !u.started():
		return false
	case u.broken.Load():
		return true
	case !expired || u.finished():
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.holdUp.duration() > time.Since(u.startedAt)/2
}

// isWithheld reports whether the end of the body was not sent.
func (u *upload) isWithheld() bool { return u != nil && u.withheld.Load() }

// recordResponse records that the receiver has responded.
func (u *upload) recordResponse() {
	if u != nil {
		u.responded.Store(true)
	}
}

// finished reports whether reading of the body has ended, completely or not.
func (u *upload) finished() bool {
	select {
	case <-u.sendDone:
		return true
	default:
		return false
	}
}

// awaitEnd waits until reading of the body has ended, for at most the given time. It returns
// at once if sending has not started.
func (u *upload) awaitEnd(limit time.Duration) {
	if !u.started() {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-u.sendDone:
	case <-timer.C:
	}
}

// waitUntilFinished waits until reading of the body has ended. A sender that is
// still sending gets uploadLingerTimeout to read the response.
func (u *upload) waitUntilFinished() {
	if !u.started() || u.finished() {
		return
	}
	_ = http.NewResponseController(u.w).Flush()
	timer := time.AfterFunc(uploadLingerTimeout, u.interruptRead)
	defer timer.Stop()
	<-u.sendDone
}

// interruptRead interrupts a pending read of the body.
func (u *upload) interruptRead() {
	_ = http.NewResponseController(u.w).SetReadDeadline(pastDeadline)
}

// discardRest reads and discards the rest of the body, so that its sender
// finishes and reads the response.
func (u *upload) discardRest() {
	_, _ = io.Copy(io.Discard, u.r.Body)
}

// offersBody reports whether the receiver decides before the body is sent.
func (out *outgoingRequest) offersBody() bool {
	return out.expectContinue && (out.upload != nil || out.offerBody && len(out.body) > 0)
}

// writeRequest writes the request line, the header and, unless it is offered, a body
// kept in memory.
func (out *outgoingRequest) writeRequest(w *bufio.Writer) error {
	_, _ = w.WriteString(out.in.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(requestTarget(out.in))
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeField(w, "Host", out.in.Host)
	out.writeEndToEndHeaders(w)
	for _, f := range out.fields {
		writeField(w, f.name, f.value)
	}
	out.writeFraming(w)
	_, err := w.WriteString("\r\n")
	if out.offersBody() {
		return err
	}
	_, err = w.Write(out.body)
	return err
}

func (out *outgoingRequest) writeFraming(w *bufio.Writer) {
	switch {
	case out.upload != nil && out.in.ContentLength < 0:
		writeField(w, "Transfer-Encoding", "chunked")
		for name := range out.in.Trailer {
			if out.dialect.isEndToEnd(name) {
				writeField(w, "Trailer", name)
			}
		}
	case out.upload != nil:
		writeField(w, "Content-Length", strconv.FormatInt(out.in.ContentLength, 10))
	case len(out.body) > 0 || (out.in.Method != http.MethodGet && out.in.Method != http.MethodHead):
		writeField(w, "Content-Length", strconv.Itoa(len(out.body)))
	}
	if out.offersBody() {
		writeField(w, "Expect", "100-continue")
	}
}

func writeField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

// endsBody reports whether the end of the streamed body may be sent. A receiver that has
// responded is sent it in any case.
func (out *outgoingRequest) endsBody() bool {
	return out.upload.responded.Load() || out.mayEnd == nil || out.mayEnd()
}

// writeUpload writes the streamed body. The error is errBody if reading from
// the sender failed, and errWithheld if the end must not be sent; the end of the body is then
// not marked.
func (out *outgoingRequest) writeUpload(w *bufio.Writer) error {
	buf := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(buf)
	chunked := out.in.ContentLength < 0
	left := out.in.ContentLength
	for {
		n, err := out.upload.read(*buf)
		left -= int64(n)
		if ended := chunked && err == io.EOF || !chunked && n > 0 && left == 0; ended && !out.endsBody() {
			return errWithheld
		}
		if n > 0 {
			if werr := writeBodyPart(w, (*buf)[:n], chunked); werr != nil {
				return werr
			}
		}
		switch {
		case err == io.EOF && chunked:
			return out.writeLastChunk(w)
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrapf(errBody, "%v", err)
		}
	}
}

func writeBodyPart(w *bufio.Writer, part []byte, chunked bool) error {
	if !chunked {
		_, _ = w.Write(part)
		return w.Flush()
	}
	var size [20]byte
	_, _ = w.Write(strconv.AppendInt(size[:0], int64(len(part)), 16))
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(part)
	_, _ = w.WriteString("\r\n")
	return w.Flush()
}

func (out *outgoingRequest) writeLastChunk(w *bufio.Writer) error {
	_, _ = w.WriteString("0\r\n")
	for name, values := range out.in.Trailer {
		if !out.dialect.isEndToEnd(name) {
			continue
		}
		for _, value := range values {
			writeField(w, name, value)
		}
	}
	_, _ = w.WriteString("\r\n")
	return w.Flush()
}

const copyBufferBytes = 32 << 10

var copyBufferPool = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}
