package host

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// acceptRetryMin and acceptRetryMax bound the delay after a connection that could not be
	// accepted, as when the process has no descriptor left. It doubles with each failure.
	acceptRetryMin = 5 * time.Millisecond
	acceptRetryMax = 500 * time.Millisecond
)

// retryingListener is a listener whose Accept fails only when it is closed.
type retryingListener struct {
	net.Listener
	// onFailure is called with the first of a series of failures.
	onFailure func(err error)
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for delay := time.Duration(0); ; time.Sleep(delay) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if delay == 0 {
			l.onFailure(err)
		}
		delay = min(max(2*delay, acceptRetryMin), acceptRetryMax)
	}
}
