// Package exchange speaks HTTP/1.1 to targets over kept connections. An answer
// is matched to its request by the request's ID, so that bytes which belong to
// no request, or to another one, never reach a caller.
package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout      = 700 * time.Millisecond // leaves time for another target within a caller's patience
	unackedTimeout   = 2 * time.Second        // a peer that acknowledges nothing for that long is unreachable
	probeInterval    = time.Second            // keep-alive probes find connections that went silent
	probeCount       = 2
	idleLife         = 4 * time.Second        // kept connections without a stated time are closed after this
	keepMargin       = 600 * time.Millisecond // taken off the time that a target keeps connections
	bufferSize       = 4096                   // bytes, each way
	maxIdlePerTarget = 64
)

// ErrNotSent marks failures before any byte of a request was sent.
var ErrNotSent = errors.New("the target was not reached")

// conn is a connection to a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	expires time.Time
	used    bool
}

// reset closes the connection so that bytes still on their way are dropped; a
// request that was given up must not reach the target later.
func (conn *conn) reset() {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, the close below is only slower to withdraw
	}
	_ = conn.Close()
}

// Pool keeps connections to targets by their address.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	dials  func()
	closed bool
}

// NewPool returns a pool without connections; dialled is called for each new
// connection.
func NewPool(dialled func()) *Pool {
	return &Pool{idle: map[string][]*conn{}, dials: dialled}
}

func (pool *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		kept := pool.take(address)
		if kept == nil {
			break
		}
		if !stale(kept) {
			kept.used = true
			return kept, nil
		}
		_ = kept.Close() // the peer closed it
	}
	pool.dials()
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         limitUnacked,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrNotSent)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferSize), writer: bufio.NewWriterSize(raw, bufferSize)}, nil
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

func (pool *Pool) take(address string) *conn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	kept := pool.idle[address]
	now := time.Now()
	for len(kept) > 0 {
		last := kept[len(kept)-1]
		kept = kept[:len(kept)-1]
		pool.idle[address] = kept
		if now.Before(last.expires) {
			return last
		}
		_ = last.Close() // its time is over
	}
	return nil
}

// put keeps a connection whose last answer was whole.
func (pool *Pool) put(address string, conn *conn, keep time.Duration) {
	if conn.reader.Buffered() > 0 || keep <= 0 {
		_ = conn.Close() // bytes after the answer belong to no request
		return
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.closed || len(pool.idle[address]) >= maxIdlePerTarget {
		_ = conn.Close()
		return
	}
	conn.expires = time.Now().Add(keep)
	pool.idle[address] = append(pool.idle[address], conn)
}

// Retain closes the idle connections to addresses that are not listed.
func (pool *Pool) Retain(listed map[string]bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	for address, kept := range pool.idle {
		left := kept[:0]
		for _, conn := range kept {
			if !listed[address] || now.After(conn.expires) {
				_ = conn.Close()
				continue
			}
			left = append(left, conn)
		}
		pool.idle[address] = left
		if len(left) == 0 {
			delete(pool.idle, address)
		}
	}
}

// Close closes all idle connections and keeps no more.
func (pool *Pool) Close() {
	pool.Retain(nil)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
}

// stale says whether the peer closed a kept connection or sent bytes on it
// without a request.
func stale(conn *conn) bool {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	return peek(raw) != quiet
}

// PeerState is what a look at a socket shows.
type peerState int

const (
	quiet peerState = iota
	talking
	closed
)

func peek(conn syscall.Conn) peerState {
	raw, err := conn.SyscallConn()
	if err != nil {
		return closed
	}
	state := quiet
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		count, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil || count == 0:
			state = closed
		default:
			state = talking
		}
	})
	if err != nil {
		return closed
	}
	return state
}

// Closed says whether the peer of a connection has closed it; it takes nothing
// from the socket.
func Closed(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	return ok && peek(raw) == closed
}
