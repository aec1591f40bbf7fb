// Package datagram sends and receives the state messages and commands of package wire
// over UDP. A message may be lost, duplicated or reordered. The package does not
// retransmit: senders repeat state messages periodically, and commands until a result
// arrives or the command times out. The counters and versions in messages only increase
// while their sender runs, so that a newer message makes up for a lost one.
package datagram

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/connection"
	"endiverill.example/kernel/wire"
)

// maxUnread bounds what is believed of how long a message lay unread: the time of day, by which
// that is measured, may have been set meanwhile.
const maxUnread = 10 * time.Second

// Socket sends and receives messages on one UDP address.
type Socket struct {
	conn     *net.UDPConn
	count    func(name string, delta int64)
	handling atomic.Bool // Receive or ReceiveTimed handles a message
}

// Listen opens a socket on address (HOST:PORT, IPv4). Count is called with the name
// of a metric and its increase, for messages and bytes sent and for errors.
func Listen(ctx context.Context, address string, count func(name string, delta int64)) (*Socket, error) {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, errors.CombineErrors(errors.Newf("socket on %s is of type %T, want *net.UDPConn", address, conn), conn.Close())
	}
	if err := recordArrivals(udp); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "have the times of arrival recorded on %s", address), udp.Close())
	}
	return &Socket{conn: udp, count: count}, nil
}

// Send sends message once. A nil error does not mean that it arrived.
func (socket *Socket) Send(to netip.AddrPort, message wire.Message) error {
	return socket.SendEach([]netip.AddrPort{to}, message)
}

// SendEach sends message once to each address; it is encoded only once. It returns the errors of
// all sends. A nil error does not mean that the message arrived.
func (socket *Socket) SendEach(addresses []netip.AddrPort, message wire.Message) error {
	if len(addresses) == 0 {
		return nil
	}
	data, err := wire.EncodeDatagram(message)
	if err != nil {
		return err
	}
	kind, sent := wire.DatagramKind(data), int64(len(addresses))
	socket.count("datagrams.sent", sent)
	socket.count("datagrams.bytes", sent*int64(len(data)))
	socket.count("datagrams.sent."+kind, sent)
	socket.count("datagrams.bytes."+kind, sent*int64(len(data)))
	for _, to := range addresses {
		if _, sendErr := socket.conn.WriteToUDPAddrPort(data, to); sendErr != nil {
			err = errors.CombineErrors(err, errors.Wrapf(sendErr, "send to %s", to))
		}
	}
	return err
}

// Receive calls handle for every message until ctx ends, and then closes the socket.
// Read errors and malformed datagrams are counted and skipped. It fails only when the
// socket is closed before ctx ends.
func (socket *Socket) Receive(ctx context.Context, handle func(from netip.AddrPort, message wire.Message)) error {
	return socket.ReceiveTimed(ctx, func(from netip.AddrPort, message wire.Message, _ time.Duration) { handle(from, message) })
}

// ReceiveTimed is Receive with the time for which each message lay unread in the socket, such as
// while this process did not run.
func (socket *Socket) ReceiveTimed(ctx context.Context, handle func(from netip.AddrPort, message wire.Message, unread time.Duration)) error {
	stop := context.AfterFunc(ctx, func() { _ = socket.conn.Close() })
	defer stop()
	buf := make([]byte, wire.MaxDatagramBytes)
	control := make([]byte, syscall.CmsgSpace(timespecBytes))
	for {
		socket.handling.Store(false)
		size, controlSize, _, from, err := socket.conn.ReadMsgUDPAddrPort(buf, control)
		socket.handling.Store(true)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			socket.count("datagrams.errors", 1) // for example an ICMP "port unreachable" for an earlier send
			continue
		}
		message, err := wire.DecodeDatagram(buf[:size])
		if err != nil {
			socket.count("datagrams.malformed", 1)
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), message, unread(control[:controlSize], time.Now()))
	}
}

const timespecBytes = 16 // seconds and nanoseconds, 64 bits each

// recordArrivals has the system state with each datagram when it arrived.
func recordArrivals(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1)
	})
	return errors.CombineErrors(err, optionErr)
}

// unread returns how long a datagram that is read now has lain in the socket, 0 if its control
// messages do not say so.
func unread(control []byte, now time.Time) time.Duration {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return 0
	}
	for _, message := range messages {
		if message.Header.Level == syscall.SOL_SOCKET && message.Header.Type == syscall.SCM_TIMESTAMPNS && len(message.Data) >= timespecBytes {
			seconds, nanoseconds := binary.NativeEndian.Uint64(message.Data), binary.NativeEndian.Uint64(message.Data[8:])
			arrived := time.Unix(int64(seconds), int64(nanoseconds))
			return min(max(now.Sub(arrived), 0), maxUnread)
		}
	}
	return 0
}

// Handled reports whether Receive has handled all messages that have arrived.
func (socket *Socket) Handled() bool {
	return connection.Peek(socket.conn) != connection.Readable && !socket.handling.Load()
}
