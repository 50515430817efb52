package forward

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/intake"
)

// readLeased is readRequest for a request whose memory is charged to the lease. The status
// is 503 if there is no room for it: nothing of it is parsed then, or its header is given
// up midway.
func (c *callerConn) readLeased(limits config.CallerLimits, lease *intake.Lease) (*http.Request, int) {
	c.lease, c.noRoom = lease, false
	defer func() { c.lease = nil }()
	if !c.held.MayBegin() || !lease.Acquire(intake.RequestCost) {
		return nil, http.StatusServiceUnavailable
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if !c.chargeHeader(buffered) {
		return nil, http.StatusServiceUnavailable
	}
	req, status := c.readRequest(limits)
	if c.noRoom {
		return nil, http.StatusServiceUnavailable
	}
	return req, status
}

// chargeHeader charges bytes of a header before they are parsed. It returns false if there
// is no room for them.
func (c *callerConn) chargeHeader(b []byte) bool {
	c.noRoom = c.noRoom || !c.lease.Acquire(intake.HeaderCost(bytes.Count(b, []byte("\n")), len(b)))
	return !c.noRoom
}

// readRequest reads a request header. The returned status is 200 if the request
// is valid, the status of the error response if it is not, and 0 if the
// connection failed or timed out before the header was complete.
func (c *callerConn) readRequest(limits config.CallerLimits) (*http.Request, int) {
	// What is buffered was read before, and may hold more than this header.
	c.headerBytesLeft = max(0, limits.HeaderBytes-c.reader.Buffered())
	c.headerErr = nil
	available := c.reader.Buffered() + c.headerBytesLeft
	req, err := http.ReadRequest(c.reader)
	headerBytes := available - c.headerBytesLeft - c.reader.Buffered()
	c.headerBytesLeft = unlimitedBytes
	readErr := c.headerErr
	c.headerErr = nil
	if err == nil {
		fields, _ := headerSize(req.Header)
		c.lease.Settle(intake.RequestCost + intake.HeaderCost(fields, headerBytes))
	}
	switch {
	case c.headerTooLarge, err == nil && headerBytes > limits.HeaderBytes:
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case err == nil && req.ContentLength > limits.BodyBytes:
		return req, http.StatusRequestEntityTooLarge
	case err == nil:
		return req, c.validateRequest(req)
	case readErr != nil: // net/http takes a part of a line for a whole one
		return nil, 0
	case strings.Contains(err.Error(), "transfer encoding"): // net/http exports no error for this case
		return nil, http.StatusNotImplemented
	default:
		return nil, http.StatusBadRequest
	}
}

// headerSize returns the number of fields of a header, and the bytes of their names and values.
func headerSize(h http.Header) (fields, bytes int) {
	for name, values := range h {
		fields += len(values)
		for _, v := range values {
			bytes += len(name) + len(v)
		}
	}
	return fields, bytes
}

// validateRequest returns 200 if the request header is valid and the status of
// the error response if it is not.
func (c *callerConn) validateRequest(req *http.Request) int {
	hostFields := len(req.Header["Host"])
	switch {
	case c.malformed, req.ProtoMajor != 1, req.ProtoAtLeast(1, 1) && req.Host == "", hostFields > 0:
		return http.StatusBadRequest
	case !httpguts.ValidHostHeader(req.Host):
		return http.StatusBadRequest
	}
	for name, values := range req.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return http.StatusBadRequest
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return http.StatusBadRequest
			}
		}
	}
	return http.StatusOK
}
