package connection

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Refused reports whether connections to an address, HOST:PORT, are refused, since nothing listens
// there. It waits at most for the timeout for each address of the host. A refusal that came while
// this process did not run is read, whatever the time.
func Refused(ctx context.Context, address string, timeout time.Duration) (bool, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return false, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return false, err
	}
	lookupCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	hosts, err := net.DefaultResolver.LookupNetIP(lookupCtx, "ip", host)
	if err != nil {
		return false, err
	}
	refused := false
	for _, host := range hosts {
		err = connect(netip.AddrPortFrom(host.Unmap(), uint16(port)), timeout)
		if err == nil {
			return false, nil
		}
		refused = refused || errors.Is(err, unix.ECONNREFUSED)
	}
	if refused {
		return true, nil
	}
	return false, err
}

// connect opens a connection and closes it. The standard library's dialer would report a deadline
// that has passed without a look at the socket.
func connect(address netip.AddrPort, timeout time.Duration) error {
	family, port := unix.AF_INET6, int(address.Port())
	var sockaddr unix.Sockaddr = &unix.SockaddrInet6{Port: port, Addr: address.Addr().As16()}
	if address.Addr().Is4() {
		family, sockaddr = unix.AF_INET, &unix.SockaddrInet4{Port: port, Addr: address.Addr().As4()}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer func() { _ = unix.Close(fd) }() // nothing is sent on it
	err = unix.Connect(fd, sockaddr)
	if !errors.Is(err, unix.EINPROGRESS) && !errors.Is(err, unix.EINTR) {
		return err
	}
	return awaitConnect(fd, timeout)
}

// awaitConnect waits until a connection is open or has failed. At the end of the timeout, the
// system looks at the socket once more.
func awaitConnect(fd int, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for {
		left := max(time.Until(end), 0)
		count, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}, int(left.Milliseconds()))
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return err
		case count > 0:
			return connectError(fd)
		case left < time.Millisecond:
			return unix.ETIMEDOUT
		}
	}
}

func connectError(fd int) error {
	code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || code == 0 {
		return err
	}
	return unix.Errno(code)
}
