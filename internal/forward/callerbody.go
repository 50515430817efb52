package forward

import (
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// errBodyTooLarge marks a body that exceeds the limit of callers.
var errBodyTooLarge = errors.New("request body exceeds the limit of callers")

// callerBody is the body of a request. It records when its end has been read.
type callerBody struct {
	io.ReadCloser
	x *callerExchange
	// ahead is what was read of the body before and is read again first.
	ahead []byte
	// bytesLeft is the number of bytes that may still be read. Only the reading
	// goroutine uses it.
	bytesLeft int64
	// begun is set when reading has begun. Only the reading goroutine uses it.
	begun bool

	mu sync.Mutex
	// tooLarge is set when the body exceeded its limit.
	tooLarge bool
	// noContinue is set when no 100 Continue is needed, or one has been sent, or
	// the final response has started.
	noContinue bool
	readEnded  bool
	eof        bool
	done       chan struct{}
}

func newCallerBody(x *callerExchange, body io.ReadCloser, expectsContinue bool) *callerBody {
	b := &callerBody{ReadCloser: body, x: x, done: make(chan struct{}), noContinue: !expectsContinue}
	if body == nil || body == http.NoBody {
		b.ReadCloser = http.NoBody
		b.finish(true)
	}
	return b
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if len(b.ahead) > 0 {
		n := copy(p, b.ahead)
		b.ahead = b.ahead[n:]
		return n, nil
	}
	b.sendContinue()
	if !b.begun {
		b.begun = true
		b.x.conn.held.MessageBegun()
	}
	n, err := b.ReadCloser.Read(p)
	if b.bytesLeft -= int64(n); b.bytesLeft < 0 {
		b.mu.Lock()
		b.tooLarge = true
		b.mu.Unlock()
		n, err = 0, errBodyTooLarge
	}
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// bodyTooLarge reports whether the body of a caller's request exceeded its limit.
func bodyTooLarge(r *http.Request) bool {
	b, ok := r.Body.(*callerBody)
	if !ok {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tooLarge
}

// Close implements io.Closer. The rest of the body stays unread.
func (b *callerBody) Close() error { return nil }

// sendContinue sends 100 Continue to a caller that waits for it before it sends
// the body.
func (b *callerBody) sendContinue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.noContinue {
		return
	}
	b.noContinue = true
	b.x.waitForPreceding()
	_, _ = io.WriteString(b.x.conn.Conn, "HTTP/1.1 100 Continue\r\n\r\n")
}

// suppressContinue prevents a 100 Continue after the final response has
// started.
func (b *callerBody) suppressContinue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noContinue = true
}

func (b *callerBody) finish(eof bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readEnded {
		if b.readEnded, b.eof = true, eof; eof {
			b.x.conn.held.MessageEnded()
		}
		close(b.done)
	}
}

// complete reports whether the body was read to its end.
func (b *callerBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}
