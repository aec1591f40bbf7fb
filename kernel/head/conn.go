package head

import (
	"bufio"
	"net"
	"net/http"
)

// Conn is a connection of a client that writes a whole request before it reads the response, and
// reads that before it writes the next one. It reads like the connection that it wraps, but fails at
// a head that is not valid with an error marked with ErrInvalid.
type Conn struct {
	net.Conn
	reader   *bufio.Reader
	awaiting bool  // a head comes next
	checked  int   // bytes of the last head that have not been read
	failed   error // of the head, part of which may have been read
}

// NewConn returns a connection that checks the responses of conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, maxBytes)}
}

// Write writes a part of a request. What has arrived before belongs to no request and is dropped.
func (conn *Conn) Write(buf []byte) (int, error) {
	conn.reader.Reset(conn.Conn)
	conn.awaiting, conn.checked, conn.failed = true, 0, nil
	return conn.Conn.Write(buf)
}

// Read reads a part of a response whose head is valid.
func (conn *Conn) Read(buf []byte) (int, error) {
	if conn.failed != nil {
		return 0, conn.failed
	}
	if conn.awaiting && conn.checked == 0 {
		size, status, err := await(conn.reader)
		if err != nil {
			return conn.fail(buf, err)
		}
		conn.checked, conn.awaiting = size, status < http.StatusOK
	}
	if conn.checked == 0 {
		return conn.reader.Read(buf)
	}
	count, err := conn.reader.Read(buf[:min(len(buf), conn.checked)])
	conn.checked -= count
	return count, err
}

// fail makes this read and later ones fail. If a part of the head has arrived, this read still returns
// the first byte of any head: clients of the HTTP library take an error before that for a connection
// that was closed without a response, and may send the request again.
func (conn *Conn) fail(buf []byte, err error) (int, error) {
	conn.failed = err
	if conn.reader.Buffered() == 0 {
		return 0, err
	}
	return copy(buf, "H"), nil
}
