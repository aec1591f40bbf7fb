package gateway

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/object"
	"endiverill.example/kernel/wire"
)

const (
	documentPollInterval = 50 * time.Millisecond // of checks whether a document should be read
	minWatchDuration     = time.Millisecond      // shortest watch; returns what has changed so far
	configWatchFraction  = 0.5                   // of ConfigBound: length of one watch by the leader, or by any entry without a configuration
	configMaxAgeFraction = 0.6                   // of ConfigBound: age at which any entry reads the configuration itself
	listReadFraction     = 0.4                   // of DrainBound: interval of reads by the leader
	listMaxAgeFraction   = 0.65                  // of DrainBound: age at which any entry reads the list itself
)

// syncer keeps the configuration and the list of targets current. The entry
// that holds the planning lease, here called the leader, reads both from the
// platform on behalf of all entries. The others learn from messages of entries
// whether their copies are current, fetch newer ones from peers, and read from
// the platform themselves when a copy has not been confirmed for too long.
type syncer struct {
	gateway         *Gateway
	source          directory.Source
	mu              sync.Mutex
	targetTracker   *directory.TargetTracker
	listed          []*directory.Target  // in the last list read
	targets         []*directory.Target  // in force
	targetsSet      time.Time            // when targets were last set
	config          *document            // in force, nil before the first
	cursor          directory.Cursor     // to watch the configuration from: of the last read, or of a newer copy from a peer
	previousConfig  *document            // that config replaced, for entries to which it is still being sent
	list            *document            // last one read, nil before the first
	configFreshness *directory.Freshness // of the configuration: version and last confirmation
	listFreshness   *directory.Freshness // of the list: version and last confirmation
	failing         atomic.Bool          // whether the latest read failed, of whichever document it was
}

func newSyncer(gateway *Gateway) *syncer {
	scale := func(bound time.Duration, fraction float64) time.Duration {
		return time.Duration(float64(bound) * fraction)
	}
	config, drain := gateway.options.ConfigBound, gateway.options.DrainBound
	return &syncer{
		gateway: gateway, source: gateway.options.Source, targetTracker: directory.NewTargetTracker(),
		configFreshness: directory.NewFreshness(scale(config, configWatchFraction), scale(config, configMaxAgeFraction)),
		listFreshness:   directory.NewFreshness(scale(drain, listReadFraction), scale(drain, listMaxAgeFraction)),
	}
}

func (syncer *syncer) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return syncer.syncConfig(ctx) })
	group.Go(func() error { return syncer.syncTargets(ctx) })
	return group.Wait()
}

func (syncer *syncer) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-syncer.gateway.clock.After(duration):
	case <-ctx.Done():
	}
}

// leads reports whether this entry is the leader.
func (syncer *syncer) leads() bool { return syncer.gateway.planner.fence() != 0 }

// due reports whether this entry should read a document from the platform now.
func (syncer *syncer) due(freshness *directory.Freshness) bool {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	return freshness.Due(syncer.leads(), syncer.gateway.clock.Now())
}

// recordRead records whether a read of a document succeeded, and logs when its
// source is lost or regained. healthy holds whether the previous read of that
// document succeeded, and is updated.
func (syncer *syncer) recordRead(document string, freshness *directory.Freshness, healthy *bool, took time.Duration, err error) {
	syncer.failing.Store(err != nil)
	switch {
	case err != nil:
		syncer.mu.Lock()
		freshness.RecordFailure(syncer.gateway.clock.Now())
		syncer.mu.Unlock()
		if *healthy {
			syncer.gateway.log.Warnf("lost the source of the %s: %v", document, err)
		}
		syncer.logFailedRead(document, freshness, took, err)
	case !*healthy:
		syncer.gateway.log.Infof("regained the source of the %s", document)
	}
	*healthy = err == nil
}

// logFailedRead logs a read that failed after the time took.
func (syncer *syncer) logFailedRead(document string, freshness *directory.Freshness, took time.Duration, err error) {
	syncer.mu.Lock()
	age, known := freshness.Age(syncer.gateway.clock.Now())
	syncer.mu.Unlock()
	syncer.gateway.metrics.Add("reads.failed", 1)
	if known {
		syncer.gateway.log.Infof("read of the %s failed after %v, the copy was confirmed %v ago: %v", document, took, age, err)
	}
}

