// Package follow keeps an instance's configuration at the newest generation. It
// watches the configuration head in the object API and reads the documents that
// config.Tracker asks for. It also queries a random peer once per period, and at
// once a peer that is known to have a newer generation, so that the instance stays
// current while the object API is unavailable. Package config decides which
// generation comes into force.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/config"
	"endiverill.example/kernel/logs"
	"endiverill.example/kernel/metric"
	"endiverill.example/kernel/object"
	"endiverill.example/kernel/wire"
)

const (
	minRetryDelay = 200 * time.Millisecond // while the site has no head, and after a first failed call to the object API; doubled with each further failure up to maxRetryDelay
	maxRetryDelay = 2 * time.Second
	peerTimeout   = time.Second     // for one query to a peer
	fetchTimeout  = 2 * time.Second // for reading one document
)

// PeerQuery requests the configuration of the peer at an address.
type PeerQuery func(ctx context.Context, address string, request *wire.ConfigRequest) (*wire.ConfigAnswer, error)

// Options configures a Follower.
type Options struct {
	Site       string
	Store      object.Store
	Clock      clock.Clock
	Log        *logs.Logger
	Metrics    *metric.Set
	QueryPeer  PeerQuery
	Peers      func() []string // returns the current addresses of the peers
	WatchWait  time.Duration   // longest duration of one watch call
	PeerPeriod time.Duration   // interval between queries to peers
	Jitter     time.Duration   // longest random delay before reading a new document
	Seed       uint64          // for the choice of peers
}

// Follower drives a config.Tracker and carries out its effects. Its methods
// are safe for concurrent use, except OnInstall.
type Follower struct {
	options      Options
	mu           sync.Mutex
	tracker      *config.Tracker
	current      atomic.Pointer[config.Document]
	installHooks []func(*config.Document)
	newerPeers   chan string
	ready        chan struct{}
	readyOnce    sync.Once
}

// New returns a follower that has no configuration until Run obtains one.
func New(options Options) *Follower {
	return &Follower{
		options:    options,
		tracker:    config.NewTracker(),
		newerPeers: make(chan string, 1),
		ready:      make(chan struct{}),
	}
}

// Document returns the configuration in force, nil if there is none yet.
func (follower *Follower) Document() *config.Document { return follower.current.Load() }

// Ready returns a channel that is closed once the first configuration is in force.
func (follower *Follower) Ready() <-chan struct{} { return follower.ready }

// OnInstall registers a function to call with each configuration that comes into
// force. It must be called before Run. When two configurations come into force
// concurrently, the two calls may overlap, come in either order, or both get the newer
// configuration. Document returns the one in force.
func (follower *Follower) OnInstall(install func(*config.Document)) {
	follower.installHooks = append(follower.installHooks, install)
}

// Confirmed returns the latest time at which the site is known to have had no newer
// configuration than the one in force. It returns the zero time if no such time is known,
// or if a newer configuration is known that is not in force yet.
func (follower *Follower) Confirmed() time.Time {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.tracker.Confirmed()
}

// ReportNewerPeer notifies the follower that the peer at address has a newer generation.
// The follower queries that peer as soon as it can. It drops the notification when
// another one is pending.
func (follower *Follower) ReportNewerPeer(address string) {
	select {
	case follower.newerPeers <- address:
	default:
	}
}

// Answer returns the answer to a peer's query. It contains the document only when
// the peer's generation is older. The answer's age is -1 when the configuration is
// not known to be the newest.
func (follower *Follower) Answer(request *wire.ConfigRequest) *wire.ConfigAnswer {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	document := follower.tracker.Document()
	if document == nil {
		return &wire.ConfigAnswer{Age: -1}
	}
	answer := &wire.ConfigAnswer{Age: -1, Head: config.NewHead(document.Generation(), document.Hash(), "", nil).Marshal()}
	if confirmed := follower.tracker.Confirmed(); !confirmed.IsZero() {
		answer.Age = follower.options.Clock.Now().Sub(confirmed)
	}
	if request.Generation < document.Generation() {
		answer.Document = follower.tracker.Rendered()
	}
	return answer
}

// Run follows the configuration until ctx ends. It returns nil.
func (follower *Follower) Run(ctx context.Context) error {
	go follower.followPeers(ctx)
	follower.followStore(ctx)
	return nil
}

func (follower *Follower) followStore(ctx context.Context) {
	version := uint64(0)
	delay := minRetryDelay
	for ctx.Err() == nil {
		next, err := follower.watchHead(ctx, version)
		if err == nil {
			version, delay = next, minRetryDelay
			continue
		}
		follower.options.Metrics.Add("config.store_errors", 1)
		follower.sleep(ctx, follower.jitteredDelay(delay))
		delay = min(2*delay, maxRetryDelay)
	}
}

// watchHead reads the head when version is 0, and otherwise waits for a change of
// it after version. It returns the version to watch from next.
func (follower *Follower) watchHead(ctx context.Context, version uint64) (uint64, error) {
	startedAt := follower.options.Clock.Now()
	key := config.HeadKey(follower.options.Site)
	if version == 0 {
		found, err := follower.options.Store.Get(ctx, "config", key)
		if errors.Is(err, object.ErrNotFound) {
			follower.sleep(ctx, minRetryDelay)
			return 0, nil
		}
		if err != nil {
			return 0, err
		}
		return found.Version(), follower.processHead(ctx, found.Value(), startedAt)
	}
	objects, next, err := follower.options.Store.Watch(ctx, "config", key, version, follower.options.WatchWait)
	if err != nil {
		return version, err
	}
	if len(objects) == 0 {
		follower.confirm(startedAt)
	}
	for _, object := range objects {
		if object.Value() == nil {
			continue
		}
		if err := follower.processHead(ctx, object.Value(), startedAt); err != nil {
			return version, err
		}
	}
	return max(next, version), nil
}

