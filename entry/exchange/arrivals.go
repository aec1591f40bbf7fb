package exchange

import (
	"sync"

	"endiverill.example/kernel/connection"
)

// Arrivals reports what a target has sent for one request, by looks into the socket of its
// connection. It is safe for concurrent use.
type Arrivals struct {
	mu   sync.Mutex
	conn *conn // that carries the request, nil before and afterwards
	seen int64 // how much had arrived on conn at the last look of Advanced
}

func (arrivals *Arrivals) setConn(conn *conn) {
	arrivals.mu.Lock()
	defer arrivals.mu.Unlock()
	arrivals.conn, arrivals.seen = conn, 0
}

// Unread reports whether bytes, or the target's end of the connection, have arrived and have not
// been read.
func (arrivals *Arrivals) Unread() bool {
	arrivals.mu.Lock()
	defer arrivals.mu.Unlock()
	return arrivals.conn != nil && connection.Peek(arrivals.conn.Conn) != connection.Idle
}

// Advanced reports whether something that has not been read has arrived since the last call.
// What lies unread because the caller does not take it counts once.
func (arrivals *Arrivals) Advanced() bool {
	arrivals.mu.Lock()
	defer arrivals.mu.Unlock()
	if arrivals.conn == nil {
		return false
	}
	read := arrivals.conn.received.Load() // before the look: bytes that are read meanwhile must not count twice
	waiting := int64(connection.Waiting(arrivals.conn.Conn))
	if waiting == 0 || read+waiting <= arrivals.seen {
		return false
	}
	arrivals.seen = read + waiting
	return true
}