// syncConfig watches or reads the configuration until ctx ends.
func (syncer *syncer) syncConfig(ctx context.Context) error {
	healthy := true
	patience := readPatience(syncer.gateway.options.ConfigBound, configMaxAgeFraction)
	for ctx.Err() == nil {
		if !syncer.leads() && (!syncer.due(syncer.configFreshness) || syncer.configArrives()) {
			syncer.sleep(ctx, documentPollInterval)
			continue
		}
		cursor := syncer.configCursor()
		wait := minWatchDuration
		if syncer.leads() || syncer.gateway.current.Load() == nil {
			wait = time.Duration(float64(syncer.gateway.options.ConfigBound) * configWatchFraction)
		}
		known := syncer.version(wire.DocumentConfig)
		readStart := syncer.gateway.clock.Now()
		answer, err := read(ctx, syncer.gateway.clock, wait, patience, func(ctx context.Context) (configAnswer, error) {
			document, next, err := syncer.source.Configuration(ctx, cursor, wait)
			return configAnswer{document, next}, err
		})
		took := syncer.gateway.clock.Now().Sub(readStart)
		syncer.recordRead("configuration", syncer.configFreshness, &healthy, took, err)
		if err != nil {
			syncer.sleep(ctx, configRetryDelay)
			continue
		}
		if answer.document != nil {
			syncer.applyConfig(answer.document, origin{at: readStart, position: answer.next})
		} else if cursor != 0 && answer.next != 0 {
			// With cursor 0, no document means that there is no configuration. If next
			// is 0, the source no longer has the history since cursor, and the next call
			// reads the configuration anew.
			syncer.confirmConfig(known, readStart, took, wait)
			if syncer.leads() {
				syncer.gateway.peers.documentConfirmed() // so that the others need not read it themselves
			}
		}
		syncer.moveCursor(answer.next)
	}
	return nil
}

// moveCursor records the position after a read, 0 if the next one must read the whole
// configuration. A peer may have sent a copy from a later position meanwhile.
func (syncer *syncer) moveCursor(next directory.Cursor) {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	if next == 0 || next > syncer.cursor {
		syncer.cursor = next
	}
}

// configArrives reports whether a newer configuration is arriving from a peer and will be
// complete before this entry's copy is too old. A read from the platform would only share
// the link with it.
func (syncer *syncer) configArrives() bool {
	now := syncer.gateway.clock.Now()
	end, arriving := syncer.gateway.snapshots.config.expect(now)
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	age, _ := syncer.configFreshness.Age(now)
	return arriving && age+end.Sub(now) < syncer.gateway.options.ConfigBound
}

// configCursor returns the position in the platform's history to watch the configuration
// from, 0 to read it as a whole.
func (syncer *syncer) configCursor() directory.Cursor {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	return syncer.cursor
}

// configRetryDelay is the pause after a failed read of the configuration.
const configRetryDelay = 150 * time.Millisecond

// configAnswer is the platform's answer to a read of the configuration.
type configAnswer struct {
	document []byte // nil if there is no newer one
	next     directory.Cursor
}

// confirmConfig records that the platform had no newer configuration than the known one.
// A watch that lasted as long as it may was answered after that time, an earlier answer at
// an unknown moment since the start of the read: the answer may have been long on its way.
func (syncer *syncer) confirmConfig(known uint64, readStart time.Time, took, wait time.Duration) {
	at := readStart
	if took >= wait {
		at = readStart.Add(wait)
	}
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	if known > 0 {
		syncer.configFreshness.RecordOwnRead(known, at)
	}
}

// applyConfig puts a configuration in force if it is newer than the current one.
func (syncer *syncer) applyConfig(content []byte, origin origin) {
	gateway := syncer.gateway
	started := gateway.clock.Now()
	parsed, err := syncer.source.ParseConfiguration(content)
	if err != nil {
		gateway.log.Warnf("configuration is invalid, the previous one stays in force: %v", err)
		gateway.metrics.Add("config.rejected", 1)
		return
	}
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	age, _ := syncer.configFreshness.Age(started)
	origin.record(syncer.configFreshness, parsed.Version())
	if current := gateway.current.Load(); current != nil && parsed.Version() <= current.Version() {
		return
	}
	if syncer.config != nil {
		syncer.config.confirmed = started.Add(-age)
	}
	syncer.previousConfig = syncer.config
	syncer.config = &document{version: parsed.Version(), content: content, position: origin.position}
	syncer.cursor = max(syncer.cursor, origin.position)
	gateway.mu.Lock()
	gateway.dispatcher.SetCatalogue(parsed)
	gateway.limiter.SetCustomers(parsed.Customers(), gateway.clock.Now())
	gateway.mu.Unlock()
	gateway.current.Store(parsed)
	gateway.metrics.SetGauge("config.version", int64(parsed.Version()))
	now := gateway.clock.Now()
	gateway.log.Infof("configuration %d is in force, %d bytes from %s, the newest %v ago, decoded in %v; callers' timeouts %v idle, %v within a request",
		parsed.Version(), len(content), origin, now.Sub(origin.at), now.Sub(started), parsed.Limits().IdleTimeout, parsed.Limits().HeaderTimeout)
	gateway.changed.broadcast()
	go gateway.peers.documentChanged() // it reads the versions under mu
}