// confirm records that at asOf the site had no head newer than the newest known one.
func (follower *Follower) confirm(asOf time.Time) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.tracker.ObserveHead(follower.tracker.Newest(), asOf)
}

func (follower *Follower) processHead(ctx context.Context, data []byte, asOf time.Time) error {
	head, err := config.ParseHead(data)
	if err != nil {
		follower.options.Log.Warnf("malformed configuration head in the object API: %v", err)
		return nil
	}
	return follower.apply(ctx, func() []config.TrackerEffect { return follower.tracker.ObserveHead(head, asOf) })
}

// apply runs one call of the tracker under the lock and carries out its effects.
func (follower *Follower) apply(ctx context.Context, step func() []config.TrackerEffect) error {
	follower.mu.Lock()
	effects := step()
	follower.mu.Unlock()
	for _, effect := range effects {
		switch effect := effect.(type) {
		case config.Fetch:
			if err := follower.fetch(ctx, effect.Head); err != nil {
				return err
			}
		case config.Install:
			follower.install()
		case config.Reject:
			follower.options.Log.Warnf("rejected a configuration document: %v", effect.Err)
			follower.options.Metrics.Add("config.rejected", 1)
		}
	}
	return nil
}

// fetch reads the document of a head from the object API. A random delay of up to
// Options.Jitter spreads the reads of all instances after a change; it is left out
// for the first configuration. followPeers repeats a fetch that fails.
func (follower *Follower) fetch(ctx context.Context, head config.Head) error {
	if follower.current.Load() != nil {
		follower.sleep(ctx, time.Duration(rand.Int64N(int64(follower.options.Jitter)+1)))
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	found, err := follower.options.Store.Get(ctx, "config", config.DocumentKey(follower.options.Site, head.Hash()))
	if err != nil {
		return err
	}
	return follower.apply(ctx, func() []config.TrackerEffect { return follower.tracker.ReceiveDocument(head, found.Value()) })
}

// install publishes the tracker's document. Two calls may run concurrently, so each
// reads the tracker's document under the lock; otherwise an older document could
// replace a newer one.
func (follower *Follower) install() {
	follower.mu.Lock()
	newest := follower.tracker.Document()
	follower.current.Store(newest)
	follower.mu.Unlock()
	follower.options.Metrics.SetGauge("config.generation", int64(newest.Generation()))
	follower.options.Log.Infof("generation %d is in force", newest.Generation())
	for _, install := range follower.installHooks {
		install(newest)
	}
	follower.readyOnce.Do(func() { close(follower.ready) })
}

// followPeers queries one random peer per period, and at once a peer that is known
// to have a newer generation. After each query, and after a period without any peers,
// it retries a fetch that is pending.
func (follower *Follower) followPeers(ctx context.Context) {
	random := rand.New(rand.NewPCG(follower.options.Seed, 2))
	for ctx.Err() == nil {
		address := ""
		select {
		case address = <-follower.newerPeers:
		case <-follower.options.Clock.After(follower.options.PeerPeriod):
			if peers := follower.options.Peers(); len(peers) > 0 {
				address = peers[random.IntN(len(peers))]
			}
		case <-ctx.Done():
			return
		}
		if address != "" {
			follower.queryPeer(ctx, address)
		}
		_ = follower.retryPendingFetch(ctx)
	}
}

func (follower *Follower) queryPeer(ctx context.Context, address string) {
	startedAt := follower.options.Clock.Now()
	request := &wire.ConfigRequest{}
	if document := follower.Document(); document != nil {
		request.Generation = document.Generation()
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := follower.options.QueryPeer(ctx, address, request)
	follower.options.Metrics.Add("config.peer_asks", 1)
	if err != nil || len(answer.Head) == 0 {
		return
	}
	head, err := config.ParseHead(answer.Head)
	if err != nil {
		return
	}
	if len(answer.Document) > 0 {
		_ = follower.apply(ctx, func() []config.TrackerEffect { return follower.tracker.ReceiveDocument(head, answer.Document) })
	}
	if answer.Age >= 0 {
		// The peer measured the age after the query was sent, so startedAt minus the
		// age is not later than the time at which the head was the newest. The head in
		// an answer has no patch, so ObserveHead returns at most a Fetch, which is left
		// to retryPendingFetch.
		follower.mu.Lock()
		follower.tracker.ObserveHead(head, startedAt.Add(-answer.Age))
		follower.mu.Unlock()
	}
}

func (follower *Follower) retryPendingFetch(ctx context.Context) error {
	return follower.apply(ctx, func() []config.TrackerEffect { return follower.tracker.PendingFetch() })
}

// jitteredDelay returns a random delay between 0.5 and 1.5 times delay.
func (follower *Follower) jitteredDelay(delay time.Duration) time.Duration {
	return delay/2 + time.Duration(rand.Int64N(int64(delay)))
}

func (follower *Follower) sleep(ctx context.Context, delay time.Duration) {
	select {
	case <-follower.options.Clock.After(delay):
	case <-ctx.Done():
	}
}
