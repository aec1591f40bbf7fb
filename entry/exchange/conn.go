// Package exchange is an HTTP/1.1 client for targets with a pool of keep-alive
// connections. It passes on only a response that Request.Matches assigns to the
// request, so that late, duplicate or unsolicited bytes on a reused connection
// never reach a caller. Package gateway supplies Matches, chooses the target and
// decides on retries.
package exchange

import (
	"bufio"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"endiverill.example/kernel/connection"
)

const (
	dialTimeout        = 700 * time.Millisecond // leaves time to try another target within a caller's timeout
	userTimeout        = 2 * time.Second        // TCP_USER_TIMEOUT: a peer that acknowledges no data for that long is unreachable
	keepAliveInterval  = time.Second            // of TCP keep-alive probes, which detect dead connections
	keepAliveProbes    = 2                      // unanswered ones after which a connection is dead
	defaultIdleTimeout = 4 * time.Second        // for connections whose target states no Keep-Alive timeout
	idleTimeoutMargin  = 600 * time.Millisecond // subtracted from the target's Keep-Alive timeout, so that this side closes first
	bufferBytes        = 4096                   // of the read and of the write buffer
	maxIdlePerTarget   = 64                     // idle connections
	maxArrivedBytes    = 256 << 10              // of a response, that are read after its deadline; more has not all arrived before it
)

// ErrNotSent marks failures before any byte of a request was sent, so that the
// request has certainly not run.
var ErrNotSent = errors.New("no connection to the target")

// conn is a pooled connection to a target.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	expires time.Time // when it must no longer be reused
	used    bool      // has carried an earlier request
	arrived int       // bytes that the request in progress has read after its deadline

	received atomic.Int64 // bytes that have been read since the dial
}

// Read returns what has arrived before it reports that the deadline has passed, at most
// maxArrivedBytes after it.
func (conn *conn) Read(buf []byte) (int, error) {
	count, err := conn.read(buf)
	conn.received.Add(int64(count))
	return count, err
}

func (conn *conn) read(buf []byte) (int, error) {
	count, err := conn.Conn.Read(buf)
	if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || conn.arrived >= maxArrivedBytes {
		return count, err
	}
	count, err = connection.ReadArrived(conn.Conn, buf[:min(len(buf), maxArrivedBytes-conn.arrived)])
	conn.arrived += count
	return count, err
}

// reset closes the connection with a TCP reset, which discards unsent bytes: a
// cancelled request must not reach the target later.
func (conn *conn) reset() {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, unsent bytes are still sent after the close below
	}
	_ = conn.Close()
}

// Pool holds idle keep-alive connections by target address.
type Pool struct {
	largeBodyBytes atomic.Int64 // of responses that are being read into memory
	mu             sync.Mutex
	idle           map[string][]*conn
	onDial         func()
	onClosed       func(address string)
	closed         bool
}

// NewPool returns an empty pool. It calls onDial before each dial of a new connection, and
// onClosed when the peer has closed an idle one.
func NewPool(onDial func(), onClosed func(address string)) *Pool {
	return &Pool{idle: map[string][]*conn{}, onDial: onDial, onClosed: onClosed}
}

// get returns an idle connection to the address, or dials a new one.
func (pool *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		idle := pool.take(address)
		if idle == nil {
			break
		}
		if !stale(idle) {
			idle.used = true
			return idle, nil
		}
		closed := connection.Peek(idle.Conn) == connection.Closed
		_ = idle.Close() // the peer has closed it or sent unsolicited data
		if closed {
			pool.onClosed(address)
		}
	}
	pool.onDial()
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrNotSent)
	}
	dialed := &conn{Conn: raw, writer: bufio.NewWriterSize(raw, bufferBytes)}
	dialed.reader = bufio.NewReaderSize(dialed, bufferBytes)
	return dialed, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockErr)
}

// take removes the most recently used idle connection to the address that has
// not expired; it returns nil if there is none.
func (pool *Pool) take(address string) *conn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	idle := pool.idle[address]
	now := time.Now()
	for len(idle) > 0 {
		last := idle[len(idle)-1]
		idle = idle[:len(idle)-1]
		pool.idle[address] = idle
		if now.Before(last.expires) {
			return last
		}
		_ = last.Close() // expired
	}
	return nil
}

// put returns a connection whose last response has been read completely to the
// pool, for reuse within the time keep.
func (pool *Pool) put(address string, conn *conn, keep time.Duration) {
	if conn.reader.Buffered() > 0 || keep <= 0 {
		_ = conn.Close() // bytes after the response belong to no request; without time left, it cannot be reused
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

// Retain closes the idle connections that have expired or whose address is not
// listed.
func (pool *Pool) Retain(listed map[string]bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	for address, idle := range pool.idle {
		retained := idle[:0]
		for _, conn := range idle {
			if !listed[address] || now.After(conn.expires) {
				_ = conn.Close()
				continue
			}
			retained = append(retained, conn)
		}
		pool.idle[address] = retained
		if len(retained) == 0 {
			delete(pool.idle, address)
		}
	}
}

// Alive reports whether an idle connection to the address is open, which shows that the
// process there has not ended since the connection was opened.
func (pool *Pool) Alive(address string) bool {
	open, _ := pool.countIdle(address)
	return open > 0
}

// Lost reports whether an error on a connection to the address goes with the loss of all
// others, as when the process there has ended: the connection was refused, or the idle ones
// have been closed as well. Without an idle connection, there is no evidence of a loss.
func (pool *Pool) Lost(address string, err error) bool {
	open, closed := pool.countIdle(address)
	return errors.Is(err, syscall.ECONNREFUSED) || open == 0 && closed > 0
}

func (pool *Pool) countIdle(address string) (open, closed int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, conn := range pool.idle[address] {
		if connection.Peek(conn.Conn) == connection.Closed {
			closed++
		} else {
			open++
		}
	}
	return open, closed
}

// Close closes all idle connections; connections returned later are closed too.
func (pool *Pool) Close() {
	pool.Retain(nil)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.closed = true
}

// stale reports whether the peer has closed an idle connection or has sent
// unsolicited bytes on it.
func stale(conn *conn) bool { return connection.Peek(conn.Conn) != connection.Idle }
