// Package connection reads what has arrived on a connection before a deadline ends the read.
// A process that did not run for a while finds both when it runs again: the deadline over, and
// in the socket what came before it. The standard library reports the deadline without a look
// at the socket.
package connection

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// State is what a connection holds for its reader.
type State int

// The states.
const (
	Idle     State = iota // open, with no bytes to read
	Readable              // bytes to read
	Closed                // closed by the peer or failed, with no bytes to read
)

// Peek returns the state of a connection without reading from it. A connection that has no
// socket counts as idle.
func Peek(conn net.Conn) State {
	var buf [1]byte
	count, err := receive(conn, buf[:], syscall.MSG_PEEK)
	switch {
	case count > 0:
		return Readable
	case err == nil, errors.Is(err, syscall.EAGAIN), errors.Is(err, errNoSocket):
		return Idle
	default:
		return Closed
	}
}

// Unread returns how many bytes a connection holds for its reader, at most maxUnread.
func Unread(conn net.Conn) int {
	buf := make([]byte, maxUnread)
	count, _ := receive(conn, buf, syscall.MSG_PEEK) // an error means that there are none
	return count
}

// maxUnread limits what Unread counts.
const maxUnread = 4096

// Waiting returns how many bytes a connection holds for its reader: 1 if only the peer's end waits.
func Waiting(conn net.Conn) int {
	switch Peek(conn) {
	case Idle:
		return 0
	case Closed:
		return 1
	}
	count := 0
	err := control(conn, func(fd uintptr) (err error) {
		count, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		return err
	})
	if err != nil {
		return 0 // the connection has been closed here meanwhile
	}
	return count
}

// Read reads like conn.Read. If the read deadline has passed, it first returns what has arrived,
// without waiting; os.ErrDeadlineExceeded means that nothing had, and io.EOF that the peer had
// closed the connection.
func Read(conn net.Conn, buf []byte) (int, error) {
	count, err := conn.Read(buf)
	if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return count, err
	}
	return ReadArrived(conn, buf)
}

// Conn is a connection whose reads are those of Read.
type Conn struct{ net.Conn }

// Read reads what has arrived before it reports that the read deadline has passed.
func (conn Conn) Read(buf []byte) (int, error) { return Read(conn.Conn, buf) }

// ReadArrived reads what has arrived, without waiting and whatever the deadline. It returns
// os.ErrDeadlineExceeded if there is nothing.
func ReadArrived(conn net.Conn, buf []byte) (int, error) {
	count, err := receive(conn, buf, 0)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, errNoSocket) {
		return 0, os.ErrDeadlineExceeded
	}
	return count, err
}

// Write writes buf, each time with a new deadline after timeout. When one has passed, Write fails
// only if the peer has taken nothing meanwhile and the socket takes no more now.
func Write(conn net.Conn, buf []byte, timeout time.Duration) (int, error) {
	written := 0
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		count, err := conn.Write(buf[written:])
		written += count
		if count == 0 && !Writable(conn) || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

var errNoSocket = errors.New("the connection has no socket")

// receive receives from the socket of a connection without waiting, whatever its deadline. It
// returns syscall.EAGAIN if there is nothing to read, and io.EOF at the end.
func receive(conn net.Conn, buf []byte, flags int) (int, error) {
	count := 0
	err := control(conn, func(fd uintptr) (err error) {
		for {
			count, _, err = syscall.Recvfrom(int(fd), buf, flags|syscall.MSG_DONTWAIT)
			if !errors.Is(err, syscall.EINTR) {
				return err
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case count == 0 && len(buf) > 0:
		return 0, io.EOF
	}
	return count, nil
}

// control calls use with the file descriptor of a connection. It returns an error of its own if
// the connection has no socket or has been closed here.
func control(conn net.Conn, use func(fd uintptr) error) error {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return errNoSocket
	}
	useErr := error(nil)
	if err := raw.Control(func(fd uintptr) { useErr = use(fd) }); err != nil {
		return err
	}
	return useErr
}
