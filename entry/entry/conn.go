package entry

import (
	"net"
	"sync/atomic"
	"syscall"
)

// callerListener hands out connections that remember whether a byte came.
type callerListener struct {
	net.Listener
}

// Accept waits for the next caller.
func (callerListener callerListener) Accept() (net.Conn, error) {
	conn, err := callerListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	spoke atomic.Bool
}

// Read reads, and remembers that the caller has sent something.
func (callerConn *callerConn) Read(buf []byte) (int, error) {
	count, err := callerConn.Conn.Read(buf)
	if count > 0 && !callerConn.spoke.Load() {
		callerConn.spoke.Store(true)
	}
	return count, err
}

// SyscallConn returns the socket below, for the watch on callers that leave.
func (callerConn *callerConn) SyscallConn() (syscall.RawConn, error) {
	below, ok := callerConn.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return below.SyscallConn()
}

// silent says whether the connection has brought no byte at all.
func silent(conn net.Conn) bool {
	caller, ok := conn.(*callerConn)
	return ok && !caller.spoke.Load()
}
