// Package datagram carries short messages between the system's processes over
// UDP. A message may be lost or come late or twice; those who send them repeat
// what matters, and their state only rises.
package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/wire"
)

// Socket sends and receives messages at one address.
type Socket struct {
	conn  *net.UDPConn
	count func(name string, delta int64)
}

// Listen opens a socket at address (HOST:PORT). Count learns of messages and
// bytes.
func Listen(ctx context.Context, address string, count func(name string, delta int64)) (*Socket, error) {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, errors.CombineErrors(errors.Newf("socket at %s is of type %T", address, conn), conn.Close())
	}
	return &Socket{conn: udp, count: count}, nil
}

// Send sends a message once.
func (socket *Socket) Send(to netip.AddrPort, message wire.Message) error {
	data, err := wire.EncodeDatagram(message)
	if err != nil {
		return err
	}
	socket.count("datagrams.sent", 1)
	socket.count("datagrams.bytes", int64(len(data)))
	_, err = socket.conn.WriteToUDPAddrPort(data, to)
	return errors.Wrapf(err, "send to %s", to)
}

// Receive hands every message to handle until ctx ends.
func (socket *Socket) Receive(ctx context.Context, handle func(from netip.AddrPort, message wire.Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = socket.conn.Close() })
	defer stop()
	buf := make([]byte, wire.MaxDatagramBytes)
	for {
		count, from, err := socket.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			socket.count("datagrams.errors", 1) // such as the report of a closed port
			continue
		}
		message, err := wire.DecodeDatagram(buf[:count])
		if err != nil {
			socket.count("datagrams.malformed", 1)
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), message)
	}
}
