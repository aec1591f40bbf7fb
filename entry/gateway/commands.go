package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/datagram"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

const (
	adapterResendInterval = 60 * time.Millisecond // a load of an adapter takes 5 to 14 ms
	adapterTimeFraction   = 0.7                   // of the time left to start a request: the longest wait for its adapter to load
	unreadPause           = time.Millisecond      // between two looks at a socket that holds messages when the time of a request is over
	maxUnreadPauses       = 50
)

// command sends a command to an agent, repeats it every interval until the result
// arrives or ctx ends, and returns whether it was carried out and, if not, why.
// The agent may receive it more than once, with the same ID.
func (peers *peers) command(ctx context.Context, to netip.AddrPort, interval time.Duration, command *wire.Command) (done bool, reason string) {
	command.ID = peers.nextCommand()
	result := peers.request(ctx, to, interval, command.ID, command)
	return result.Done, result.Reason
}

// nextCommand returns an ID that differs from those of other entries and incarnations.
func (peers *peers) nextCommand() uint64 {
	return peers.lastCommand.Add(1) ^ peers.gateway.options.Incarnation
}

// request sends a message, repeats it every interval until the result with the ID arrives
// or ctx ends, and returns the result.
func (peers *peers) request(ctx context.Context, to netip.AddrPort, interval time.Duration, id uint64, message wire.Message) *wire.CommandResult {
	results := make(chan *wire.CommandResult, 1)
	peers.mu.Lock()
	socket := peers.socket
	peers.results[id] = results
	peers.mu.Unlock()
	defer func() {
		peers.mu.Lock()
		defer peers.mu.Unlock()
		delete(peers.results, id)
	}()
	if socket == nil {
		return &wire.CommandResult{Reason: "the socket for peers is not open yet"}
	}
	for {
		peers.send(to, message)
		select {
		case result := <-results:
			return result
		case <-peers.gateway.clock.After(interval):
		case <-ctx.Done():
			return peers.arrivedResult(ctx, socket, results)
		}
	}
}

// arrivedResult returns the result of a request whose context has ended. A process that did not
// run for a while finds the time over and the result, which came in time, not yet read.
func (peers *peers) arrivedResult(ctx context.Context, socket *datagram.Socket, results <-chan *wire.CommandResult) *wire.CommandResult {
	for pauses := 0; errors.Is(ctx.Err(), context.DeadlineExceeded) && !socket.Handled() && pauses < maxUnreadPauses; pauses++ {
		peers.gateway.sleep(context.Background(), unreadPause)
	}
	select {
	case result := <-results:
		return result
	default:
		return &wire.CommandResult{Reason: "no result arrived in time"}
	}
}

// loadAdapter has the target's agent load the adapter that a call needs, and
// waits for the result. It returns whether the adapter was loaded.
func (gateway *Gateway) loadAdapter(call *call, target *directory.Target) bool {
	address, err := gateway.peers.commandAddress(target)
	if err != nil {
		gateway.log.Warnf("agent of target %s has no address: %v", target.ID(), err)
		return false
	}
	now := gateway.clock.Now()
	gateway.withLock(func() { gateway.dispatcher.RecordAdapterLoadStart(target.Key(), &call.placement, now) })
	timeout := time.Duration(float64(call.placement.StartBy.Sub(now)) * adapterTimeFraction)
	ctx, cancel := context.WithTimeout(call.ctx, timeout)
	defer cancel()
	defer context.AfterFunc(gateway.draining, cancel)() // a draining gateway waits for no adapter
	done, reason := gateway.peers.command(ctx, address, adapterResendInterval, &wire.Command{
		Target: target.ID(), Load: call.placement.Model, Adapter: call.placement.Adapter, ValidFor: timeout,
	})
	gateway.metrics.Observe("adapters.fetch", gateway.clock.Now().Sub(now))
	if !done {
		gateway.log.Infof("request %q: target %s did not load adapter %s of model %s within %v: %s", call.head.ID, target.ID(),
			call.placement.Adapter, call.placement.Model, gateway.clock.Now().Sub(now), reason)
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.dispatcher.RecordAdapterLoadEnd(target.Key(), &call.placement, done)
	return done
}
