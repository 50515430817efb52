package forward

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/outcome"
)

const (
	// crashChecks is the number of connections tried; the backend server's
	// listener may close a moment after its connections.
	crashChecks        = 3
	crashCheckInterval = 10 * time.Millisecond
	crashCheckTimeout  = 100 * time.Millisecond
)

// crashReason tells a backend server that has ended from a connection that
// was lost.
func (l *Local) crashReason(ctx context.Context, reason outcome.Reason) outcome.Reason {
	if reason != outcome.ConnectionLost {
		return reason
	}
	for range crashChecks {
		if l.connectionRefused(ctx) {
			return outcome.Crashed
		}
		select {
		case <-time.After(crashCheckInterval):
		case <-ctx.Done():
			return reason
		}
	}
	return reason
}

// connectionRefused reports whether the backend server refuses a connection.
func (l *Local) connectionRefused(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
