// Package rpc makes and answers drpc calls over TCP between entries and agents, and
// among entries. It pools the connections to each peer and reports the message sizes of
// the unary calls that it makes. The messages and their encoding are those of package
// wire; retries are left to callers.
package rpc

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"endiverill.example/kernel/wire"
)

const (
	dialTimeout           = time.Second
	idleConnTimeout       = time.Minute
	maxIdleConnsPerPeer   = 128
	maxIdleConns          = 4096
	idleStreamBufferBytes = 64 << 10             // streams release larger buffers after use
	softCancelGrace       = 5 * time.Millisecond // a cancelled call whose current send takes longer closes the connection
)

// ErrNotSent marks calls that failed before any byte was sent, so that the peer
// cannot have run them.
var ErrNotSent = errors.New("call not sent: no connection to the peer")

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: wire.MaxMessageBytes},
		Stream:          drpcstream.Options{MaximumBufferSize: idleStreamBufferBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// Pool makes calls over reusable connections to peers. It is safe for concurrent use.
type Pool struct {
	pool  *drpcpool.Pool[string, drpcpool.Conn]
	count func(call string, bytes int)
}

// countingEncoding reports the size of each message that it encodes or decodes.
type countingEncoding struct {
	wire.Encoding
	call  string
	count func(call string, bytes int)
}

// Marshal encodes msg and reports its size.
func (countingEncoding countingEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := countingEncoding.Encoding.Marshal(msg)
	countingEncoding.count(countingEncoding.call, len(data))
	return data, err
}

// Unmarshal decodes data into msg and reports its size.
func (countingEncoding countingEncoding) Unmarshal(data []byte, msg drpc.Message) error {
	countingEncoding.count(countingEncoding.call, len(data))
	return countingEncoding.Encoding.Unmarshal(data, msg)
}

// NewPool returns a pool without connections. Count is called with the size in bytes
// of each request and each answer of unary calls; streams are not counted.
func NewPool(count func(call string, bytes int)) *Pool {
	return &Pool{count: count, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleConnTimeout, Capacity: maxIdleConns, KeyCapacity: maxIdleConnsPerPeer,
	})}
}

// Close closes the idle connections.
func (pool *Pool) Close() { _ = pool.pool.Close() }

func (pool *Pool) conn(ctx context.Context, address string) drpc.Conn {
	return pool.pool.Get(ctx, address, dial)
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrNotSent)
	}
	link, err := newLink(netConn.(*net.TCPConn))
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrNotSent)
	}
	return peerConn{drpcconn.NewWithOptions(link, drpcconn.Options{Manager: managerOptions()}), link}, nil
}

// peerConn is a connection that is not used again after a unary call that got no answer in
// time, since it may have gone silent. Calls that are cancelled do not close it.
type peerConn struct {
	*drpcconn.Conn
	link *link
}

// Invoke makes a unary call. An answer that has arrived by the deadline of ctx is read first.
func (peerConn peerConn) Invoke(ctx context.Context, rpc string, encoding drpc.Encoding, in, out drpc.Message) error {
	callCtx, release := newReadingContext(ctx, peerConn.link)
	defer release()
	err := peerConn.Conn.Invoke(callCtx, rpc, encoding, in, out)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		_ = peerConn.Close() // the error of the call is the one to report
	}
	return err
}

// Invoke makes a unary call and decodes the answer into out.
func (pool *Pool) Invoke(ctx context.Context, address, call string, in, out wire.Message) error {
	return pool.conn(ctx, address).Invoke(ctx, call, countingEncoding{call: call, count: pool.count}, in, out)
}

// InvokeSized is like Invoke and also returns the size of request and answer together,
// in bytes.
func (pool *Pool) InvokeSized(ctx context.Context, address, call string, in, out wire.Message) (int, error) {
	size := 0
	count := func(call string, bytes int) {
		size += bytes
		pool.count(call, bytes)
	}
	err := pool.conn(ctx, address).Invoke(ctx, call, countingEncoding{call: call, count: count}, in, out)
	return size, err
}

// Stream is the answer to a call, as a sequence of messages.
type Stream struct {
	drpc.Stream
	link *link
}

// Pending reports whether the peer has sent something that has yet to be received from the
// stream.
func (stream *Stream) Pending() bool { return stream.link.pending() }

// LastReceived returns when this process last read anything from the peer's connection.
func (stream *Stream) LastReceived() time.Time { return stream.link.lastReceived() }

// streamKey is the key of the context value that takes the link of a new stream.
type streamKey struct{}

// NewStream begins a call whose answer is a sequence of messages.
func (peerConn peerConn) NewStream(ctx context.Context, rpc string, encoding drpc.Encoding) (drpc.Stream, error) {
	if stream, ok := ctx.Value(streamKey{}).(*Stream); ok {
		stream.link = peerConn.link
	}
	return peerConn.Conn.NewStream(ctx, rpc, encoding)
}

// OpenStream sends a request and returns the stream on which the frames of its answer arrive.
func (pool *Pool) OpenStream(ctx context.Context, address, call string, in wire.Message) (*Stream, error) {
	stream := &Stream{}
	inner, err := pool.conn(ctx, address).NewStream(context.WithValue(ctx, streamKey{}, stream), call, wire.Encoding{})
	if err != nil {
		return nil, err
	}
	stream.Stream = inner
	if err := stream.MsgSend(in, wire.Encoding{}); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// Handler answers one call, whose messages are received and sent on stream.
type Handler func(stream drpc.Stream) error

// Unary returns a handler for unary calls. It receives the request, calls answer with
// it, and sends the message that answer returns.
func Unary[In any, Out wire.Message, InPtr interface {
	*In
	wire.Message
}](answer func(ctx context.Context, in InPtr) (Out, error),
) Handler {
	return func(stream drpc.Stream) error {
		in := InPtr(new(In))
		if err := stream.MsgRecv(in, wire.Encoding{}); err != nil {
			return err
		}
		out, err := answer(stream.Context(), in)
		if err != nil {
			return err
		}
		return stream.MsgSend(out, wire.Encoding{})
	}
}

// Handlers maps the path of each call that a process answers to its handler.
type Handlers map[string]Handler

// HandleRPC passes the call to its handler. It fails when no handler is registered for
// rpc.
func (handlers Handlers) HandleRPC(stream drpc.Stream, rpc string) error {
	handler, ok := handlers[rpc]
	if !ok {
		return errors.Newf("no handler is registered for call %q", rpc)
	}
	return handler(stream)
}

// Serve accepts connections on listener and answers their calls until ctx ends.
func Serve(ctx context.Context, listener net.Listener, handlers Handlers) error {
	server := drpcserver.NewWithOptions(handlers, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, listener)
}
