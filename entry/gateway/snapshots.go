package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/rpc"
	"endiverill.example/kernel/transfer"
	"endiverill.example/kernel/wire"
)

const (
	fetchRetryInterval   = 300 * time.Millisecond // between requests to peers while a document is missing
	partTimeout          = 300 * time.Millisecond // of a request for a part; then another peer or connection is used
	busyPause            = 50 * time.Millisecond  // before another request after one to a busy peer
	maxFruitlessRequests = 10                     // in a row; then a later message of a peer starts the next fetch
	maxPartBytes         = 64 << 10               // sent at once, whatever a requester asks for
)

// snapshots serves and fetches the platform's documents between entries. An entry
// fetches one when a peer has a newer version, or when it starts while the platform does
// not answer. A document moves in parts, which may come from several peers.
type snapshots struct {
	gateway       *Gateway
	links         *rpc.Pool
	config, list  *fetcher
	mu            sync.Mutex // guards the fields below
	configUploads *transfer.Uploads
	listUploads   *transfer.Uploads
}

func newSnapshots(gateway *Gateway) *snapshots {
	snapshots := &snapshots{gateway: gateway, configUploads: transfer.NewUploads(), listUploads: transfer.NewUploads()}
	snapshots.links = rpc.NewPool(func(call string, bytes int) { gateway.metrics.Add("bytes."+call, int64(bytes)) })
	snapshots.config = newFetcher(snapshots, wire.DocumentConfig)
	snapshots.list = newFetcher(snapshots, wire.DocumentTargets)
	return snapshots
}

func (snapshots *snapshots) run(ctx context.Context) error {
	options := snapshots.gateway.options
	listener, err := snapshots.gateway.listen(ctx, net.JoinHostPort(options.IP, strconv.Itoa(options.PeerPort)))
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return rpc.Serve(ctx, listener, rpc.Handlers{
			wire.CallDocument: rpc.Unary(snapshots.serveDocument),
			wire.CallSnapshot: rpc.Unary(snapshots.serveSnapshot),
		})
	})
	group.Go(func() error { return snapshots.config.run(ctx) })
	group.Go(func() error { return snapshots.list.run(ctx) })
	err = group.Wait()
	snapshots.links.Close()
	return err
}

// serveSnapshot answers entries of the previous release, which fetch whole documents.
func (snapshots *snapshots) serveSnapshot(_ context.Context, request *wire.SnapshotRequest) (*wire.Snapshot, error) {
	return snapshots.gateway.syncer.snapshot(request), nil
}

// serveDocument answers with the part of a document that another entry asks for.
func (snapshots *snapshots) serveDocument(_ context.Context, request *wire.DocumentRequest) (*wire.DocumentPart, error) {
	now := snapshots.gateway.clock.Now()
	document, age := snapshots.gateway.syncer.document(request.Kind, request.Digest)
	if document == nil {
		return &wire.DocumentPart{}, nil
	}
	part := &wire.DocumentPart{Version: document.version, Age: age, Position: uint64(document.position)}
	if document.version <= request.Version {
		return part, nil
	}
	compressed, digest := document.compress()
	if request.Digest == digest && request.Offset > 0 && request.Offset < len(compressed) {
		part.Offset = request.Offset
	}
	end := min(part.Offset+max(min(request.MaxBytes, maxPartBytes), 1), len(compressed))
	whole := part.Offset == 0 && end == len(compressed)
	if !whole && !snapshots.admit(request, end == len(compressed), now) {
		part.Busy = true
		return part, nil
	}
	part.Digest, part.Size, part.Data = digest, len(compressed), compressed[part.Offset:end]
	return part, nil
}

// admit reports whether a requester gets its part now; last is whether it is the last one.
func (snapshots *snapshots) admit(request *wire.DocumentRequest, last bool, now time.Time) bool {
	snapshots.mu.Lock()
	defer snapshots.mu.Unlock()
	uploads := snapshots.configUploads
	if request.Kind == wire.DocumentTargets {
		uploads = snapshots.listUploads
	}
	if !uploads.Admit(request.Requester, now) {
		return false
	}
	if last {
		uploads.End(request.Requester)
	}
	return true
}

// fetcher fetches newer versions of one document from peers.
type fetcher struct {
	snapshots  *snapshots
	kind       wire.DocumentKind
	newerPeers chan netip.AddrPort // peers with a newer version
	mu         sync.Mutex          // guards download
	download   transfer.Download
}

func newFetcher(snapshots *snapshots, kind wire.DocumentKind) *fetcher {
	return &fetcher{snapshots: snapshots, kind: kind, newerPeers: make(chan netip.AddrPort, 1)}
}

