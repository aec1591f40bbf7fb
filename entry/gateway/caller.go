package gateway

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"endiverill.example/kernel/directory"
)

// callers accepts the connections of callers and closes those that idle.
type callers struct {
	net.Listener
	limits func() directory.Limits
	closed atomic.Bool // idle connections are closed
	mu     sync.Mutex
	open   map[*caller]bool
}

func newCallers(listener net.Listener, limits func() directory.Limits) *callers {
	return &callers{Listener: listener, limits: limits, open: map[*caller]bool{}}
}

// Accept waits for the next caller.
func (callers *callers) Accept() (net.Conn, error) {
	raw, err := callers.Listener.Accept()
	if err != nil {
		return nil, err
	}
	caller := &caller{Conn: raw, callers: callers, opened: time.Now()}
	callers.mu.Lock()
	defer callers.mu.Unlock()
	callers.open[caller] = true
	return caller, nil
}

// shut closes the connections on which no request is under way and which were
// opened before a time; the others end with their answers. New ones are still taken, since the platform sends them
// while it knows no better instance.
func (callers *callers) shut(before time.Time) {
	callers.closed.Store(true)
	callers.mu.Lock()
	defer callers.mu.Unlock()
	for caller := range callers.open {
		if !caller.busy.Load() && !caller.begun.Load() && caller.opened.Before(before) {
			// Closing it here could cut a request that is being read now.
			_ = caller.Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// busy returns how many requests are being read or answered.
func (callers *callers) busy() int {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	count := 0
	for caller := range callers.open {
		if caller.busy.Load() || caller.begun.Load() {
			count++
		}
	}
	return count
}

// refuse takes no further connections or requests; what has been read is still
// answered.
func (callers *callers) refuse() {
	_ = callers.Listener.Close() // that it is closed already is as well
	callers.shut(time.Now())
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	callers *callers
	opened  time.Time
	begun   atomic.Bool // bytes of a request have come
	busy    atomic.Bool // a whole request is being answered
	served  bool        // a request has been answered; used by the reader alone
}

// Read reads under the limits in force: the idle one before a request, and the
// one on slow requests within it. The HTTP library reads on only when the
// answer before has been written.
func (caller *caller) Read(buf []byte) (int, error) {
	if caller.busy.Swap(false) {
		caller.begun.Store(false)
		caller.served = true
	}
	if caller.callers.closed.Load() && caller.served && !caller.begun.Load() {
		return 0, io.EOF
	}
	limits := caller.callers.limits()
	limit := limits.IdleTimeout
	if caller.begun.Load() {
		limit = limits.HeaderTimeout
	}
	deadline := time.Time{}
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	if err := caller.Conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	count, err := caller.Conn.Read(buf)
	if count > 0 {
		caller.begun.Store(true)
	}
	return count, err
}

// Close closes the connection.
func (caller *caller) Close() error {
	caller.callers.mu.Lock()
	delete(caller.callers.open, caller)
	caller.callers.mu.Unlock()
	return caller.Conn.Close()
}

// SyscallConn returns the socket, for the watch on callers that leave.
func (caller *caller) SyscallConn() (syscall.RawConn, error) {
	below, ok := caller.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return below.SyscallConn()
}
