// Package response reads HTTP/1.1 responses strictly by RFC 9110 and RFC 9112. It decides
// for all clients of the system what is a response: the status line, the names and values of
// fields, the framing and the trailers are checked before net/http interprets them, which
// lets some malformed ones through and then reads another message than the one sent.
package response

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"

	"github.com/cockroachdb/errors"
)

// Errors returned by this package. Use errors.Is to test for them.
var (
	// ErrMalformed reports bytes that are not a well-formed response. Nothing that follows
	// them on the connection can be interpreted.
	ErrMalformed = errors.New("malformed HTTP response")
	// ErrHeadTooLong reports a head that does not fit into the buffer of its reader.
	ErrHeadTooLong = errors.New("head of the HTTP response does not fit into the buffer")
)

// Read reads the head of a response to the request, like http.ReadResponse. The error is
// ErrMalformed, ErrHeadTooLong, which leaves the head unread, or that of r. The trailers of
// the response are checked when its body has been read; an error of the body that is not
// ErrMalformed is that of r or of the chunked encoding.
func Read(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	if _, _, err := scanHead(r); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil { // the whole head is in the buffer, so that this is not an error of r
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &chunkedBody{chunks: httputil.NewChunkedReader(r), r: r, resp: resp}
	}
	return resp, nil
}

// Enlarge returns a reader with a buffer of the given size that continues r, which reads
// from src. The size must exceed that of r.
func Enlarge(r *bufio.Reader, src io.Reader, size int) *bufio.Reader {
	buffered, _ := r.Peek(r.Buffered())
	return bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), src), size)
}

// chunkedBody is a body in chunks, followed by trailers.
type chunkedBody struct {
	chunks io.Reader
	r      *bufio.Reader
	resp   *http.Response
	err    error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		err = b.readTrailers()
	}
	b.err = err
	return n, err
}

// Close implements io.Closer. The rest of the body stays unread.
func (b *chunkedBody) Close() error { return nil }

// readTrailers reads the trailers into the response. It returns io.EOF if they are well
// formed.
func (b *chunkedBody) readTrailers() error {
	if _, err := scanTrailers(b.r); err != nil {
		return err
	}
	fields, err := textproto.NewReader(b.r).ReadMIMEHeader()
	if err != nil {
		return errors.Wrapf(ErrMalformed, "trailers: %v", err)
	}
	if b.resp.Trailer == nil && len(fields) > 0 {
		b.resp.Trailer = make(http.Header, len(fields))
	}
	for name, values := range fields {
		b.resp.Trailer[name] = values
	}
	return io.EOF
}
