// Package follow keeps an instance's configuration at the newest generation: it
// watches the object API, and asks peers while the object API is silent or a
// peer is ahead.
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
	retryPause   = 200 * time.Millisecond // between calls to an object API that fails
	maxRetry     = 2 * time.Second
	askTimeout   = time.Second // for one peer
	fetchTimeout = 2 * time.Second
)

// Asker asks the peer at an address for its configuration.
type Asker func(ctx context.Context, address string, request *wire.ConfigRequest) (*wire.ConfigAnswer, error)

// Options are what a Follower needs.
type Options struct {
	Site       string
	Store      object.Store
	Clock      clock.Clock
	Log        *logs.Logger
	Metrics    *metric.Set
	Ask        Asker
	Peers      func() []string // addresses of peers, asked anew at each round
	WatchWait  time.Duration   // how long one watch waits
	PeerPeriod time.Duration   // between two questions to a peer
	Jitter     time.Duration   // spread of document reads after a change
	Seed       uint64
}

// Follower drives a config.Tracker.
type Follower struct {
	options  Options
	mu       sync.Mutex
	tracker  *config.Tracker
	current  atomic.Pointer[config.Document]
	installs []func(*config.Document)
	ahead    chan string
	ready    chan struct{}
	once     sync.Once
}

// New returns a follower without a configuration.
func New(options Options) *Follower {
	return &Follower{
		options: options,
		tracker: config.NewTracker(),
		ahead:   make(chan string, 1),
		ready:   make(chan struct{}),
	}
}

// Document returns the configuration in force, nil before the first.
func (follower *Follower) Document() *config.Document { return follower.current.Load() }

// Ready is closed once the first configuration is in force.
func (follower *Follower) Ready() <-chan struct{} { return follower.ready }

// OnInstall calls install for every configuration that comes into force. It
// must be called before Run.
func (follower *Follower) OnInstall(install func(*config.Document)) {
	follower.installs = append(follower.installs, install)
}

// Confirmed returns when the configuration in force was last known to be the
// newest; the zero time stands for never.
func (follower *Follower) Confirmed() time.Time {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return follower.tracker.Confirmed()
}

// Ahead reports that the peer at address holds a higher generation.
func (follower *Follower) Ahead(address string) {
	select {
	case follower.ahead <- address:
	default:
	}
}

// Answer returns what a peer's question gets.
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

// Run follows the configuration until ctx ends.
func (follower *Follower) Run(ctx context.Context) error {
	go follower.followPeers(ctx)
	follower.followStore(ctx)
	return nil
}

func (follower *Follower) followStore(ctx context.Context) {
	version := uint64(0)
	pause := retryPause
	for ctx.Err() == nil {
		next, err := follower.watchOnce(ctx, version)
		if err == nil {
			version, pause = next, retryPause
			continue
		}
		follower.options.Metrics.Add("config.store_errors", 1)
		follower.sleep(ctx, follower.jittered(pause))
		pause = min(2*pause, maxRetry)
	}
}

// watchOnce reads the head at first, then waits for its next change.
func (follower *Follower) watchOnce(ctx context.Context, version uint64) (uint64, error) {
	begun := follower.options.Clock.Now()
	key := config.HeadKey(follower.options.Site)
	if version == 0 {
		found, err := follower.options.Store.Get(ctx, "config", key)
		if errors.Is(err, object.ErrNotFound) {
			follower.sleep(ctx, retryPause)
			return 0, nil
		}
		if err != nil {
			return 0, err
		}
		return found.Version(), follower.takeHead(ctx, found.Value(), begun)
	}
	objects, next, err := follower.options.Store.Watch(ctx, "config", key, version, follower.options.WatchWait)
	if err != nil {
		return version, err
	}
	if len(objects) == 0 {
		follower.confirm(begun)
	}
	for _, object := range objects {
		if object.Value() == nil {
			continue
		}
		if err := follower.takeHead(ctx, object.Value(), begun); err != nil {
			return version, err
		}
	}
	return max(next, version), nil
}

func (follower *Follower) confirm(asOf time.Time) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.tracker.ObserveHead(follower.tracker.Newest(), asOf)
}

func (follower *Follower) takeHead(ctx context.Context, data []byte, asOf time.Time) error {
	head, err := config.ParseHead(data)
	if err != nil {
		follower.options.Log.Warnf("head in the object API is malformed: %v", err)
		return nil
	}
	return follower.apply(ctx, func() []config.TrackerEffect { return follower.tracker.ObserveHead(head, asOf) })
}

// apply runs a step of the tracker and carries out its effects.
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
			follower.options.Log.Warnf("configuration is refused: %v", effect.Err)
			follower.options.Metrics.Add("config.rejected", 1)
		}
	}
	return nil
}

// fetch reads a document; one that does not come now is asked for again by
// followPeers.
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

// install puts the newest document in force; two installs may race here, and
// an older one must not win.
func (follower *Follower) install() {
	follower.mu.Lock()
	newest := follower.tracker.Document()
	follower.current.Store(newest)
	follower.mu.Unlock()
	follower.options.Metrics.Put("config.generation", int64(newest.Generation()))
	follower.options.Log.Infof("generation %d is in force", newest.Generation())
	for _, install := range follower.installs {
		install(newest)
	}
	follower.once.Do(func() { close(follower.ready) })
}

// followPeers asks one peer a period, and at once a peer that is ahead.
func (follower *Follower) followPeers(ctx context.Context) {
	random := rand.New(rand.NewPCG(follower.options.Seed, 2))
	for ctx.Err() == nil {
		address := ""
		select {
		case address = <-follower.ahead:
		case <-follower.options.Clock.After(follower.options.PeerPeriod):
			if peers := follower.options.Peers(); len(peers) > 0 {
				address = peers[random.IntN(len(peers))]
			}
		case <-ctx.Done():
			return
		}
		if address != "" {
			follower.askPeer(ctx, address)
		}
		_ = follower.retryMissing(ctx)
	}
}

func (follower *Follower) askPeer(ctx context.Context, address string) {
	begun := follower.options.Clock.Now()
	request := &wire.ConfigRequest{}
	if document := follower.Document(); document != nil {
		request.Generation = document.Generation()
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := follower.options.Ask(ctx, address, request)
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
		// The peer's age was taken after the question was sent.
		follower.mu.Lock()
		follower.tracker.ObserveHead(head, begun.Add(-answer.Age))
		follower.mu.Unlock()
	}
}

func (follower *Follower) retryMissing(ctx context.Context) error {
	return follower.apply(ctx, func() []config.TrackerEffect { return follower.tracker.PendingFetch() })
}

func (follower *Follower) jittered(pause time.Duration) time.Duration {
	return pause/2 + time.Duration(rand.Int64N(int64(pause)))
}

func (follower *Follower) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-follower.options.Clock.After(pause):
	case <-ctx.Done():
	}
}
