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
	askPeriod  = 300 * time.Millisecond // between two questions to peers while a document is missing
	askTimeout = 500 * time.Millisecond
)

// relaying passes the platform's documents between entries: to those that learn
// of newer ones, and to those that start while the platform does not answer.
type relaying struct {
	gateway *Gateway
	links   *link.Pool
	newer   chan netip.AddrPort // a peer with newer documents
}

func newRelaying(gateway *Gateway) *relaying {
	return &relaying{gateway: gateway, newer: make(chan netip.AddrPort, 1), links: link.NewPool(func(call string, bytes int) {
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
			case peer := <-relaying.newer:
				relaying.fetch(ctx, peer)
			case <-relaying.gateway.clock.After(askPeriod):
			case <-ctx.Done():
			}
		}
		relaying.links.Close()
		return nil
	})
	return group.Wait()
}

func (relaying *relaying) answer(_ context.Context, request *wire.SnapshotRequest) (*wire.Snapshot, error) {
	return relaying.gateway.follower.snapshot(request), nil
}

// ask asks one peer, another one each time.
func (relaying *relaying) ask(ctx context.Context) {
	peers := relaying.gateway.peers.addresses()
	if len(peers) > 0 {
		relaying.fetch(ctx, peers[rand.IntN(len(peers))])
	}
}

// fetch takes over what is newer in a peer's documents.
func (relaying *relaying) fetch(ctx context.Context, peer netip.AddrPort) {
	gateway := relaying.gateway
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := gateway.clock.Now()
	snapshot := &wire.Snapshot{}
	if err := relaying.links.Invoke(ctx, peer.String(), wire.CallSnapshot, gateway.follower.request(), snapshot); err != nil {
		gateway.log.Infof("peer %s gave no documents: %v", peer, err)
		return
	}
	gateway.follower.adopt(snapshot, sent)
}

// learn has a peer's documents fetched, unless others are to be already.
func (relaying *relaying) learn(peer netip.AddrPort) {
	select {
	case relaying.newer <- peer:
	default:
	}
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
