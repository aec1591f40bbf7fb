package sidecar

import (
	"net/netip"
	"time"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/wire"
)

// maxPollPause is the longest time between two polls of an agent that runs in time. The planner waits
// longer before it takes the orders over.
const maxPollPause = 600 * time.Millisecond

// mayOrder reports whether the target may be given orders.
func (sidecar *Sidecar) mayOrder() bool { return sidecar.orderFence() != 0 }

// orderFence returns the fence for orders, 0 if none may be given.
func (sidecar *Sidecar) orderFence() uint64 {
	switch {
	case sidecar.options.Remote != nil:
		return sidecar.options.Remote.Fence()
	case !sidecar.right.Held(sidecar.options.Clock.Now()):
		return 0
	default:
		return sidecar.right.Fence(sidecar.fence)
	}
}

// handleClaim handles the planner's claim of the orders, and answers with the target's state, by
// which the planner learns that the agent runs.
func (sidecar *Sidecar) handleClaim(from netip.AddrPort, claim *wire.OrderClaim, now time.Time) {
	sidecar.options.Metrics.Add("orders.claimed", 1)
	if claim.Fence != 0 {
		if sidecar.right.Held(now) {
			sidecar.log.Infof("planner with fence %d gives orders with fence %d to the target", claim.PlanFence, claim.Fence)
		}
		sidecar.right.Claim(claim.PlanFence, claim.Fence, now)
		sidecar.controller.Abandon("the planner gives the orders")
	}
	sidecar.subscribe(from, 0, now)
	sidecar.sendState()
}

// recordPause records when this process has not run for so long that the planner may have taken
// the orders over. A suspended machine shows only by the time of day.
func (sidecar *Sidecar) recordPause() {
	now, last := sidecar.options.Clock.Now(), sidecar.polledAt
	sidecar.polledAt = now
	pause := clock.Elapsed(last, now)
	if last.IsZero() || pause < maxPollPause {
		return
	}
	sidecar.log.Infof("the agent did not run for %v, or the time of day was set; it gives no orders until it knows that the planner gives none", pause)
	sidecar.right.Suspend(pause, now)
}
