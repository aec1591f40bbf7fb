package gateway

import (
	"context"
	"net/netip"
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

const (
	adapterRepeat = 60 * time.Millisecond // until a wish for an adapter is sent again; it takes 5 to 14 ms
	adapterPart   = 0.7                   // part of the time left that an adapter may take
)

// command sends a command every period until it is answered or ctx ends, and
// returns whether it was carried out.
func (peers *peers) command(ctx context.Context, to netip.AddrPort, period time.Duration, command *wire.Command) (done bool, reason string) {
	command.ID = peers.next.Add(1) ^ peers.gateway.options.Incarnation
	answers := make(chan *wire.Result, 1)
	peers.mu.Lock()
	socket := peers.socket
	peers.waiting[command.ID] = answers
	peers.mu.Unlock()
	defer func() {
		peers.mu.Lock()
		defer peers.mu.Unlock()
		delete(peers.waiting, command.ID)
	}()
	if socket == nil {
		return false, "the instance is starting"
	}
	for {
		peers.send(to, command)
		select {
		case answer := <-answers:
			return answer.Done, answer.Reason
		case <-peers.gateway.clock.After(period):
		case <-ctx.Done():
			return false, "no answer came in time"
		}
	}
}

// fetch has a target load the adapter that a request needs, and waits for it.
func (gateway *Gateway) fetch(visit *visit, target *directory.Target) bool {
	address, err := gateway.peers.agent(target)
	if err != nil {
		gateway.log.Warnf("agent of target %s has no address: %v", target.ID(), err)
		return false
	}
	now := gateway.clock.Now()
	gateway.mu.Lock()
	gateway.board.Fetching(target.Key(), &visit.wanted, now)
	gateway.mu.Unlock()
	patience := time.Duration(float64(visit.wanted.Begin.Sub(now)) * adapterPart)
	ctx, cancel := context.WithTimeout(visit.ctx, patience)
	defer cancel()
	defer context.AfterFunc(gateway.late, cancel)()
	done, reason := gateway.peers.command(ctx, address, adapterRepeat, &wire.Command{
		Target: target.ID(), Load: visit.wanted.Model, Adapter: visit.wanted.Adapter, Latest: patience,
	})
	gateway.metrics.Observe("adapters.fetch", gateway.clock.Now().Sub(now))
	if !done {
		gateway.log.Infof("request %q: target %s did not load adapter %s of model %s within %v: %s", visit.inquiry.ID, target.ID(),
			visit.wanted.Adapter, visit.wanted.Model, gateway.clock.Now().Sub(now), reason)
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.board.Fetched(target.Key(), &visit.wanted, done)
	return done
}
