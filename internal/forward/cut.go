package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// CutCause tells why a connection of a caller ended without a complete response to a
// request.
type CutCause string

// Causes of a cut.
const (
	// CutUnread means that bytes arrived after the connection had stopped accepting
	// requests. They were discarded unread, and nothing was run.
	CutUnread CutCause = "unread"
	// CutDiscarded means that the request was read, but its connection stopped
	// accepting requests before it was started. Nothing was run.
	CutDiscarded CutCause = "discarded"
	// CutByCaller means that the caller disconnected first.
	CutByCaller CutCause = "caller-disconnected"
	// CutByShutdown means that the limit of a shutdown was reached.
	CutByShutdown CutCause = "shutdown-limit"
	// CutResponse means that the response could not be forwarded to its end.
	CutResponse CutCause = "response-aborted"
	// CutWrite means that writing the response failed or took too long.
	CutWrite CutCause = "write-failed"
)

// CutCauses lists all causes.
var CutCauses = []CutCause{CutUnread, CutDiscarded, CutByCaller, CutByShutdown, CutResponse, CutWrite}

// Cut describes a request whose connection ended without a complete response.
type Cut struct {
	Cause CutCause
	// Caller is the address of the caller.
	Caller string
	// Request is nil if the request was not read.
	Request *http.Request
	// Age is the time since the request was read, 0 if it was not.
	Age time.Duration
	// ResponseStarted means that the caller has received a part of the response.
	ResponseStarted bool
}

func (s *CallerServer) reportCut(c Cut) {
	if s.OnCut != nil {
		s.OnCut(c)
	}
}

// reportCut reports that the connection ends without a complete response to the
// request. The caller counts as disconnected only if nothing else ended the request.
func (x *callerExchange) reportCut(cause CutCause) {
	switch {
	case x.conn.server.isClosed(), errors.Is(context.Cause(x.req.Context()), errShuttingDown):
		cause = CutByShutdown
	case x.req.Context().Err() != nil:
		cause = CutByCaller
	case x.err != nil:
		cause = CutWrite
	}
	x.conn.server.reportCut(Cut{
		Cause:           cause,
		Caller:          x.req.RemoteAddr,
		Request:         x.req,
		Age:             time.Since(x.startedAt),
		ResponseStarted: x.headerWritten,
	})
}
