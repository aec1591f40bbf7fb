package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/link"
	"endiverill.example/kernel/wire"
)

const (
	askPeriod  = 300 * time.Millisecond // between two questions to peers while the platform does not answer
	askTimeout = 500 * time.Millisecond
)

// relaying passes the platform's documents on to entries that cannot reach it,
// and asks for them when this one cannot.
type relaying struct {
	gateway *Gateway
	links   *link.Pool
}

func newRelaying(gateway *Gateway) *relaying {
	return &relaying{gateway: gateway, links: link.NewPool(func(call string, bytes int) {
		gateway.metrics.Add("bytes."+call, int64(bytes))
	})}
}

func (relaying *relaying) run(ctx context.Context) error {
	options := relaying.gateway.options
	listener, err := listen(ctx, net.JoinHostPort(options.IP, strconv.Itoa(options.PeerPort)))
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return link.Serve(ctx, listener, link.Handlers{wire.CallSnapshot: link.Unary(relaying.answer)})
	})
	group.Go(func() error {
		for ctx.Err() == nil {
			if relaying.gateway.follower.helpless() {
				relaying.ask(ctx)
			}
			select {
			case <-relaying.gateway.clock.After(askPeriod):
			case <-ctx.Done():
			}
		}
		relaying.links.Close()
		return nil
	})
	return group.Wait()
}

func (relaying *relaying) answer(context.Context, *wire.SnapshotRequest) (*wire.Snapshot, error) {
	return relaying.gateway.follower.snapshot(), nil
}

// ask asks one peer, another one each time.
func (relaying *relaying) ask(ctx context.Context) {
	gateway := relaying.gateway
	peers := gateway.peers.addresses()
	if len(peers) == 0 {
		return
	}
	peer := peers[rand.IntN(len(peers))].String()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	snapshot := &wire.Snapshot{}
	if err := relaying.links.Invoke(ctx, peer, wire.CallSnapshot, &wire.SnapshotRequest{}, snapshot); err != nil {
		gateway.log.Debugf("peer %s gave no documents: %v", peer, err)
		return
	}
	gateway.follower.adopt(peer, snapshot)
}

// addresses returns the addresses of the other entries.
func (peers *peers) addresses() []netip.AddrPort {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(peers.entries))
	for address := range peers.entries {
		addresses = append(addresses, address)
	}
	return addresses
}
