package entry

import (
	"context"
	"time"

	"endiverill.example/kernel/config"
	"endiverill.example/kernel/member"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/wire"
)

// snapshot is the immutable view of the configuration and the fleet by which
// requests are routed.
type snapshot struct {
	document *config.Document
	groups   map[string]*route.Group // by model, adapter or "service/NAME"
	targets  map[string]usableTarget
}

// usableTarget holds what a dispatch needs to know of a target that takes new work.
type usableTarget struct {
	replica     *route.Replica
	incarnation uint64
	agentClock  func(now time.Time) time.Duration // upper bound of the agent's clock at now
}

func serviceGroup(name string) string { return "service/" + name }

// install applies a new configuration to quotas, running requests and the routing
// snapshot.
func (entry *Entry) install(document *config.Document) {
	entry.quota.Install(document)
	entry.cancellable.cancelWithdrawn(document)
	entry.Control().Post(func() {
		entry.members.RemoveUndeclared(func(name string) bool {
			_, declared := document.Target(name)
			return declared
		})
		entry.rebuildSnapshot()
	})
}

// rebuildSnapshot replaces the routing snapshot. It must run in the control
// goroutine.
func (entry *Entry) rebuildSnapshot() {
	document := entry.Follower().Document()
	if document == nil {
		return
	}
	now := entry.Clock().Now()
	replicasByGroup := map[string][]*route.Replica{}
	rebuilt := &snapshot{document: document, groups: map[string]*route.Group{}, targets: map[string]usableTarget{}}
	for _, target := range document.Targets() {
		observed := entry.members.Member(target.Name())
		if observed == nil || !observed.Usable(now) {
			continue
		}
		replica := entry.replicaOf(target, observed)
		copied := *observed // the member table changes its members in place
		rebuilt.targets[target.Name()] = usableTarget{replica: replica, incarnation: observed.Incarnation(), agentClock: copied.AgentClock}
		for _, name := range groupNames(target, observed) {
			replicasByGroup[name] = append(replicasByGroup[name], replica)
		}
	}
	for name, replicas := range replicasByGroup {
		rebuilt.groups[name] = route.NewGroup(replicas, entry.Values().String("data_centre"))
	}
	entry.snapshot.Store(rebuilt)
}

// groupNames returns the groups that a target belongs to: that of its service, or
// those of the models and adapters that it holds.
func groupNames(target config.Target, observed *member.Member) []string {
	if target.Kind() == config.Service {
		return []string{serviceGroup(target.Service())}
	}
	return observed.Resident()
}

// replicaOf returns the replica of a target. It reuses the existing one, with its
// counters, unless the agent has restarted or changed its address.
func (entry *Entry) replicaOf(target config.Target, observed *member.Member) *route.Replica {
	existing := entry.replicas[target.Name()]
	if existing != nil && existing.Address() == target.Agent() && !observed.FirstSeen().After(existing.KnownSince()) {
		existing.SetSoftwareVersion(observed.SoftwareVersion())
		return existing
	}
	replica := route.NewReplica(target.Name(), target.DataCentre(), target.Agent(), observed.Slots(), observed.FirstSeen())
	replica.SetSoftwareVersion(observed.SoftwareVersion())
	entry.replicas[target.Name()] = replica
	return replica
}

// recordLoad applies a load report that came with a response frame or a status
// poll. An agent with a newer configuration is a source to fetch it from.
func (entry *Entry) recordLoad(load *wire.Load, sentAt time.Time) {
	entry.Control().Post(func() {
		if replica := entry.replicas[load.Target]; replica != nil {
			replica.SetLoad(load.Queued, load.Running, load.Slots)
		}
		if entry.members.ApplyLoad(load, sentAt, entry.Clock().Now()) {
			entry.rebuildSnapshot()
		}
	})
	document := entry.Follower().Document()
	if document == nil || load.Generation <= document.Generation() {
		return
	}
	if target, ok := document.Target(load.Target); ok {
		entry.Follower().ReportNewerPeer(target.Agent())
	}
}

// recordAgentFailure counts a failed call to a target's agent. After several failures
// without a load report in between, the target gets no new work.
func (entry *Entry) recordAgentFailure(target string) {
	entry.Control().Post(func() {
		if entry.members.RecordFailure(target) {
			entry.log.Warnf("target %s is suspected and gets no new work: calls to its agent failed", target)
			entry.rebuildSnapshot()
		}
	})
}

func (entry *Entry) handleLeave(_ context.Context, notice *wire.LeaveNotice) (*wire.Empty, error) {
	entry.Control().Post(func() {
		if entry.members.ApplyLeave(notice.Target, notice.Incarnation) {
			entry.log.Infof("target %s is leaving", notice.Target)
			entry.rebuildSnapshot()
		}
	})
	return &wire.Empty{}, nil
}

const (
	callTimeout        = time.Second // limit of a status poll or another short call to an agent or entry
	maxConcurrentCalls = 64          // status calls in flight
)

// pollTargets queries the load of each target once per entry.status_period, or less
// often if more than entry.status_rate queries per second over all targets would be
// needed.
func (entry *Entry) pollTargets(ctx context.Context) error {
	period := entry.Values().Duration("entry.status_period")
	interval := time.Second / time.Duration(entry.Values().Int("entry.status_rate"))
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for ctx.Err() == nil {
		roundStart := entry.Clock().Now()
		if document := entry.Follower().Document(); document != nil {
			for _, target := range document.Targets() {
				semaphore <- struct{}{}
				go func() {
					defer func() { <-semaphore }()
					entry.pollTarget(ctx, target)
				}()
				entry.sleep(ctx, interval)
			}
		}
		entry.sleep(ctx, max(period-entry.Clock().Now().Sub(roundStart), interval))
		entry.Control().Post(entry.rebuildIfUsableChanged)
	}
	return nil
}

// rebuildIfUsableChanged rebuilds the snapshot if a target has become usable or
// unusable, such as one whose exclusion for frequent restarts has expired.
func (entry *Entry) rebuildIfUsableChanged() {
	current := entry.snapshot.Load()
	if current == nil {
		return
	}
	now := entry.Clock().Now()
	for _, target := range current.document.Targets() {
		observed := entry.members.Member(target.Name())
		_, used := current.targets[target.Name()]
		if observed != nil && observed.Usable(now) != used {
			entry.rebuildSnapshot()
			return
		}
	}
}

// sleep waits for the duration or until ctx ends.
func (entry *Entry) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-entry.Clock().After(duration):
	case <-ctx.Done():
	}
}

func (entry *Entry) pollTarget(ctx context.Context, target config.Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := entry.Clock().Now()
	load := &wire.Load{}
	entry.Metrics().Add("status.asks", 1)
	if err := entry.Links().Invoke(ctx, target.Agent(), wire.CallStatus, &wire.StatusRequest{}, load); err != nil {
		entry.recordAgentFailure(target.Name())
		return
	}
	if load.Target != target.Name() {
		entry.log.Warnf("agent %s answered as target %s, expected target %s", target.Agent(), load.Target, target.Name())
		return
	}
	entry.recordLoad(load, sentAt)
}
