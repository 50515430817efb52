package forward

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// field is a header that one hop adds.
type field struct{ name, value string }

// message is a request on its way to the next hop.
type message struct {
	in      *http.Request
	dialect *Dialect
	// atEntry tells that in came from a caller.
	atEntry bool
	// fields are the headers that this hop adds to the end-to-end ones.
	fields []field
	// upload is the body if it is too large to be held, otherwise nil.
	upload *upload
	// body is the whole body if upload is nil.
	body []byte
	// expect makes the receiver decide before the body is sent.
	expect bool
	// once tells that the request must not be repeated.
	once bool
	// retry tells that the request is a retry.
	retry bool
	// caller is the service beside whose instance the request began.
	caller string
}

// lingerTime is how long the sender of a body may take to read an answer that
// came before the end of the body.
const lingerTime = time.Second

// upload is a body that is read while it is sent on. It can be sent once. Its
// handler must call finish before it returns: nothing may read a request's
// body after that.
type upload struct {
	r *http.Request
	w http.ResponseWriter
	// sending is closed when nothing reads the body any more; nil before it
	// was begun.
	sending chan struct{}
}

func newUpload(w http.ResponseWriter, r *http.Request) *upload {
	return &upload{r: r, w: w}
}

// spent reports whether the body can no longer be sent from its start.
func (u *upload) spent() bool {
	return u != nil && u.sending != nil
}

// begin allows the answer to be written while the body is still read.
func (u *upload) begin() {
	u.sending = make(chan struct{})
	_ = http.NewResponseController(u.w).EnableFullDuplex()
}

// ended reports whether nothing reads the body any more.
func (u *upload) ended() bool {
	select {
	case <-u.sending:
		return true
	default:
		return false
	}
}

// finish waits until nothing reads the body. If its sender still sends, it
// gets the time to read the answer.
func (u *upload) finish() {
	if !u.spent() || u.ended() {
		return
	}
	_ = http.NewResponseController(u.w).Flush()
	timer := time.AfterFunc(lingerTime, u.interrupt)
	defer timer.Stop()
	<-u.sending
}

// interrupt ends a Read that waits for the sender.
func (u *upload) interrupt() {
	_ = http.NewResponseController(u.w).SetReadDeadline(past)
}

// drain reads and drops the rest, so that its sender comes to read the answer.
func (u *upload) drain() {
	_, _ = io.Copy(io.Discard, u.r.Body)
}

// writeHead writes the request line and the header, and a small body.
func (m *message) writeHead(w *bufio.Writer) error {
	_, _ = w.WriteString(m.in.Method)
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(target(m.in))
	_, _ = w.WriteString(" HTTP/1.1\r\n")
	writeField(w, "Host", m.in.Host)
	m.writeEndToEnd(w)
	for _, f := range m.fields {
		writeField(w, f.name, f.value)
	}
	m.writeFraming(w)
	_, _ = w.WriteString("\r\n")
	_, err := w.Write(m.body)
	return err
}

func (m *message) writeFraming(w *bufio.Writer) {
	switch {
	case m.upload != nil && m.in.ContentLength < 0:
		writeField(w, "Transfer-Encoding", "chunked")
		for name := range m.in.Trailer {
			if m.dialect.passes(name) {
				writeField(w, "Trailer", name)
			}
		}
	case m.upload != nil:
		writeField(w, "Content-Length", strconv.FormatInt(m.in.ContentLength, 10))
	case len(m.body) > 0 || (m.in.Method != http.MethodGet && m.in.Method != http.MethodHead):
		writeField(w, "Content-Length", strconv.Itoa(len(m.body)))
	}
	if m.expect && m.upload != nil {
		writeField(w, "Expect", "100-continue")
	}
}

func writeField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

// writeUpload writes the streamed body. The error is errBody if its sender
// failed; then nothing marks the end of the body.
func (m *message) writeUpload(w *bufio.Writer) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	chunked := m.in.ContentLength < 0
	for {
		n, err := m.in.Body.Read(*buf)
		if n > 0 {
			if werr := writePart(w, (*buf)[:n], chunked); werr != nil {
				return werr
			}
		}
		switch {
		case err == io.EOF && chunked:
			return m.writeLastChunk(w)
		case err == io.EOF:
			return nil
		case err != nil:
			return errors.Wrapf(errBody, "%v", err)
		}
	}
}

func writePart(w *bufio.Writer, part []byte, chunked bool) error {
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

func (m *message) writeLastChunk(w *bufio.Writer) error {
	_, _ = w.WriteString("0\r\n")
	for name, values := range m.in.Trailer {
		if !m.dialect.passes(name) {
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

var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}
