package sidecar

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

const (
	remoteReportInterval = 500 * time.Millisecond // reports that are asked for by another machine are priced and some 100 ms old
	remoteUrgentInterval = 100 * time.Millisecond // while requests wait for an adapter, or an order waits for a report
	remoteUnusablePause  = 5 * time.Second        // after an answer that was no report
	remoteLimitShare     = 0.25                   // of the requests a second that a target allows, for reports
	remoteAdapterTime    = 20 * time.Millisecond  // from an accepted order to the end of the load of an adapter, which takes 5 to 14 ms
)

// Remote is what an agent on another machine than its target has in place of a socket: the planner
// runs it in its own process while the target's own agent is silent.
type Remote struct {
	Key     directory.TargetKey
	Fence   func() uint64                                          // for orders, 0 if none may be given
	Models  []directory.ResidentModel                              // that the target holds by the list of targets
	Publish func(state *wire.TargetState, changed bool)            // sends a full state to the entries, at once if it has changed
	Send    func(addresses []netip.AddrPort, message wire.Message) // sends a result
}

// reportPause returns the time until the next request for a report.
func (sidecar *Sidecar) reportPause() time.Duration {
	pause := reportInterval
	switch urgent := sidecar.controller.NeedsReport(); {
	case sidecar.options.Remote != nil:
		return sidecar.remoteReportPause(urgent)
	case urgent:
		pause = urgentReportInterval
	}
	return pause
}

// remoteReportPause is reportPause for a target on another machine, which may count reports as
// requests.
func (sidecar *Sidecar) remoteReportPause(urgent bool) time.Duration {
	pause := remoteReportInterval
	switch {
	case sidecar.unusable:
		return remoteUnusablePause
	case urgent:
		pause = remoteUrgentInterval
	}
	if report := sidecar.report; report.Limited && report.Limit > 0 {
		pause = max(pause, time.Duration(float64(time.Second)/(remoteLimitShare*report.Limit)))
	}
	return pause
}

// RunRemote polls the target and gives it orders until ctx ends. No order is given
// while Remote.Fence returns 0.
func (sidecar *Sidecar) RunRemote(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return sidecar.control.Run(ctx) })
	group.Go(func() error { return sidecar.pollTarget(ctx) })
	return group.Wait()
}

// UpdateOrders gives the orders that are waiting once a fence for them is known, and answers what is
// waiting once there is none any more.
func (sidecar *Sidecar) UpdateOrders(ctx context.Context) {
	sidecar.control.Post(func() {
		fence := sidecar.options.Remote.Fence()
		sidecar.log.Infof("orders to target %s carry fence %d", sidecar.targetID, fence)
		if fence == 0 {
			sidecar.controller.Abandon("the target's own agent gives the orders")
		}
		sidecar.advance(ctx)
	})
}

// SetService sets the description of the target's service.
func (sidecar *Sidecar) SetService(service *directory.Service) {
	sidecar.control.Post(func() { sidecar.controller.SetService(service) })
}

// HandleCommand handles a command of an entry.
func (sidecar *Sidecar) HandleCommand(ctx context.Context, from netip.AddrPort, command *wire.Command) {
	sidecar.control.Post(func() {
		sidecar.handleCommand(from, command, sidecar.options.Clock.Now())
		sidecar.advance(ctx)
	})
}

// RecordUse records that requests use adapters of the target.
func (sidecar *Sidecar) RecordUse(used []wire.AdapterUse) {
	sidecar.control.Post(func() {
		for _, use := range used {
			sidecar.controller.RecordUse(use.Model, use.Adapter, sidecar.options.Clock.Now())
		}
	})
}

// OrderedAt returns when the last order was sent, the zero time if there was none.
func (sidecar *Sidecar) OrderedAt() time.Time {
	if orderedAt := sidecar.orderedAt.Load(); orderedAt != nil {
		return *orderedAt
	}
	return time.Time{}
}

// assumeDone takes an order for an adapter as carried out once that must have happened.
func (sidecar *Sidecar) assumeDone(ctx context.Context, order directory.Order) {
	if order.Load {
		sidecar.sleep(ctx, remoteAdapterTime)
	}
	sidecar.control.Post(func() {
		sidecar.controller.AssumeDone(order)
		sidecar.advance(ctx)
	})
}

// publish sends the state of a target on another machine.
func (sidecar *Sidecar) publish(unreachable bool) {
	now := sidecar.options.Clock.Now()
	sidecar.messageNumber++
	sidecar.routableModels = sidecar.controller.RoutableModels()
	state := sidecar.state(now)
	state.Remote, state.Unreachable, state.Interval = true, unreachable, 0
	state.Unread = nil // entries announce no prompts to it
	if !sidecar.controller.Reported() {
		state.Models = residentStates(sidecar.options.Remote.Models)
	}
	changed := unreachable != sidecar.publishedUnreachable || sidecar.inventoryVersion != sidecar.publishedVersion
	sidecar.publishedUnreachable, sidecar.publishedVersion = unreachable, sidecar.inventoryVersion
	sidecar.options.Remote.Publish(state, changed)
}

func residentStates(models []directory.ResidentModel) []wire.ResidentState {
	states := make([]wire.ResidentState, 0, len(models))
	for _, model := range models {
		states = append(states, wire.ResidentState{Model: model.Model, Adapters: model.Adapters})
	}
	return states
}
