package proptest

import (
	"net"
	"sync/atomic"
	"time"

	"endiverill.example/kernel/connection"
)

// LateConn begins each read when something has arrived and the read deadline has passed, as if
// the process had not run meanwhile.
type LateConn struct {
	*net.TCPConn
	deadline atomic.Int64 // in Unix nanoseconds
}

// NewLateConn returns a LateConn on a TCP connection. Without a read deadline, its reads begin
// when something has arrived.
func NewLateConn(conn net.Conn) *LateConn { return &LateConn{TCPConn: conn.(*net.TCPConn)} }

// SetDeadline sets the deadline of reads and writes.
func (lateConn *LateConn) SetDeadline(deadline time.Time) error {
	lateConn.deadline.Store(deadline.UnixNano())
	return lateConn.TCPConn.SetDeadline(deadline)
}

// SetReadDeadline sets the deadline of reads.
func (lateConn *LateConn) SetReadDeadline(deadline time.Time) error {
	lateConn.deadline.Store(deadline.UnixNano())
	return lateConn.TCPConn.SetReadDeadline(deadline)
}

// Read reads late.
func (lateConn *LateConn) Read(buf []byte) (int, error) {
	for time.Now().UnixNano() < lateConn.deadline.Load() || connection.Peek(lateConn.TCPConn) == connection.Idle {
		time.Sleep(time.Millisecond)
	}
	return lateConn.TCPConn.Read(buf)
}
