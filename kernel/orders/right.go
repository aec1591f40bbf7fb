package orders

import "time"

// claimTimeout is how long no planner may have claimed the orders before an agent gives them that did
// not run for less than takeOverPause. A planner repeats its claim four times within it.
const claimTimeout = time.Second

// takeOverPause is how long an agent may stand still without a planner taking its orders over.
const takeOverPause = 2 * time.Second

// claimPause is how long an agent gives no orders after its start, after a longer pause or after a
// claim, unless the planner says that it gives none: a planner may have given one right before it was
// lost. Holders may not take turns within 3 s, and a planner hears an agent within 1 s.
const claimPause = 4 * time.Second

// maxUnreadRelease is how long a message that the planner gives no orders may have lain unread: the
// agent may not have run since, and the planner may have taken the orders over.
const maxUnreadRelease = 100 * time.Millisecond

// Right is the right of the agent beside a target to give the target orders. The planner takes the
// orders over from an agent that it does not hear from, and claims them by messages to the agent.
// An agent that starts, or did not run for a while, gives none until the planner says that it does
// not claim them or a while has passed.
type Right struct {
	notBefore    time.Time // earliest time for orders after a start or a pause
	claimedUntil time.Time // until when the last claim lasts
	planFence    uint64    // highest fence of the planners that have claimed the orders
	fence        uint64    // highest fence of their orders
}

// NewRight returns the right of an agent that starts at now.
func NewRight(now time.Time) *Right { return &Right{notBefore: now.Add(claimPause)} }

// Suspend records that the agent did not run for a while, so that the orders may have been taken over.
func (right *Right) Suspend(pause time.Duration, now time.Time) {
	wait := claimTimeout
	if pause >= takeOverPause {
		wait = claimPause
	}
	if notBefore := now.Add(wait); notBefore.After(right.notBefore) {
		right.notBefore = notBefore
	}
}

// Claim records that the planner gives the orders, with a fence above all earlier ones.
func (right *Right) Claim(planFence, fence uint64, now time.Time) {
	right.planFence, right.fence = max(right.planFence, planFence), max(right.fence, fence)
	right.claimedUntil = now.Add(claimPause)
}

// Release records that the planner does not give the orders, by a message that lay unread for a
// while, unless a later planner has claimed them. The claim of an earlier one lasts: only that planner
// knows when it gave its last order.
func (right *Right) Release(planFence uint64, unread time.Duration, now time.Time) {
	if planFence < right.planFence || unread > maxUnreadRelease {
		return
	}
	if now.Before(right.notBefore) {
		right.notBefore = now
	}
	if planFence == right.planFence && now.Before(right.claimedUntil) {
		right.claimedUntil = now
	}
}

// Held reports whether the agent may give orders.
func (right *Right) Held(now time.Time) bool {
	return !now.Before(right.notBefore) && !now.Before(right.claimedUntil)
}

// Fence returns the fence for the agent's orders, given that of its start: it is higher than those
// of all planners that have claimed the orders.
func (right *Right) Fence(own uint64) uint64 {
	if own == 0 || right.fence < own {
		return own
	}
	return right.fence + 1
}

// AgentFence returns the fence for the orders of an agent that starts at a version of the store,
// which counts its epochs too. It is higher than the planner's fences of that version and the
// earlier ones.
func AgentFence(version uint64) uint64 { return 2*version + 1 }

// PlannerFence returns the fence for orders of a planner whose last write to the store made a
// version. It is higher than those of all agents that started before it.
func PlannerFence(version uint64) uint64 { return 2 * version }
