package entry

import (
	"context"
	"time"

	"endiverill.example/kernel/config"
	"endiverill.example/kernel/member"
	"endiverill.example/kernel/route"
	"endiverill.example/kernel/wire"
)

// snapshot is what traffic goes by; it never changes.
type snapshot struct {
	document *config.Document
	groups   map[string]*route.Group // by model, adapter or "service/NAME"
	targets  map[string]seenTarget
}

// seenTarget is what traffic needs to know of a target's agent.
type seenTarget struct {
	replica     *route.Replica
	incarnation uint64
	agentClock  func(now time.Time) time.Duration
}

func serviceGroup(name string) string { return "service/" + name }

// install takes a configuration into the routing snapshot.
func (entry *Entry) install(document *config.Document) {
	entry.quota.Install(document)
	entry.running.endWithdrawn(document)
	entry.Control().Post(func() {
		entry.members.Keep(func(name string) bool {
			_, declared := document.Target(name)
			return declared
		})
		entry.rebuild()
	})
}

// rebuild makes a new snapshot; it runs in the control goroutine.
func (entry *Entry) rebuild() {
	document := entry.Follower().Document()
	if document == nil {
		return
	}
	now := entry.Clock().Now()
	holders := map[string][]*route.Replica{}
	next := &snapshot{document: document, groups: map[string]*route.Group{}, targets: map[string]seenTarget{}}
	for _, target := range document.Targets() {
		seen := entry.members.Member(target.Name())
		if seen == nil || !seen.Usable(now) {
			continue
		}
		replica := entry.replicaOf(target, seen)
		clock := *seen
		next.targets[target.Name()] = seenTarget{replica: replica, incarnation: seen.Incarnation(), agentClock: clock.AgentClock}
		for _, name := range servedBy(target, seen) {
			holders[name] = append(holders[name], replica)
		}
	}
	for name, replicas := range holders {
		next.groups[name] = route.NewGroup(replicas, entry.Values().String("data_centre"))
	}
	entry.snapshot.Store(next)
}

func servedBy(target config.Target, seen *member.Member) []string {
	if target.Kind() == config.Service {
		return []string{serviceGroup(target.Service())}
	}
	return seen.Resident()
}

// replicaOf keeps a target's counts while its agent's incarnation and address
// stay.
func (entry *Entry) replicaOf(target config.Target, seen *member.Member) *route.Replica {
	old := entry.replicas[target.Name()]
	if old != nil && old.Address() == target.Agent() && !seen.Since().After(old.Since()) {
		return old
	}
	replica := route.NewReplica(target.Name(), target.DataCentre(), target.Agent(), seen.Slots(), seen.Since())
	entry.replicas[target.Name()] = replica
	return replica
}

// takeLoad takes a report that came with an answer or a poll.
func (entry *Entry) takeLoad(load *wire.Load, asked time.Time) {
	entry.Control().Post(func() {
		if replica := entry.replicas[load.Target]; replica != nil {
			replica.SetLoad(load.Queued, load.Running, load.Slots)
		}
		if entry.members.LoadSeen(load, asked, entry.Clock().Now()) {
			entry.rebuild()
		}
	})
	document := entry.Follower().Document()
	if document == nil || load.Generation <= document.Generation() {
		return
	}
	if target, ok := document.Target(load.Target); ok {
		entry.Follower().Ahead(target.Agent())
	}
}

// agentFailed counts a call to a target's agent that brought no answer.
func (entry *Entry) agentFailed(target string) {
	entry.Control().Post(func() {
		if entry.members.Failed(target) {
			entry.log.Warnf("target %s is suspected", target)
			entry.rebuild()
		}
	})
}

func (entry *Entry) handleLeave(_ context.Context, notice *wire.LeaveNotice) (*wire.Empty, error) {
	entry.Control().Post(func() {
		if entry.members.LeaveSeen(notice.Target, notice.Incarnation) {
			entry.log.Infof("target %s leaves", notice.Target)
			entry.rebuild()
		}
	})
	return &wire.Empty{}, nil
}

const (
	statusTimeout  = time.Second
	statusInFlight = 64
)

// pollTargets asks each target for its load once a period, and all of them
// together no faster than the rate.
func (entry *Entry) pollTargets(ctx context.Context) error {
	period := entry.Values().Duration("entry.status_period")
	gap := time.Second / time.Duration(entry.Values().Int("entry.status_rate"))
	places := make(chan struct{}, statusInFlight)
	for ctx.Err() == nil {
		round := entry.Clock().Now()
		if document := entry.Follower().Document(); document != nil {
			for _, target := range document.Targets() {
				places <- struct{}{}
				go func() {
					defer func() { <-places }()
					entry.pollTarget(ctx, target)
				}()
				entry.pause(ctx, gap)
			}
		}
		entry.pause(ctx, max(period-entry.Clock().Now().Sub(round), gap))
		entry.Control().Post(entry.rebuildDamped)
	}
	return nil
}

// rebuildDamped lets targets whose damping has ended back in.
func (entry *Entry) rebuildDamped() {
	current := entry.snapshot.Load()
	if current == nil {
		return
	}
	now := entry.Clock().Now()
	for _, target := range current.document.Targets() {
		seen := entry.members.Member(target.Name())
		_, used := current.targets[target.Name()]
		if seen != nil && seen.Usable(now) != used {
			entry.rebuild()
			return
		}
	}
}

func (entry *Entry) pause(ctx context.Context, pause time.Duration) {
	select {
	case <-entry.Clock().After(pause):
	case <-ctx.Done():
	}
}

func (entry *Entry) pollTarget(ctx context.Context, target config.Target) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	asked := entry.Clock().Now()
	load := &wire.Load{}
	entry.Metrics().Add("status.asks", 1)
	if err := entry.Links().Invoke(ctx, target.Agent(), wire.CallStatus, &wire.StatusRequest{}, load); err != nil {
		entry.agentFailed(target.Name())
		return
	}
	if load.Target != target.Name() {
		entry.log.Warnf("agent %s speaks for target %s, not %s", target.Agent(), load.Target, target.Name())
		return
	}
	entry.takeLoad(load, asked)
}
