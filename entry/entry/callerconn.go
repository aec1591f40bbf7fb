package entry

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/connection"
)

// callerConn is a connection of a caller. It tracks whether a request is being read or
// answered, and reads what has arrived before it obeys a deadline that has passed.
type callerConn struct {
	net.Conn
	listener *callerListener
	openedAt time.Time

	mu           sync.Mutex
	received     bool      // any byte was received
	inRequest    bool      // bytes were received since the last answer
	ending       bool      // the instance stops: no further request is awaited
	readDeadline time.Time // as set by the HTTP library
	answeredAt   time.Time // when the last bytes of an answer were written
	endReason    string    // why the entry ends the connection by itself, empty if it does not
}

// expiredDeadline is a read deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// SetReadDeadline sets the deadline for reads. It has no effect on a connection that is
// ending and on which no request has begun.
func (callerConn *callerConn) SetReadDeadline(deadline time.Time) error {
	callerConn.mu.Lock()
	defer callerConn.mu.Unlock()
	callerConn.readDeadline = deadline
	return callerConn.applyReadDeadline()
}

func (callerConn *callerConn) applyReadDeadline() error {
	if callerConn.ending && !callerConn.inRequest {
		return callerConn.Conn.SetReadDeadline(expiredDeadline)
	}
	return callerConn.Conn.SetReadDeadline(callerConn.readDeadline)
}

// endIfIdle ends the wait for a next request. Its reader takes what has arrived, and closes
// the connection only if that is nothing.
func (callerConn *callerConn) endIfIdle(now time.Time) {
	callerConn.mu.Lock()
	defer callerConn.mu.Unlock()
	if callerConn.ending || !callerConn.received && now.Sub(callerConn.openedAt) < firstRequestGrace {
		return
	}
	callerConn.ending = true
	_ = callerConn.applyReadDeadline() // fails only on a connection that is closed
}

// Read reads what has arrived, also after the read deadline.
func (callerConn *callerConn) Read(buf []byte) (int, error) {
	count, err := connection.Read(callerConn.Conn, buf)
	callerConn.mu.Lock()
	defer callerConn.mu.Unlock()
	if count > 0 {
		callerConn.received = true
		if !callerConn.inRequest {
			callerConn.inRequest = true
			if callerConn.ending {
				return count, callerConn.applyReadDeadline()
			}
		}
		return count, err
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		callerConn.endReason = callerConn.timeoutReason()
	}
	if err != nil && !callerConn.received && !errors.Is(err, io.EOF) {
		// The HTTP library writes no answer after this error. A caller could take one
		// for the answer to its first request.
		return 0, net.ErrClosed
	}
	return count, err
}

func (callerConn *callerConn) timeoutReason() string {
	switch {
	case callerConn.inRequest:
		return "read_timeout"
	case callerConn.ending:
		return "stop"
	case callerConn.received:
		return "idle_timeout"
	default:
		return "first_request_timeout"
	}
}

// interimAnswer begins an answer after which the body of the same request is read.
var interimAnswer = []byte("HTTP/1.1 100 ")

// Write writes a part of an answer. The HTTP library reads the next request only after it
// has written the answer, so a read after a write is that of another request.
func (callerConn *callerConn) Write(buf []byte) (int, error) {
	count, err := connection.Write(callerConn.Conn, buf, callerConn.listener.entry.server.WriteTimeout)
	callerConn.mu.Lock()
	defer callerConn.mu.Unlock()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		callerConn.endReason = "write_timeout"
	}
	if !bytes.HasPrefix(buf, interimAnswer) {
		callerConn.inRequest = false
		callerConn.answeredAt = time.Now()
	}
	return count, err
}

// SetWriteDeadline does nothing. The HTTP library sets one deadline for a whole answer, which
// may be a stream; each write has a deadline of its own instead.
func (callerConn *callerConn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection and logs why if the entry ends it by itself.
func (callerConn *callerConn) Close() error {
	callerConn.listener.remove(callerConn)
	callerConn.mu.Lock()
	reason, answeredAt := callerConn.endReason, callerConn.answeredAt
	callerConn.endReason = ""
	callerConn.mu.Unlock()
	if reason != "" {
		now := time.Now()
		unread := connection.Unread(callerConn.Conn)
		entry := callerConn.listener.entry
		entry.Metrics().Add("callers.ended."+reason, 1)
		entry.log.Infof("ended the connection of caller %s: %s, age %v, %v since its last answer, %d bytes unread",
			callerConn.RemoteAddr(), reason, now.Sub(callerConn.openedAt), now.Sub(answeredAt), unread)
	}
	return callerConn.Conn.Close()
}

// SyscallConn returns the underlying socket, which watchCaller polls for a closed
// connection.
func (callerConn *callerConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := callerConn.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return inner.SyscallConn()
}
