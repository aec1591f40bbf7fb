package gateway

import (
	"maps"
	"net/netip"
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

// receive handles one message of another entry or of an agent, which lay unread for a while.
// Ages in it, and its own, count from its arrival.
func (peers *peers) receive(from netip.AddrPort, message wire.Message, unread time.Duration) {
	arrivedAt := peers.gateway.clock.Now().Add(-unread)
	switch message := message.(type) {
	case *wire.EntryState:
		peers.receiveEntry(from, message, arrivedAt)
	case *wire.TargetState:
		peers.receiveTarget(from, message, arrivedAt)
	case *wire.PlannerNotice:
		peers.notices.receive(from, message, arrivedAt)
	case *wire.RetryRequest:
		peers.answerRetryRequest(from, message)
	case *wire.PermitRequest:
		peers.answerPermitRequest(from, message)
	case *wire.GrantRequest:
		peers.answerGrantRequest(from, message, arrivedAt)
	case *wire.StreamOrigins:
		peers.gateway.origins.receive(message)
	case *wire.BrokenTarget:
		peers.gateway.applyBreaks([]wire.BrokenTarget{*message}, arrivedAt)
	case *wire.Command:
		peers.gateway.remoteAgents.command(from, message)
	case *wire.AdaptersUsed:
		peers.gateway.remoteAgents.recordUse(message)
	case *wire.OriginRequest:
		peers.gateway.origins.answer(from, message)
	case *wire.CommandResult:
		peers.mu.Lock()
		results := peers.results[message.ID]
		peers.mu.Unlock()
		if results == nil {
			return // no command waits for this result any more
		}
		select {
		case results <- message:
		default: // duplicate result
		}
	}
}

// receiveEntry handles another entry's message.
func (peers *peers) receiveEntry(from netip.AddrPort, state *wire.EntryState, arrivedAt time.Time) {
	gateway := peers.gateway
	now := gateway.clock.Now()
	name := from.String()
	gateway.mu.Lock()
	gateway.limiter.ApplyReport(name, state.Incarnation, reportOf(state), arrivedAt, now)
	if state.Leaving {
		gateway.limiter.RemovePeer(name)
	}
	gateway.mu.Unlock()
	if state.ReportRequested {
		peers.reply(from)
	}
	gateway.applyEvidence(name, state.Suspects, arrivedAt)
	gateway.applyLimits(state.Limits, arrivedAt)
	gateway.applyBreaks(state.Broken, arrivedAt)
	if state.PlanFence != 0 {
		gateway.origins.receiveAdmitted(state.PlanFence, state.Admitted)
	}
	if started := peers.applyEntryState(from, state, arrivedAt); started {
		gateway.origins.entryStarted(from)
	}
}

// applyEntryState records another entry's state, and reports whether the entry has started
// since its last message.
func (peers *peers) applyEntryState(from netip.AddrPort, state *wire.EntryState, arrivedAt time.Time) (started bool) {
	gateway := peers.gateway
	peers.mu.Lock()
	defer peers.mu.Unlock()
	if state.Leaving {
		delete(peers.entries, from)
		delete(peers.peerStates, from)
		return false
	}
	newerConfig, newerList := gateway.syncer.observePeer(state, arrivedAt)
	if newerConfig {
		gateway.snapshots.config.fetchSoon(from)
	}
	if newerList {
		gateway.snapshots.list.fetchSoon(from)
	}
	peers.entries[from] = arrivedAt
	if state.PlanFence != 0 {
		peers.plannerSeen = arrivedAt
	}
	for _, address := range state.Entries {
		peers.addEntry(address)
	}
	demand := valuesByName(state.Demand)
	before, known := peers.peerStates[from]
	sameIncarnation := known && before.incarnation == state.Incarnation
	for model, total := range demand {
		// The first total of an incarnation covers an unknown, mostly past time; only
		// increases since an earlier total count.
		if delta := total - before.demand[model]; sameIncarnation && len(before.demand) > 0 && delta > 0 {
			gateway.planner.addDemand(model, delta, gateway.clock.Now())
		}
	}
	if state.ModelMissing {
		gateway.planner.wake()
	}
	if len(demand) == 0 && sameIncarnation {
		demand = before.demand
	}
	firstAt := arrivedAt
	if sameIncarnation {
		firstAt = before.firstAt
	}
	peers.peerStates[from] = peerState{
		firstAt: firstAt, incarnation: state.Incarnation, demand: demand, planFence: state.PlanFence, answersGrants: state.AnswersGrants, grantsNothing: state.GrantsNothing, at: arrivedAt,
		versions: map[wire.DocumentKind]uint64{wire.DocumentConfig: state.Version, wire.DocumentTargets: state.ListVersion},
	}
	return !sameIncarnation
}

// receiveTarget handles a message of an agent, or of the entry that runs one for its target.
func (peers *peers) receiveTarget(from netip.AddrPort, state *wire.TargetState, arrivedAt time.Time) {
	gateway := peers.gateway
	now := gateway.clock.Now()
	key := directory.TargetKey{ID: state.Target, StartedAt: state.StartedAt}
	switch {
	case !state.Remote:
		gateway.remoteAgents.recordMessage(from.Addr(), state.Interval, arrivedAt)
	case state.CanSendOrders && from != peers.ownAddress():
		gateway.remoteAgents.recordHolder(state.Target, arrivedAt)
	}
	peers.mu.Lock()
	before, known := peers.agentStates[key]
	sameSender := known && before.from == from
	if sameSender && before.state.Number > state.Number && arrivedAt.Sub(before.at) < reorderWindow {
		peers.mu.Unlock()
		return // a newer message arrived first
	}
	if state.Remote && known && !before.state.Remote && gateway.silence(before.at, now) < agentObserveAfter {
		peers.mu.Unlock()
		return // this entry gets messages of the target's own agent
	}
	listed, fullAt := state.Entries, arrivedAt
	if len(state.Entries) == 0 {
		fullAt = before.fullAt
	}
	if !state.Full {
		if !sameSender || before.state.InventoryVersion != state.InventoryVersion {
			peers.mu.Unlock()
			return // refers to a full message that has not arrived; the agent sends another
		}
		state.CopyInventory(before.state)
	} else if known && len(state.Entries) == 0 {
		state.Entries = before.state.Entries
	}
	stored := agentState{state: state, models: before.models, from: from, at: arrivedAt, fullAt: fullAt}
	// The planner's messages are all full ones.
	sameInventory := !state.Full || state.Remote && sameSender && before.state.InventoryVersion == state.InventoryVersion
	if !sameInventory {
		stored.models = residentModels(state)
	}
	for _, entry := range listed {
		peers.addEntry(entry)
	}
	peers.agentStates[key] = stored
	sweep := now.Sub(peers.agentsSwept) >= agentSweepInterval
	if sweep {
		peers.agentsSwept = now
		maps.DeleteFunc(peers.agentStates, func(_ directory.TargetKey, last agentState) bool { return now.Sub(last.at) > stateRetention })
	}
	if sweep || state.Loading != "" || known && before.state.Loading != "" {
		peers.loadEnds = peers.loading(now)
	}
	loading := peers.loadEnds
	peers.mu.Unlock()
	if !known && !state.Remote {
		gateway.syncer.targetReplaced(from.Addr().String(), state.Target, state.StartedAt)
	}
	gateway.mu.Lock()
	gateway.dispatcher.SetReport(key, newReport(stored))
	gateway.dispatcher.SetCachedParts(key, state.Cached, state.Evicted, now)
	gateway.dispatcher.SetLoadsInProgress(loading)
	gateway.mu.Unlock()
	// Calls are held for models and for targets whose version has to be confirmed; the load alone
	// changes nothing for them.
	if !sameInventory || known && state.Unreachable != before.state.Unreachable || arrivedAt.Sub(before.at) > quietInterval || gateway.heldForVersion.Load() > 0 {
		gateway.changed.broadcast()
	}
}

const (
	quietInterval      = 300 * time.Millisecond // between two messages of an agent, after which its target may have counted as silent
	agentSweepInterval = time.Second            // between two deletions of old messages of agents
	reorderWindow      = time.Second            // a lower message number after that time comes from a restarted agent, not from reordering
	stateRetention     = 10 * time.Second       // agents' messages are deleted after that time
	stateMaxAge        = time.Second            // with an older message, a target gets no plan commands and the dispatcher does not count on the load in progress there
)

// loading returns, for each model being loaded, when the first of its loads ends.
// The caller must hold mu.
func (peers *peers) loading(now time.Time) map[string]time.Time {
	loading := map[string]time.Time{}
	for _, last := range peers.agentStates {
		model := last.state.Loading
		if model == "" || peers.gateway.silence(last.at, now) > stateMaxAge {
			continue
		}
		ends := last.at.Add(last.state.BusyFor)
		if known, ok := loading[model]; !ok || ends.Before(known) {
			loading[model] = ends
		}
	}
	return loading
}

// newReport converts an agent's message into a report, for the dispatcher or the planner.
func newReport(last agentState) directory.Report {
	state := last.state
	report := directory.Report{
		At: last.at, Queued: state.Waiting, Running: state.Running, Starting: state.Starting, Busy: state.Busy,
		BusyFor: state.BusyFor, Draining: state.Draining, RemovedIn: state.RemovedIn, Sequence: state.Sequence, UsedKV: state.UsedKV,
		TotalKV: state.TotalKV, LoadingAdapters: state.Pending, HostModels: state.Host, DiskModels: state.Disk, StartedAt: state.StartedAt,
		Models: last.models, Interval: state.Interval, Unreachable: state.Unreachable, Remote: state.Remote, NoOrders: !state.CanSendOrders,
	}
	for _, tokens := range state.Unread {
		report.Unread = append(report.Unread, int(tokens))
	}
	return report
}

func residentModels(state *wire.TargetState) []directory.ResidentModel {
	var models []directory.ResidentModel
	for _, resident := range state.Models {
		models = append(models, directory.ResidentModel{Model: resident.Model, Adapters: resident.Adapters})
	}
	return models
}
