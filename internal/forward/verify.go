package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxVerified is the size up to which an answer is held until it is
	// complete, so that a part of one is never passed on.
	maxVerified = 256 << 10
	// maxStrays bounds the answers to other requests that are skipped.
	maxStrays = 4
)

// whole reads and verifies an answer of a dialect with signatures, so that one
// that is lost on its way, also between proxies, ends an attempt and not the
// caller's connection. Other answers are passed on as they come.
func (x *Exchange) whole(deadline time.Time) error {
	if x.dialect.Signature == "" {
		return nil
	}
	if err := x.verify(); err != nil {
		x.abort()
		return markExpired(err, deadline)
	}
	return nil
}

// verify reads the answer to its end and checks that it belongs to the request
// and is whole. A success without the backend server's signature is none.
func (x *Exchange) verify() error {
	for range maxStrays {
		if x.id == "" || x.Response.Header.Get(x.dialect.RequestID) == x.id {
			return x.hold()
		}
		if err := x.skip(); err != nil {
			return err
		}
	}
	return errors.Wrap(ErrBadAnswer, "answers to other requests")
}

// skip drops an answer to another request and reads the next one. An answer
// without an identifier is not known to be complete, so nothing can follow it.
func (x *Exchange) skip() error {
	if x.Response.Header.Get(x.dialect.RequestID) == "" || x.Response.Close {
		return errors.Wrap(ErrBadAnswer, "answer to no request")
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxVerified)); err != nil {
		return errors.Wrapf(ErrLost, "%v", err)
	}
	resp, err := x.receive(x.Response.Request, http.StatusOK)
	if err != nil {
		return err
	}
	return x.accept(resp)
}

// hold reads the body into memory, unless it is too large.
func (x *Exchange) hold() error {
	resp := x.Response
	if resp.StatusCode/100 == 2 && resp.Header.Get(x.dialect.Signature) == "" {
		return errors.Wrap(ErrBadAnswer, "success without signature")
	}
	if resp.ContentLength > maxVerified {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxVerified+1))
	if err != nil {
		return errors.Wrapf(ErrLost, "%v", err)
	}
	if len(body) > maxVerified {
		if !x.framed {
			return errors.Wrap(ErrBadAnswer, "long answer without length")
		}
		resp.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), resp.Body))
		return nil
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	if resp.Request.Method != http.MethodHead {
		resp.ContentLength = int64(len(body))
		resp.TransferEncoding = nil
		resp.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	return nil
}
