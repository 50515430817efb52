package forward

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// hungUp reports whether the other side of a connection has closed it, or its direction,
// whatever of its input is unread. It returns false if that cannot be told.
func hungUp(c net.Conn) bool {
	raw := rawConn(c)
	if raw == nil {
		return false
	}
	ended := false
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		ended = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && ended
}

// awaitWatching waits until one of two channels is closed, of which the second one may be nil.
// It calls onHangUp if the other side of the connection closes it meanwhile.
func awaitWatching(c net.Conn, first, second <-chan struct{}, onHangUp func()) {
	ticker := time.NewTicker(hangUpCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-first:
			return
		case <-second:
			return
		case <-ticker.C:
			if hungUp(c) {
				onHangUp()
				ticker.Stop()
			}
		}
	}
}
