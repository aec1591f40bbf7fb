package connection

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// StopAccepting closes a listener once its backlog is empty: closing it resets the connections
// in the backlog, although they may hold requests. While some wait to be accepted, it calls
// pause, and closes the listener nevertheless when pause returns false.
func StopAccepting(listener net.Listener, pause func() bool) error {
	for HasBacklog(listener) && pause() {
	}
	return listener.Close()
}

// HasBacklog reports whether a connection waits to be accepted.
func HasBacklog(listener net.Listener) bool { return ready(listener, unix.POLLIN) }

// Writable reports whether a connection takes more bytes now, without waiting.
func Writable(conn net.Conn) bool { return ready(conn, unix.POLLOUT) }

// ready reports whether the socket of a listener or connection is ready for one of the events
// now. One without a socket, or that is closed, is not.
func ready(socket any, events int16) bool {
	holder, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(fd uintptr) {
		// An interrupted poll counts as none ready, as it does not wait.
		count, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: events}}, 0)
	})
	return err == nil && count > 0
}
