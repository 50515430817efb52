package forward

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maxCopied is the size up to which an answer of unknown length is held for a
// caller of HTTP/1.0, which can see the end of an answer only by its length.
const maxCopied = 64 << 10

// smallAnswer is the size up to which an answer fits into the buffers below,
// so that writing it does not wait for its receiver.
const smallAnswer = 16 << 10

// relay writes an answer to its receiver and ends the exchange. It panics
// with http.ErrAbortHandler if the answer broke off, so that the receiver sees
// an aborted connection and never a clean end of a partial answer.
func relay(w http.ResponseWriter, r *http.Request, x *Exchange, deadline time.Time, extra field) {
	a := answer{w: w, r: r, x: x}
	a.setHeader(extra)
	small := x.Response.ContentLength >= 0 && x.Response.ContentLength <= smallAnswer
	controller := http.NewResponseController(w)
	if !small {
		_ = controller.SetWriteDeadline(deadline)
	}
	if err := a.write(controller); err != nil {
		x.Close(false)
		a.abort(controller)
	}
	if !small {
		_ = controller.Flush()
		_ = controller.SetWriteDeadline(time.Time{})
	}
	x.Close(true)
}

// answer is an answer on its way to its receiver.
type answer struct {
	w http.ResponseWriter
	r *http.Request
	x *Exchange
	// unframed tells that only the connection's end marks the answer's end.
	unframed bool
}

func (a *answer) setHeader(extra field) {
	h := a.w.Header()
	resp := a.x.Response
	dialect := a.x.dialect
	dialect.copyEndToEnd(h, resp.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the library from guessing one
	}
	extra.set(h)
	if !a.x.Sent() {
		h["Connection"] = []string{"close"} // what is left of the body is no request
	}
	for name := range resp.Trailer {
		if dialect.passes(name) {
			h.Add("Trailer", name)
		}
	}
}

// write passes the header, the body and the trailers on.
func (a *answer) write(controller *http.ResponseController) error {
	resp := a.x.Response
	if resp.ContentLength < 0 && resp.Body != http.NoBody && !a.r.ProtoAtLeast(1, 1) {
		return a.writeOld()
	}
	a.w.WriteHeader(resp.StatusCode)
	if err := copyBody(a.w, resp.Body, controller, resp.ContentLength < 0); err != nil {
		return err
	}
	for name, values := range resp.Trailer {
		if a.x.dialect.passes(name) {
			a.w.Header()[name] = values
		}
	}
	return nil
}

// writeOld answers a caller of HTTP/1.0, for which chunks do not exist.
func (a *answer) writeOld() error {
	resp := a.x.Response
	delete(a.w.Header(), "Trailer")
	held, err := io.ReadAll(io.LimitReader(resp.Body, maxCopied))
	if err != nil {
		return err
	}
	a.unframed = len(held) == maxCopied
	if !a.unframed {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(held)))
	}
	a.w.WriteHeader(resp.StatusCode)
	if _, err := a.w.Write(held); err != nil {
		return err
	}
	return copyBody(a.w, resp.Body, nil, false)
}

// abort breaks the receiver's connection. If only its end would mark the end
// of the answer, it is reset.
func (a *answer) abort(controller *http.ResponseController) {
	if a.x.upload.spent() {
		a.x.upload.interrupt()
	}
	if a.unframed {
		if r, ok := a.w.(interface{ Reset() }); ok {
			r.Reset()
		}
	}
	panic(http.ErrAbortHandler)
}

func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// copyBody streams an answer to its receiver in bounded memory.
func copyBody(w http.ResponseWriter, body io.Reader, controller *http.ResponseController, flush bool) error {
	if body == http.NoBody {
		return nil
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return werr
			}
			if flush {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
