package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

const (
	documentLook = 50 * time.Millisecond // between two looks at whether a document is due
	watchLeast   = time.Millisecond      // of a question for what changed so far
	configOften  = 0.5                   // part of the bound on configurations that a watch of the leader takes
	configMost   = 0.75                  // part of that bound after which an entry asks by itself
	listOften    = 0.4                   // part of the bound on leaving targets between two readings of the leader
	listMost     = 0.65                  // part of that bound after which an entry reads by itself
)

// follower keeps the configuration and the list of targets up to date. The
// entry that plans reads them for all; the others are told how new their
// copies are, and read by themselves when they do not.
type follower struct {
	gateway   *Gateway
	source    directory.Source
	mu        sync.Mutex
	roster    *directory.Roster
	listed    []*directory.Target // as read last
	targets   []*directory.Target // to use
	refreshed time.Time           // when targets were put in force last
	config    []byte              // documents as they came, for peers
	list      []byte
	version   *directory.Vintage // of config
	listing   *directory.Vintage // of list
	failing   atomic.Bool        // the last reading of the configuration or of the list failed
}

func newFollower(gateway *Gateway) *follower {
	part := func(bound time.Duration, part float64) time.Duration { return time.Duration(float64(bound) * part) }
	config, drain := gateway.options.ConfigBound, gateway.options.DrainBound
	return &follower{
		gateway: gateway, source: gateway.options.Source, roster: directory.NewRoster(),
		version: directory.NewVintage(part(config, configOften), part(config, configMost)),
		listing: directory.NewVintage(part(drain, listOften), part(drain, listMost)),
	}
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

// leads says whether this entry reads for all.
func (follower *follower) leads() bool { return follower.gateway.planner.fence() != 0 }

// due says whether this entry should read a document now.
func (follower *follower) due(vintage *directory.Vintage) bool {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return vintage.Due(follower.leads(), follower.gateway.clock.Now())
}

// reached takes note of whether the platform answered a reading.
func (follower *follower) reached(document string, vintage *directory.Vintage, healthy *bool, err error) {
	follower.failing.Store(err != nil)
	switch {
	case err != nil:
		follower.mu.Lock()
		vintage.Failed(follower.gateway.clock.Now())
		follower.mu.Unlock()
		if *healthy {
			follower.gateway.log.Warnf("lost the source of the %s: %v", document, err)
		}
	case !*healthy:
		follower.gateway.log.Infof("regained the source of the %s", document)
	}
	*healthy = err == nil
}

func (follower *follower) followConfig(ctx context.Context) error {
	cursor := directory.Cursor(0)
	healthy := true
	for ctx.Err() == nil {
		if !follower.leads() && !follower.due(follower.version) {
			follower.sleep(ctx, documentLook)
			continue
		}
		wait := watchLeast
		if follower.leads() || follower.gateway.current.Load() == nil {
			wait = time.Duration(float64(follower.gateway.options.ConfigBound) * configOften)
		}
		begun := follower.gateway.clock.Now()
		document, next, err := follower.source.Configuration(ctx, cursor, wait)
		follower.reached("configuration", follower.version, &healthy, err)
		if err != nil {
			follower.sleep(ctx, configRetry)
			continue
		}
		if document != nil {
			follower.takeConfig(document, begun)
		} else if cursor != 0 && next != 0 {
			follower.confirmConfig()
		}
		cursor = next
	}
	return nil
}

const configRetry = 150 * time.Millisecond

// confirmConfig records that the platform knows no newer configuration.
func (follower *follower) confirmConfig() {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if current := follower.gateway.current.Load(); current != nil {
		follower.version.Read(current.Version(), follower.gateway.clock.Now())
	}
}

// takeConfig puts a configuration that was the newest at a time in force, unless
// it is older than the one in force.
func (follower *follower) takeConfig(document []byte, at time.Time) {
	gateway := follower.gateway
	parsed, err := follower.source.ParseConfiguration(document)
	if err != nil {
		gateway.log.Warnf("configuration cannot be read, the one before stays: %v", err)
		gateway.metrics.Add("config.rejected", 1)
		return
	}
	follower.mu.Lock()
	defer follower.mu.Unlock()
	follower.version.Read(parsed.Version(), at)
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
	gateway.peers.sendSoon()
}

func (follower *follower) followTargets(ctx context.Context) error {
	healthy := true
	for ctx.Err() == nil {
		if !follower.due(follower.listing) {
			follower.refresh()
			follower.sleep(ctx, documentLook)
			continue
		}
		begun := follower.gateway.clock.Now()
		document, at, err := follower.source.Targets(ctx)
		var listed []*directory.Target
		skipped := 0
		if err == nil {
			listed, skipped, err = follower.source.ParseTargets(document)
		}
		follower.reached("list of targets", follower.listing, &healthy, err)
		if err != nil {
			follower.mu.Lock()
			follower.roster.Failed()
			follower.mu.Unlock()
			continue
		}
		follower.takeTargets(document, listed, skipped, follower.numberOf(listed, uint64(at)), begun)
	}
	return nil
}

// refresh takes targets out that are used for a while only, such as those that
// lapsed while the list could not be read, and were not listed again.
func (follower *follower) refresh() {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	now := follower.gateway.clock.Now()
	if now.Sub(follower.refreshed) < refreshPeriod || follower.listing.Due(false, now) {
		return
	}
	follower.use(follower.roster.Update(follower.listed, now), now)
}

const refreshPeriod = 500 * time.Millisecond

// use puts targets in force; the caller holds the lock.
func (follower *follower) use(targets []*directory.Target, now time.Time) {
	follower.targets, follower.refreshed = targets, now
	follower.gateway.mu.Lock()
	defer follower.gateway.mu.Unlock()
	follower.gateway.board.SetTargets(targets)
}

// numberOf returns the number of a list that was read when the platform's
// history stood at a place: a list of the same targets keeps its number, whatever
// they hold, since their agents tell that.
func (follower *follower) numberOf(listed []*directory.Target, at uint64) uint64 {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if directory.SameTargets(listed, follower.listed) && follower.listing.Number() > 0 {
		return follower.listing.Number()
	}
	return at
}

// takeTargets takes in a reading of the list, by this entry or by another one.
func (follower *follower) takeTargets(document []byte, listed []*directory.Target, skipped int, number uint64, at time.Time) {
	gateway := follower.gateway
	gateway.metrics.Put("targets.skipped", int64(skipped))
	follower.mu.Lock()
	defer follower.mu.Unlock()
	if number < follower.listing.Number() {
		return // overtaken by a newer one
	}
	changed := number != follower.listing.Number()
	follower.listing.Read(number, at)
	now := gateway.clock.Now()
	follower.listed, follower.list = listed, document
	follower.use(follower.roster.Update(listed, now), now)
	if !gateway.listed.Swap(true) {
		gateway.log.Infof("list of %d targets is known, %d entries skipped", len(follower.targets), skipped)
	}
	gateway.changed.raise()
	if changed {
		gateway.peers.sendSoon()
	}
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
	follower.use(follower.roster.Targets(), gateway.clock.Now())
	// The start before has ended, though its connections may not show it.
	gateway.withdraw(func(flight *flight) bool { return flight.target.Host() == host && flight.target.Born() < born })
}

// helpless says whether this entry lacks a document and the platform does not
// answer it.
func (follower *follower) helpless() bool {
	return follower.failing.Load() && !follower.gateway.ready()
}

// request asks a peer for what is newer than this entry's documents.
func (follower *follower) request() *wire.SnapshotRequest {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	return &wire.SnapshotRequest{Version: follower.version.Number(), List: follower.listing.Number()}
}

// snapshot returns those of the documents in force that are newer than a peer's.
func (follower *follower) snapshot(request *wire.SnapshotRequest) *wire.Snapshot {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	now := follower.gateway.clock.Now()
	snapshot := &wire.Snapshot{List: follower.listing.Number()}
	snapshot.VersionAge, _ = follower.version.Age(now)
	snapshot.ListAge, _ = follower.listing.Age(now)
	if follower.version.Number() > request.Version {
		snapshot.Config = follower.config
	}
	if follower.listing.Number() > request.List {
		snapshot.Targets = follower.list
	}
	return snapshot
}

// describe writes how new this entry's documents are.
func (follower *follower) describe(state *wire.EntryState) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	now := follower.gateway.clock.Now()
	state.Version, state.List = follower.version.Number(), follower.listing.Number()
	state.VersionAge, _ = follower.version.Age(now)
	state.ListAge, _ = follower.listing.Age(now)
}

// receive takes in how new a peer's documents are, and says whether one of them is
// newer than this entry's.
func (follower *follower) receive(state *wire.EntryState) (newer bool) {
	follower.mu.Lock()
	defer follower.mu.Unlock()
	now := follower.gateway.clock.Now()
	config := follower.version.Observe(state.Version, state.VersionAge, now)
	list := follower.listing.Observe(state.List, state.ListAge, now)
	return config || list
}

// adopt takes over what is newer in a peer's documents, which were sent for at
// a time.
func (follower *follower) adopt(snapshot *wire.Snapshot, sent time.Time) {
	if len(snapshot.Config) > 0 {
		follower.takeConfig(snapshot.Config, sent.Add(-snapshot.VersionAge))
	}
	follower.mu.Lock()
	newer := snapshot.List > follower.listing.Number()
	follower.mu.Unlock()
	if len(snapshot.Targets) == 0 || !newer {
		return
	}
	listed, skipped, err := follower.source.ParseTargets(snapshot.Targets)
	if err != nil {
		follower.gateway.log.Warnf("a peer's list of targets cannot be read, the one before stays: %v", err)
		return
	}
	follower.takeTargets(snapshot.Targets, listed, skipped, snapshot.List, sent.Add(-snapshot.ListAge))
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
