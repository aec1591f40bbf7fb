package entry

import (
	"context"
	"net"
	"syscall"
	"time"
)

const gonePeriod = 200 * time.Millisecond

// watchCaller cancels the request when its caller closes the connection, until
// ctx ends.
func watchCaller(ctx context.Context, conn net.Conn, cancel context.CancelFunc) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	ticker := time.NewTicker(gonePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if closedByPeer(raw) {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// closedByPeer looks at the socket without taking anything from it.
func closedByPeer(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		count, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && count == 0 || err == syscall.ECONNRESET
	})
	return err != nil || closed
}
