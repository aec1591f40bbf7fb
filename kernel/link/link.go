// Package link carries messages between the system's own processes by drpc
// over TCP.
package link

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
	dialTimeout    = time.Second
	idleExpiry     = time.Minute
	connsPerPeer   = 128
	connsInAll     = 4096
	bufferKept     = 64 << 10 // bytes of buffer that an idle stream keeps
	softCancelWait = 5 * time.Millisecond
)

// ErrNotSent marks failures before any byte of a call was sent.
var ErrNotSent = errors.New("the peer was not reached")

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: wire.MaxMessageBytes},
		Stream:          drpcstream.Options{MaximumBufferSize: bufferKept},
		SoftCancel:      true,
		SoftCancelGrace: softCancelWait,
	}
}

// Pool keeps connections to peers.
type Pool struct {
	pool  *drpcpool.Pool[string, drpcpool.Conn]
	count func(call string, bytes int)
}

// counting is an encoding that reports the size of each message.
type counting struct {
	wire.Encoding
	call  string
	count func(call string, bytes int)
}

// Marshal returns the encoded form of msg.
func (counting counting) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := counting.Encoding.Marshal(msg)
	counting.count(counting.call, len(data))
	return data, err
}

// Unmarshal reads the encoded form of msg.
func (counting counting) Unmarshal(data []byte, msg drpc.Message) error {
	counting.count(counting.call, len(data))
	return counting.Encoding.Unmarshal(data, msg)
}

// NewPool returns a pool without connections. Count learns the bytes of each
// message of a call with one answer, in both directions.
func NewPool(count func(call string, bytes int)) *Pool {
	return &Pool{count: count, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration: idleExpiry, Capacity: connsInAll, KeyCapacity: connsPerPeer,
	})}
}

// Close closes the idle connections.
func (pool *Pool) Close() { _ = pool.pool.Close() }

func (pool *Pool) conn(ctx context.Context, address string) drpc.Conn {
	return pool.pool.Get(ctx, address, dial)
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "dial %s", address), ErrNotSent)
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions()}), nil
}

// Invoke makes a call with one answer.
func (pool *Pool) Invoke(ctx context.Context, address, call string, in, out wire.Message) error {
	return pool.conn(ctx, address).Invoke(ctx, call, counting{call: call, count: pool.count}, in, out)
}

// InvokeSized is Invoke that also returns the bytes of both messages.
func (pool *Pool) InvokeSized(ctx context.Context, address, call string, in, out wire.Message) (int, error) {
	size := 0
	count := func(call string, bytes int) {
		size += bytes
		pool.count(call, bytes)
	}
	err := pool.conn(ctx, address).Invoke(ctx, call, counting{call: call, count: count}, in, out)
	return size, err
}

// Open sends a request and returns the stream of its answer.
func (pool *Pool) Open(ctx context.Context, address, call string, in wire.Message) (drpc.Stream, error) {
	stream, err := pool.conn(ctx, address).NewStream(ctx, call, wire.Encoding{})
	if err != nil {
		return nil, err
	}
	if err := stream.MsgSend(in, wire.Encoding{}); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// Handler answers one call on a stream.
type Handler func(stream drpc.Stream) error

// Unary returns a handler of calls with one answer.
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

// Handlers are the calls that a process answers, by name.
type Handlers map[string]Handler

// HandleRPC answers one call.
func (handlers Handlers) HandleRPC(stream drpc.Stream, rpc string) error {
	handler, ok := handlers[rpc]
	if !ok {
		return errors.Newf("call %q is unknown", rpc)
	}
	return handler(stream)
}

// Serve answers calls on listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, handlers Handlers) error {
	server := drpcserver.NewWithOptions(handlers, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, listener)
}