// syncTargets reads the list of targets whenever it is due, until ctx ends.
func (syncer *syncer) syncTargets(ctx context.Context) error {
	healthy := true
	patience := readPatience(syncer.gateway.options.DrainBound, listMaxAgeFraction)
	for ctx.Err() == nil {
		if !syncer.due(syncer.listFreshness) {
			syncer.expireTargets()
			syncer.sleep(ctx, documentPollInterval)
			continue
		}
		readStart := syncer.gateway.clock.Now()
		answer, err := read(ctx, syncer.gateway.clock, 0, patience, func(ctx context.Context) (listAnswer, error) {
			document, at, err := syncer.source.Targets(ctx)
			return listAnswer{document, at}, err
		})
		took := syncer.gateway.clock.Now().Sub(readStart)
		var listed []*directory.Target
		skipped := 0
		if err == nil {
			listed, skipped, err = syncer.source.ParseTargets(answer.document)
		}
		syncer.recordRead("list of targets", syncer.listFreshness, &healthy, took, err)
		if err != nil {
			syncer.mu.Lock()
			syncer.targetTracker.RecordFailure(syncer.gateway.clock.Now())
			syncer.mu.Unlock()
			continue
		}
		syncer.applyTargets(answer.document, listed, skipped, syncer.listVersion(listed, uint64(answer.at)), origin{at: readStart})
		if syncer.leads() {
			syncer.gateway.peers.documentConfirmed() // so that the others need not read the list themselves
		}
	}
	return nil
}

// listAnswer is the platform's answer to a read of the list of targets.
type listAnswer struct {
	document []byte
	at       directory.Cursor
}

// expireTargets removes the targets that have been in force without being listed
// for longer than the tracker allows, such as those that disappeared while the list
// could not be read. It does nothing when the list is due to be read.
func (syncer *syncer) expireTargets() {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	now := syncer.gateway.clock.Now()
	if now.Sub(syncer.targetsSet) < targetExpiryInterval || syncer.listFreshness.Due(false, now) {
		return
	}
	syncer.setTargets(syncer.targetTracker.Expire(now), now)
}

// targetExpiryInterval is the shortest time between two changes of the targets in
// force by expireTargets.
const targetExpiryInterval = 500 * time.Millisecond

// setTargets puts targets in force. The caller must hold mu.
func (syncer *syncer) setTargets(targets []*directory.Target, now time.Time) {
	syncer.targets, syncer.targetsSet = targets, now
	syncer.gateway.mu.Lock()
	defer syncer.gateway.mu.Unlock()
	syncer.gateway.dispatcher.SetTargets(targets)
}

// listVersion returns the version of a list that was read at the given
// position of the platform's history. A list that differs from the previous one at
// most in the models that the targets hold keeps its version, since agents report
// those. In another epoch of the platform's store, each list has a new version.
func (syncer *syncer) listVersion(listed []*directory.Target, at uint64) uint64 {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	known := syncer.listFreshness.Version()
	if known > 0 && object.EpochOf(known) == object.EpochOf(at) && directory.SameTargets(listed, syncer.listed) {
		return known
	}
	return at
}

// applyTargets puts a list in force that this entry or a peer has read, unless
// it is older than the current one.
func (syncer *syncer) applyTargets(content []byte, listed []*directory.Target, skipped int, version uint64, origin origin) {
	gateway := syncer.gateway
	gateway.metrics.SetGauge("targets.skipped", int64(skipped))
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	if version < syncer.listFreshness.Version() {
		return // a newer one arrived first
	}
	known := syncer.listFreshness.Version()
	changed := version != known
	now := gateway.clock.Now()
	if object.EpochOf(known) != 0 && object.EpochOf(version) > object.EpochOf(known) {
		gateway.metrics.Add("targets.rollbacks", 1)
		gateway.log.Warnf("list %d of %d targets from %s is of epoch %d of the store, the previous one, %d, of epoch %d",
			object.RevisionOf(version), len(listed), origin, object.EpochOf(version), object.RevisionOf(known), object.EpochOf(known))
		syncer.targetTracker.RecordRollback(origin.at)
	}
	syncer.logLeaving(listed, version, origin)
	origin.record(syncer.listFreshness, version)
	syncer.listed, syncer.list = listed, &document{version: version, content: content}
	syncer.setTargets(syncer.targetTracker.Update(listed, origin.at), now)
	gateway.origins.observe(listed, now)
	if !gateway.targetsKnown.Swap(true) {
		gateway.log.Infof("list of %d targets received, %d entries skipped", len(syncer.targets), skipped)
	}
	gateway.changed.broadcast()
	if changed {
		go gateway.peers.documentChanged() // it reads the versions under mu
	}
}

