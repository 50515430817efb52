package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/transfer"
)

const (
	// maxVerifiedBodyBytes is the size up to which a response body is buffered
	// until it is complete, so that a truncated one is not forwarded.
	maxVerifiedBodyBytes = 256 << 10
	// maxMismatchedResponses limits the responses to other requests that are
	// skipped.
	maxMismatchedResponses = 4
)

// verifyResponse reads and verifies the response if the dialect has signatures. A
// body of up to maxVerifiedBodyBytes that is truncated, by the backend server or
// between proxies, then fails the attempt instead of aborting the caller's
// connection. Larger bodies, and all responses of a dialect without signatures,
// are streamed.
func (x *Exchange) verifyResponse(ctx context.Context) error {
	if x.dialect.SignatureHeader == "" {
		return nil
	}
	if err := x.findMatchingResponse(ctx); err != nil {
		x.abort()
		return x.limit.markExpired(ctx, err)
	}
	return nil
}

// findMatchingResponse reads responses until one belongs to the request, and
// buffers and verifies that one.
func (x *Exchange) findMatchingResponse(ctx context.Context) error {
	for range maxMismatchedResponses {
		if x.requestID == "" || x.Response.Header.Get(x.dialect.RequestIDHeader) == x.requestID {
			return x.bufferBody(ctx)
		}
		if err := x.skipMismatched(); err != nil {
			return err
		}
	}
	return errors.Wrap(ErrMalformedResponse, "received only responses to other requests")
}

// skipMismatched discards a response to another request and reads the next one.
// A response without a request identifier is an error, because it is not known
// to be complete and no response can be read after it.
func (x *Exchange) skipMismatched() error {
	if x.Response.Header.Get(x.dialect.RequestIDHeader) == "" || x.Response.Close {
		return errors.Wrap(ErrMalformedResponse, "cannot skip a response without request identifier or with Connection: close")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxVerifiedBodyBytes))
	switch {
	case err != nil:
		return readError(err)
	case n == maxVerifiedBodyBytes:
		return errors.Wrap(ErrMalformedResponse, "response to another request too large to skip")
	}
	resp, err := x.readResponse(x.Response.Request, http.StatusOK)
	if err != nil {
		return err
	}
	return x.acceptResponse(resp)
}

// bufferBody reads the body into memory unless it is too large. A 2xx response
// without the backend server's signature is an error, and so is a close-delimited
// response that is too large.
func (x *Exchange) bufferBody(ctx context.Context) error {
	resp := x.Response
	if resp.StatusCode/100 == 2 && resp.Header.Get(x.dialect.SignatureHeader) == "" {
		return errors.Wrap(ErrMalformedResponse, "2xx response without signature")
	}
	if resp.ContentLength > maxVerifiedBodyBytes {
		return nil
	}
	body, err := x.readVerified(ctx)
	if err != nil {
		return err
	}
	if len(body) > maxVerifiedBodyBytes {
		if !x.selfDelimited {
			return errors.Wrap(ErrMalformedResponse, "close-delimited response too large to verify")
		}
		resp.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body), resp.Body))
		return nil
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	x.bodyRead = true
	if resp.Request.Method != http.MethodHead {
		resp.ContentLength = int64(len(body))
		resp.TransferEncoding = nil
		resp.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	return nil
}

// readVerified reads up to maxVerifiedBodyBytes+1 bytes of the body into memory. On a
// shared link the memory is counted, and that of a large body is acquired at once: a
// response that holds a part and waits for more could keep others waiting for ever.
func (x *Exchange) readVerified(ctx context.Context) ([]byte, error) {
	resp := x.Response
	if x.held != nil && hasBody(resp) {
		n := resp.ContentLength
		if n < 0 {
			return x.readUnknownLength(ctx)
		}
		if err := x.held.acquire(ctx, x.limit.refuseAt(), n); err != nil {
			return nil, err
		}
	}
	body, err := readUpTo(resp.Body, maxVerifiedBodyBytes+1)
	if x.held == nil && x.lease != nil {
		x.lease.Take(int64(len(body)))
	}
	return body, err
}

// readUnknownLength is readVerified for a body of unknown length, of which the first
// bytes need no memory to be free.
func (x *Exchange) readUnknownLength(ctx context.Context) ([]byte, error) {
	body := x.Response.Body
	x.held.take(transfer.LargeResponseBytes)
	first, err := readUpTo(body, transfer.LargeResponseBytes)
	if err != nil || len(first) < transfer.LargeResponseBytes {
		return first, err
	}
	const rest = maxVerifiedBodyBytes + 1 - transfer.LargeResponseBytes
	if err := x.held.acquire(ctx, x.limit.refuseAt(), rest); err != nil {
		return nil, err
	}
	second, err := readUpTo(body, rest)
	x.held.release(rest - int64(len(second)))
	return append(first, second...), err
}

func readUpTo(body io.Reader, n int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, n))
	if err != nil {
		return nil, readError(err)
	}
	return data, nil
}
