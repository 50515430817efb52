package forward

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// hungUp reports whether the other side of a connection has closed it, or its direction,
// whatever of its input is unread. It returns false if that cannot be told.
func hungUp(c net.Conn) bool {
	return socketEvents(rawConn(c), unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// socketEvents returns those of the events that have occurred at a socket, besides POLLHUP
// and POLLERR, which are always included: the connection has ended in both directions, or
// failed. It returns 0 if that cannot be told, also if raw is nil.
func socketEvents(raw syscall.RawConn, events int16) (occurred int16) {
	if raw == nil {
		return 0
	}
	err := raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			occurred = fds[0].Revents
		}
	})
	if err != nil {
		return 0
	}
	return occurred
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