func (fetcher *fetcher) run(ctx context.Context) error {
	gateway := fetcher.snapshots.gateway
	for ctx.Err() == nil {
		if gateway.syncer.needsSnapshot() {
			if peers := gateway.peers.addresses(); len(peers) > 0 {
				fetcher.fetch(ctx, peers[rand.IntN(len(peers))])
			}
		}
		select {
		case peer := <-fetcher.newerPeers:
			fetcher.fetch(ctx, peer)
		case <-gateway.clock.After(fetchRetryInterval):
		case <-ctx.Done():
		}
	}
	return nil
}

// fetchSoon requests a fetch from a peer, unless another one is already pending.
func (fetcher *fetcher) fetchSoon(peer netip.AddrPort) {
	select {
	case fetcher.newerPeers <- peer:
	default:
	}
}

// expect returns when the document that is arriving will be complete; ok is false if none
// is arriving.
func (fetcher *fetcher) expect(now time.Time) (end time.Time, ok bool) {
	fetcher.mu.Lock()
	defer fetcher.mu.Unlock()
	return fetcher.download.Expect(now)
}

// fetch fetches the document from a peer, and from others that have it where the peer does
// not serve a part, and puts it in force. It ends when the peer has no newer version, or
// after maxFruitlessRequests; what has arrived is kept for the next fetch.
func (fetcher *fetcher) fetch(ctx context.Context, peer netip.AddrPort) {
	gateway := fetcher.snapshots.gateway
	for fruitless := 0; fruitless < maxFruitlessRequests && ctx.Err() == nil; fruitless++ {
		sent := gateway.clock.Now()
		part, err := fetcher.request(ctx, peer)
		switch {
		case err != nil:
			gateway.metrics.Add("documents.failed", 1)
			gateway.log.Infof("no part of the %s from peer %s after %v: %v", documentName(fetcher.kind), peer, gateway.clock.Now().Sub(sent), err)
			fetcher.snapshots.links.Close() // other connections may have gone silent too
			peer = gateway.peers.holder(fetcher.kind, peer)
		case part.Version <= gateway.syncer.version(fetcher.kind):
			return
		case part.Busy:
			gateway.metrics.Add("documents.busy", 1)
			gateway.sleep(ctx, busyPause)
			peer = gateway.peers.holder(fetcher.kind, peer)
		default:
			compressed, useful := fetcher.add(part)
			if compressed != nil {
				gateway.syncer.applyFetched(fetcher.kind, part, compressed, peer.String(), sent)
				return
			}
			if useful {
				fruitless = -1
			}
		}
	}
}

// request asks a peer for the next part.
func (fetcher *fetcher) request(ctx context.Context, peer netip.AddrPort) (*wire.DocumentPart, error) {
	gateway := fetcher.snapshots.gateway
	fetcher.mu.Lock()
	digest, offset, maxBytes := fetcher.download.Next()
	fetcher.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	part := &wire.DocumentPart{}
	err := fetcher.snapshots.links.Invoke(ctx, peer.String(), wire.CallDocument, &wire.DocumentRequest{
		Kind: fetcher.kind, Version: gateway.syncer.version(fetcher.kind), Requester: gateway.options.Incarnation,
		Digest: digest, Offset: offset, MaxBytes: maxBytes,
	}, part)
	if errors.Is(err, context.DeadlineExceeded) {
		fetcher.mu.Lock()
		fetcher.download.Fail()
		fetcher.mu.Unlock()
	}
	return part, err
}

// add adds a part that has arrived and returns the compressed document if it is complete.
func (fetcher *fetcher) add(part *wire.DocumentPart) (compressed []byte, useful bool) {
	fetcher.mu.Lock()
	defer fetcher.mu.Unlock()
	return fetcher.download.Add(transfer.Part{Digest: part.Digest, Size: part.Size, Offset: part.Offset, Data: part.Data}, fetcher.snapshots.gateway.clock.Now())
}

// documentName names a document in log lines.
func documentName(kind wire.DocumentKind) string {
	if kind == wire.DocumentConfig {
		return "configuration"
	}
	return "list of targets"
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

// holder returns a random entry that has announced a newer version of a document than this
// entry's, other than the given one if there is another.
func (peers *peers) holder(kind wire.DocumentKind, except netip.AddrPort) netip.AddrPort {
	version := peers.gateway.syncer.version(kind)
	peers.mu.Lock()
	defer peers.mu.Unlock()
	var holders []netip.AddrPort
	for address, last := range peers.peerStates {
		if address != except && last.versions[kind] > version {
			holders = append(holders, address)
		}
	}
	if len(holders) == 0 {
		return except
	}
	return holders[rand.IntN(len(holders))]
}