// logLeaving logs each target that the list is the first to show as leaving or not at all,
// with the age of the copy that the list replaces. The caller must hold mu.
func (syncer *syncer) logLeaving(listed []*directory.Target, version uint64, origin origin) {
	before := map[directory.TargetKey]bool{}
	for _, target := range syncer.listed {
		before[target.Key()] = target.Draining()
	}
	now := syncer.gateway.clock.Now()
	age, _ := syncer.listFreshness.Age(now)
	log := func(id, how string) {
		syncer.gateway.log.Infof("target %s %s by list %d from %s, the newest %v ago; the previous copy was confirmed %v ago",
			id, how, version, origin, now.Sub(origin.at), age)
	}
	for _, target := range listed {
		if draining, known := before[target.Key()]; known && !draining && target.Draining() {
			log(target.ID(), "leaves")
		}
		delete(before, target.Key())
	}
	for key := range before {
		log(key.ID, "is removed")
	}
}

// targetReplaced records that a new incarnation of the target runs on a host,
// before the list shows it.
func (syncer *syncer) targetReplaced(host, id string, startedAt int64) {
	gateway := syncer.gateway
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	if !syncer.targetTracker.RecordReplacement(host, id, startedAt, gateway.clock.Now()) {
		return
	}
	gateway.log.Infof("target on %s is now %s, started at Unix ms %d", host, id, startedAt)
	before := syncer.targets
	syncer.setTargets(syncer.targetTracker.Targets(), gateway.clock.Now())
	for _, target := range before {
		if target.ID() == id && target.StartedAt() < startedAt && target.Software() != "" {
			gateway.origins.replaced(target.Key(), target.Service(), startedAt)
		}
	}
	// The previous incarnation has ended, even if its connections have not been
	// closed.
	gateway.cancelAttempts("its target has started anew", func(attempt *attempt) bool {
		return attempt.target.Host() == host && attempt.target.StartedAt() < startedAt
	})
}

// listAge returns the time since the list in force was last known to be the newest.
func (syncer *syncer) listAge() time.Duration {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	age, known := syncer.listFreshness.LongestAge(syncer.gateway.clock.Now())
	if !known {
		return time.Duration(math.MaxInt64)
	}
	return age
}

// listGap returns the longest time for which the list in force was not known to be the newest since
// the history of versions was last read.
func (syncer *syncer) listGap() time.Duration {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	return syncer.listFreshness.LongestGap()
}

// resetListGap records that the history of versions has been read.
func (syncer *syncer) resetListGap() {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	syncer.listFreshness.ResetGap()
}

// needsSnapshot reports whether this entry is not ready and its last read from
// the platform failed, so that only a peer can provide the documents.
func (syncer *syncer) needsSnapshot() bool {
	return syncer.failing.Load() && !syncer.gateway.ready()
}

// addresses returns the addresses of the targets in force.
func (syncer *syncer) addresses() map[string]bool {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	addresses := make(map[string]bool, len(syncer.targets))
	for _, target := range syncer.targets {
		addresses[target.Address()] = true
	}
	return addresses
}

// engineTargets returns the targets whose service runs model engines.
func (syncer *syncer) engineTargets() []*directory.Target {
	current := syncer.gateway.current.Load()
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	var engines []*directory.Target
	for _, target := range syncer.targets {
		if current == nil {
			break
		}
		if service := current.Service(target.Service()); service != nil && service.Engine() != nil {
			engines = append(engines, target)
		}
	}
	return engines
}

// targetsOfSeveralVersions returns the targets in force of the services at which several
// software versions are listed.
func (syncer *syncer) targetsOfSeveralVersions() []*directory.Target {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	first, several := map[string]string{}, map[string]bool{}
	for _, target := range syncer.targets {
		if software, known := first[target.Service()]; known && software != target.Software() {
			several[target.Service()] = true
		}
		first[target.Service()] = target.Software()
	}
	var targets []*directory.Target
	for _, target := range syncer.targets {
		if several[target.Service()] {
			targets = append(targets, target)
		}
	}
	return targets
}

// target returns the target in force with the key, nil if there is none.
func (syncer *syncer) target(key directory.TargetKey) *directory.Target {
	syncer.mu.Lock()
	defer syncer.mu.Unlock()
	for _, target := range syncer.targets {
		if target.Key() == key {
			return target
		}
	}
	return nil
}
