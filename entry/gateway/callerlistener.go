package gateway

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/connection"
	"endiverill.example/kernel/directory"
)

// callerListener accepts the callers' connections, applies the read timeouts in
// force to them and closes idle ones.
type callerListener struct {
	net.Listener
	limits  func() directory.Limits
	onClose func(closed closedConn)
	closing atomic.Bool // a connection on which a request has been answered is closed instead of awaiting the next
	mu      sync.Mutex
	conns   map[*callerConn]bool
}

// closedConn is a caller's connection that this instance closes by itself.
type closedConn struct {
	reason    closeReason
	age       time.Duration
	sinceLast time.Duration // since the last answer, 0 if there was none
	unread    int           // bytes that the socket holds
}

// closeReason is why this instance closes a caller's connection.
type closeReason string

const (
	closedIdle      closeReason = "idle timeout"
	closedInRequest closeReason = "timeout within a request"
	closedStopping  closeReason = "planned stop"
	closedAnswered  closeReason = "after an answer"
)

// metric returns the last part of the name of the metric that counts such closes.
func (closeReason closeReason) metric() string {
	switch closeReason {
	case closedIdle:
		return "idle"
	case closedInRequest:
		return "in_request"
	case closedStopping:
		return "stopping"
	default:
		return "answered"
	}
}

func newCallerListener(listener net.Listener, limits func() directory.Limits, onClose func(closed closedConn)) *callerListener {
	return &callerListener{Listener: listener, limits: limits, onClose: onClose, conns: map[*callerConn]bool{}}
}

// Accept waits for the next connection and registers it.
func (callerListener *callerListener) Accept() (net.Conn, error) {
	raw, err := callerListener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	callerConn := &callerConn{Conn: raw, listener: callerListener, opened: time.Now()}
	callerListener.mu.Lock()
	defer callerListener.mu.Unlock()
	callerListener.conns[callerConn] = true
	return callerConn, nil
}

// closeIdle closes the connections that have no request in progress and were
// opened before the given time; the others close after their next response. New
// connections are still accepted, since the platform keeps opening them until it
// has selected another instance.
func (callerListener *callerListener) closeIdle(before time.Time) {
	callerListener.closing.Store(true)
	callerListener.mu.Lock()
	defer callerListener.mu.Unlock()
	for callerConn := range callerListener.conns {
		if !callerConn.answering.Load() && !callerConn.reading.Load() && callerConn.opened.Before(before) {
			// The expired deadline ends a reader that waits for a request, unless one has
			// arrived. Closing the connection here could cut off a request that is being read.
			_ = callerConn.Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// activeRequests returns the number of requests being read or answered, or waiting to be read.
func (callerListener *callerListener) activeRequests() int {
	callerListener.mu.Lock()
	defer callerListener.mu.Unlock()
	count := 0
	for callerConn := range callerListener.conns {
		if callerConn.active() {
			count++
		}
	}
	return count
}

// open returns the number of connections. One without a request may still read one until its
// reader has closed it.
func (callerListener *callerListener) open() int {
	callerListener.mu.Lock()
	defer callerListener.mu.Unlock()
	return len(callerListener.conns)
}

// stopAccepting closes the listener once its backlog is empty or pause, called while it is not,
// returns false. Connections that have been accepted stay open.
func (callerListener *callerListener) stopAccepting(pause func() bool) {
	_ = connection.StopAccepting(callerListener.Listener, pause) // it may be closed already
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	listener  *callerListener
	opened    time.Time
	reading   atomic.Bool // bytes of a request have been read
	answering atomic.Bool // a complete request is being answered

	// The following fields are accessed only by the reading goroutine, which also closes.
	served     bool // a request has been answered
	answeredAt time.Time
	readErr    error // of the last read
	closed     bool
}

// active reports whether a request is being read or answered, or bytes of one have arrived.
func (callerConn *callerConn) active() bool {
	return callerConn.answering.Load() || callerConn.reading.Load() || connection.Peek(callerConn) == connection.Readable
}

// Read applies the timeouts in force, each to a single read: the idle timeout
// before a request, and the header timeout within its header and body. The HTTP
// library reads the next request only after it has written the previous response,
// so a Read while answering is set means that the response has been written.
func (callerConn *callerConn) Read(buf []byte) (int, error) {
	count, err := callerConn.read(buf)
	if count > 0 {
		callerConn.reading.Store(true)
	}
	callerConn.readErr = err
	if errors.Is(err, errStopping) {
		return count, io.EOF // the HTTP library compares
	}
	return count, err
}

func (callerConn *callerConn) read(buf []byte) (int, error) {
	if callerConn.answering.Swap(false) {
		callerConn.reading.Store(false)
		callerConn.served, callerConn.answeredAt = true, time.Now()
	}
	stopping := callerConn.listener.closing.Load() && callerConn.served && !callerConn.reading.Load()
	for {
		deadline := callerConn.deadline(stopping)
		if err := callerConn.Conn.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		count, err := connection.Read(callerConn.Conn, buf)
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
		case stopping:
			err = errStopping
		case callerConn.reading.Load() && (deadline.IsZero() || time.Now().Before(deadline)):
			continue // ended by closeIdle, which looked before the request began
		}
		return count, err
	}
}

// deadline returns when the next read ends. A stopping instance takes only what has arrived.
func (callerConn *callerConn) deadline(stopping bool) time.Time {
	limits := callerConn.listener.limits()
	limit := limits.IdleTimeout
	if callerConn.reading.Load() {
		limit = limits.HeaderTimeout
	}
	switch {
	case stopping:
		return time.Unix(1, 0)
	case limit > 0:
		return time.Now().Add(limit)
	default:
		return time.Time{}
	}
}

// errStopping ends the connection of a caller that has sent no further request.
var errStopping = errors.New("the instance is stopping")

// Close closes the connection and unregisters it. A connection that the caller has not closed
// is reported to the listener's owner.
func (callerConn *callerConn) Close() error {
	if !callerConn.closed {
		callerConn.closed = true
		if reason := callerConn.closeReason(); reason != "" {
			callerConn.listener.onClose(callerConn.describe(reason))
		}
	}
	callerConn.listener.mu.Lock()
	delete(callerConn.listener.conns, callerConn)
	callerConn.listener.mu.Unlock()
	return callerConn.Conn.Close()
}

// closeReason returns why this instance closes the connection, "" if the caller has closed it.
func (callerConn *callerConn) closeReason() closeReason {
	timedOut := errors.Is(callerConn.readErr, os.ErrDeadlineExceeded)
	switch {
	case errors.Is(callerConn.readErr, errStopping), timedOut && callerConn.listener.closing.Load():
		return closedStopping
	case timedOut && callerConn.reading.Load():
		return closedInRequest
	case timedOut:
		return closedIdle
	case callerConn.readErr != nil || connection.Peek(callerConn) == connection.Closed:
		return ""
	default:
		return closedAnswered
	}
}

func (callerConn *callerConn) describe(reason closeReason) closedConn {
	now := time.Now()
	closed := closedConn{reason: reason, age: now.Sub(callerConn.opened), unread: connection.Unread(callerConn)}
	if callerConn.served {
		closed.sinceLast = now.Sub(callerConn.answeredAt)
	}
	return closed
}

// SyscallConn returns the raw socket, by which callerWatch detects that the
// caller has disconnected.
func (callerConn *callerConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := callerConn.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return raw.SyscallConn()
}
