package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

const (
	configWait  = 3 * time.Second        // of one watch; a connection that went silent shows by then
	configRetry = 150 * time.Millisecond // after a call that failed
	targetPart  = 2                      // readings of the list within the time to notice a leaving target
	targetRetry = 300 * time.Millisecond
)

// follower keeps the configuration and the list of targets up to date.
type follower struct {
	gateway *Gateway
	source  directory.Source
	mu      sync.Mutex
	roster  *directory.Roster
	targets []*directory.Target
	config  []byte // documents as they came, for peers
	list    []byte
	newer   chan struct{} // a peer has a newer configuration
	failing atomic.Bool   // the last reading of the configuration or of the list failed
}

func newFollower(gateway *Gateway) *follower {
	return &follower{gateway: gateway, source: gateway.options.Source, roster: directory.NewRoster(), newer: make(chan struct{}, 1)}
}

func (follower *follower) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return follower.followConfig(ctx) })
	group.Go(func() error { return follower.followTargets(ctx) })
	return group.Wait()
}

func (follower *follower) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-follower.gateway.clock.After(pause):
	case <-ctx.Done():
	}
}

func (follower *follower) followConfig(ctx context.Context) error {
	cursor := directory.Cursor(0)
	healthy := true
	for ctx.Err() == nil {
		document, next, err := follower.watchConfig(ctx, cursor)
		if errors.Is(err, errNewer) {
			cursor = 0
			continue
		}
		if err != nil {
			if healthy {
				follower.gateway.log.Warnf("lost the configuration's source: %v", err)
			}
			healthy = false
			follower.failing.Store(true)
			follower.sleep(ctx, configRetry)
			continue
		}
		if !healthy {
			follower.gateway.log.Infof("regained the configuration's source")
		}
		healthy = true
		cursor = next
		if document != nil {
			follower.takeConfig(document)
		} else if cursor == 0 || follower.gateway.current.Load() == nil {
			follower.sleep(ctx, configRetry)
		}
	}
	return nil
}

// errNewer ends a watch when a peer tells of a newer configuration.
var errNewer = errors.New("a peer has a newer configuration")

// watchConfig waits for the configuration to change, but no longer when a peer
// has a newer one.
func (follower *follower) watchConfig(ctx context.Context, cursor directory.Cursor) ([]byte, directory.Cursor, error) {
	if cursor == 0 {
		return follower.source.Configuration(ctx, cursor, 0) // reads the newest anyway
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-follower.newer:
			cancel(errNewer)
		case <-ctx.Done():
		}
	}()
	document, next, err := follower.source.Configuration(ctx, cursor, configWait)
	if err != nil && errors.Is(context.Cause(ctx), errNewer) {
		return nil, 0, errNewer
	}
	return document, next, err
}

// behind records that a peer has a configuration of that version.
func (follower *follower) behind(version uint64) {
	current := follower.gateway.current.Load()
	if current != nil && version <= current.Version() {
		return
	}
	select {
	case follower.newer <- struct{}{}:
	default: // known already
	}
}

// takeConfig puts a configuration in force unless it is older than the one in
// force.
func (follower *follower) takeConfig(document []byte) {
	gateway := follower.gateway
	parsed, err := follower.source.ParseConfiguration(document)
	if err != nil {
		gateway.log.Warnf("configuration cannot be read, the one before stays: %v", err)
		gateway.metrics.Add("config.rejected", 1)
		return
	}
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if current := gateway.current.Load(); current != nil && parsed.Version() <= current.Version() {
		return
	}
	follower.config = document
	gateway.mu.Lock()
	gateway.board.SetCatalogue(parsed)
	gateway.allowance.SetCustomers(parsed.Customers(), gateway.clock.Now())
	gateway.mu.Unlock()
	gateway.current.Store(parsed)
	gateway.metrics.Put("config.version", int64(parsed.Version()))
	gateway.log.Infof("configuration %d is in force", parsed.Version())
	gateway.changed.raise()
}

