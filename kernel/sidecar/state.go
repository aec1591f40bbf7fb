package sidecar

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"endiverill.example/kernel/wire"
)

// sendState sends the target's state to the subscribed entries: the full state
// when the inventory version has changed or fullStateInterval has passed, else a
// message without the inventory. It removes expired subscriptions.
func (sidecar *Sidecar) sendState() {
	if !sidecar.reachable || sidecar.targetID == "" {
		return
	}
	if sidecar.options.Remote != nil {
		sidecar.publish(false)
		return
	}
	now := sidecar.options.Clock.Now()
	sidecar.nextState = sidecar.report.At.Add(sidecar.interval() - stateTolerance)
	sidecar.lastSent, sidecar.unsentTokens = now, 0
	sidecar.routableModels = sidecar.controller.RoutableModels()
	sidecar.messageNumber++
	state := sidecar.state(now)
	listed := len(sidecar.subscribers) <= maxListed || now.Sub(sidecar.listedAt) >= listInterval
	for address, subscriber := range sidecar.subscribers {
		if now.Sub(subscriber.renewed) > wire.SubscriptionTTL {
			delete(sidecar.subscribers, address)
		} else if listed {
			state.Entries = append(state.Entries, address.String())
		}
	}
	var upToDate, others []netip.AddrPort
	for address, subscriber := range sidecar.subscribers {
		if subscriber.inventoryVersion == sidecar.inventoryVersion && now.Sub(subscriber.fullSent) < fullStateInterval {
			upToDate = append(upToDate, address)
			continue
		}
		subscriber.inventoryVersion, subscriber.fullSent = sidecar.inventoryVersion, now
		others = append(others, address)
	}
	if listed && len(others) > 0 {
		sidecar.listedAt = now
	}
	sidecar.sendEach(upToDate, state.WithoutInventory())
	sidecar.sendEach(others, state)
}

// sendUnreachable notifies the subscribed entries that the target does not answer. It is called
// again with each report that fails.
func (sidecar *Sidecar) sendUnreachable() {
	if sidecar.targetID == "" {
		return
	}
	if sidecar.options.Remote != nil {
		sidecar.publish(true)
		return
	}
	sidecar.messageNumber++
	state := sidecar.state(sidecar.options.Clock.Now()).WithoutInventory()
	state.Unreachable = true
	sidecar.sendEach(slices.Collect(maps.Keys(sidecar.subscribers)), state)
}

// spacing returns by how much state messages are further apart, as they go to many subscribers.
func (sidecar *Sidecar) spacing() int { return 1 + len(sidecar.subscribers)/subscribersPerState }

// interval returns the time between two state messages without a change.
func (sidecar *Sidecar) interval() time.Duration {
	return min(stateInterval*time.Duration(sidecar.spacing()), maxStateInterval)
}

// state returns the full state message.
func (sidecar *Sidecar) state(now time.Time) *wire.TargetState {
	report := sidecar.report
	state := &wire.TargetState{
		Target: sidecar.targetID, StartedAt: sidecar.targetStartedAt, Number: sidecar.messageNumber, Running: report.Running, Waiting: report.Queued,
		Starting: report.Starting, Busy: report.Busy, Draining: report.Draining, RemovedIn: report.RemovedIn,
		Sequence: report.Sequence, UsedKV: report.UsedKV, TotalKV: report.TotalKV, Pending: report.LoadingAdapters,
		Host: report.HostModels, Disk: report.DiskModels, CanSendOrders: sidecar.mayOrder(), PlanFence: sidecar.controller.Fence(),
		Full: true, InventoryVersion: sidecar.inventoryVersion, Interval: sidecar.interval(),
	}
	for _, tokens := range sidecar.prompts.Unread() {
		state.Unread = append(state.Unread, uint64(tokens))
	}
	state.Cached, state.Evicted = sidecar.prompts.Changes(now)
	state.Models = residentStates(sidecar.controller.RoutableModels())
	for _, load := range sidecar.controller.StoreLoads(storeLoadWindow, now) {
		state.RecentLoads = append(state.RecentLoads, wire.NamedValue{Name: load.Model, Value: now.Sub(load.At).Seconds()})
	}
	if model, ends := sidecar.controller.Loading(); model != "" {
		state.Loading, state.BusyFor = model, max(ends.Sub(now), 0)
	} else if report.Busy {
		state.BusyFor = unloadEstimate
	}
	return state
}
