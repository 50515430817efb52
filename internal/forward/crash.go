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
	// maxCrashChecks is the number of connection attempts. More than one is
	// needed because the listener of a crashed backend server may close
	// slightly later than its connections.
	maxCrashChecks     = 3
	crashCheckInterval = 10 * time.Millisecond
	crashCheckTimeout  = 100 * time.Millisecond
)

// crashReason returns outcome.BackendServerCrashed instead of
// outcome.ConnectionLost if the backend server refuses new connections, which
// means that its process has ended. It returns any other reason unchanged.
func (l *LocalForwarder) crashReason(ctx context.Context, reason outcome.Reason) outcome.Reason {
	if reason != outcome.ConnectionLost {
		return reason
	}
	for range maxCrashChecks {
		if l.connectionRefused(ctx) {
			return outcome.BackendServerCrashed
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
func (l *LocalForwarder) connectionRefused(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