func (follower *follower) followTargets(ctx context.Context) error {
	healthy := true
	for ctx.Err() == nil {
		document, err := follower.source.Targets(ctx)
		if err == nil {
			follower.failing.Store(false)
			follower.takeTargets(document, follower.gateway.clock.Now())
			if !healthy {
				follower.gateway.log.Infof("regained the list of targets")
			}
			healthy = true
			follower.sleep(ctx, follower.gateway.options.DrainBound/targetPart)
			continue
		}
		follower.mu.Lock()
		follower.roster.Failed()
		follower.mu.Unlock()
		follower.failing.Store(true)
		if healthy {
			follower.gateway.log.Warnf("lost the list of targets: %v", err)
		}
		healthy = false
		follower.sleep(ctx, targetRetry)
	}
	return nil
}

// takeTargets takes in a reading of the list.
func (follower *follower) takeTargets(document []byte, at time.Time) {
	gateway := follower.gateway
	listed, skipped, err := follower.source.ParseTargets(document)
	if err != nil {
		gateway.log.Warnf("list of targets cannot be read, the one before stays: %v", err)
		return
	}
	gateway.metrics.Put("targets.skipped", int64(skipped))
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.targets = follower.roster.Update(listed, at)
	follower.list = document
	gateway.mu.Lock()
	gateway.board.SetTargets(follower.targets)
	gateway.mu.Unlock()
	if !gateway.listed.Swap(true) {
		gateway.log.Infof("list of %d targets is known, %d entries skipped", len(follower.targets), skipped)
	}
	gateway.changed.raise()
}

// replaced takes note of another start of the target on a host, before the
// list shows it.
func (follower *follower) replaced(host, id string, born int64) {
	gateway := follower.gateway
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if !follower.roster.Replaced(host, id, born, gateway.clock.Now()) {
		return
	}
	gateway.log.Infof("target on %s is now %s, born %d", host, id, born)
	follower.targets = follower.roster.Targets()
	gateway.mu.Lock()
	gateway.board.SetTargets(follower.targets)
	gateway.mu.Unlock()
	// The start before has ended, though its connections may not show it.
	gateway.withdraw(func(flight *flight) bool { return flight.target.Host() == host && flight.target.Born() < born })
}

// helpless says whether the platform does not answer this instance.
func (follower *follower) helpless() bool { return follower.failing.Load() }

// snapshot returns the documents in force, for peers.
func (follower *follower) snapshot() *wire.Snapshot {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return &wire.Snapshot{Config: follower.config, Targets: follower.list}
}

// adopt takes over a peer's documents. Its list is taken only while this
// instance has none of its own, since it cannot tell which is newer.
func (follower *follower) adopt(peer string, snapshot *wire.Snapshot) {
	if len(snapshot.Config) > 0 {
		follower.takeConfig(snapshot.Config)
	}
	if len(snapshot.Targets) > 0 && !follower.gateway.listed.Load() {
		follower.gateway.log.Infof("takes the list of targets from peer %s", peer)
		follower.takeTargets(snapshot.Targets, follower.gateway.clock.Now())
	}
}

// addresses returns the addresses of all targets.
func (follower *follower) addresses() map[string]bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	addresses := make(map[string]bool, len(follower.targets))
	for _, target := range follower.targets {
		addresses[target.Address()] = true
	}
	return addresses
}

// engines returns the targets whose service has model engines.
func (follower *follower) engines() []*directory.Target {
	current := follower.gateway.current.Load()
	follower.mu.Lock()
	defer follower.mu.Unlock()
	var engines []*directory.Target
	for _, target := range follower.targets {
		if current == nil {
			break
		}
		if service := current.Service(target.Service()); service != nil && service.Engine() != nil {
			engines = append(engines, target)
		}
	}
	return engines
}

// target returns the listed target of a key, nil when there is none.
func (follower *follower) target(key directory.TargetKey) *directory.Target {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	for _, target := range follower.targets {
		if target.Key() == key {
			return target
		}
	}
	return nil
}
