package rpc

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/connection"
)

// link is the transport of a connection to a peer. It knows whether the peer has sent what
// has yet to be handed on to the call that waits for it, as after a time in which the process
// did not run.
type link struct {
	net.Conn
	raw syscall.RawConn

	mu         sync.Mutex
	waiting    bool      // all that was read is handed on, and the socket held no more
	receivedAt time.Time // of the last bytes
}

func newLink(conn *net.TCPConn) (*link, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &link{Conn: conn, raw: raw}, nil
}

// Read reads from the socket. Drpc has handed on what it read before, since its reader waits
// until each message is taken.
func (link *link) Read(buf []byte) (int, error) {
	count, readErr := 0, error(nil)
	err := link.raw.Read(func(fd uintptr) bool {
		count, readErr = link.receive(int(fd), buf)
		return !errors.Is(readErr, syscall.EAGAIN)
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, readErr
	case count == 0 && len(buf) > 0:
		return 0, io.EOF
	}
	return count, nil
}

// receive reads without blocking. The lock lets no other goroutine see the socket empty while
// its bytes are not yet marked as received.
func (link *link) receive(fd int, buf []byte) (int, error) {
	link.mu.Lock()
	defer link.mu.Unlock()
	count, err := syscall.Read(fd, buf)
	for errors.Is(err, syscall.EINTR) {
		count, err = syscall.Read(fd, buf)
	}
	link.waiting = errors.Is(err, syscall.EAGAIN)
	if count > 0 {
		link.receivedAt = time.Now()
	}
	return count, err
}

// pending reports whether the peer has sent something that has yet to be handed on.
func (link *link) pending() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return !link.waiting || connection.Peek(link.Conn) == connection.Readable
}

func (link *link) lastReceived() time.Time {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.receivedAt
}

// handOnInterval is the time between two looks whether what a peer has sent is handed on.
const handOnInterval = time.Millisecond

// readingContext ends like its parent, except that a deadline first lets what the peer has sent
// be handed on.
type readingContext struct{ context.Context }

// newReadingContext returns a context for a unary call on the link, and a function that
// releases it.
func newReadingContext(ctx context.Context, link *link) (readingContext, func()) {
	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		for errors.Is(ctx.Err(), context.DeadlineExceeded) && link.pending() && inner.Err() == nil {
			time.Sleep(handOnInterval)
		}
		cancel(ctx.Err())
	})
	return readingContext{inner}, func() {
		stop()
		cancel(context.Canceled)
	}
}

// Err returns the error of the parent once the context has ended.
func (readingContext readingContext) Err() error { return context.Cause(readingContext.Context) }
