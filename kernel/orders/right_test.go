package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	rightStep      = 50 * time.Millisecond
	rightClaims    = 200 * time.Millisecond  // between two claims of a planner
	rightTakeOver  = 1200 * time.Millisecond // from the first claim to the first order
	rightObserve   = 400 * time.Millisecond  // silence of the agent until the first claim
	rightPause     = 600 * time.Millisecond  // shortest pause that an agent notices
	rightMostLost  = 3                       // messages lost in a row
	rightThawed    = 300 * time.Millisecond  // after a pause, in which orders are not judged
	rightTakeTurns = 3 * time.Second
)

// rightFleet is an agent and a planner that looks after its target.
type rightFleet struct {
	t            *rapid.T
	now          time.Time
	right        *Right
	runsAgain    time.Time // the agent does not run before
	lastPoll     time.Time
	heardAt      time.Time // when the planner last heard the agent
	claiming     bool
	ended        bool
	claimedSince time.Time
	fence        uint64 // of the planner's orders, 0 if it gives none
	plannedAt    time.Time
	revision     uint64
	own          uint64
	highest      uint64
	toPlanner    lossyLink
	toAgent      lossyLink
	unread       []func(now time.Time) // messages that have reached the agent while it did not run
}

// lossyLink loses at most rightMostLost messages in a row.
type lossyLink struct{ lost int }

func (lossyLink *lossyLink) delivers(t *rapid.T) bool {
	if lossyLink.lost < rightMostLost && rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
		lossyLink.lost++
		return false
	}
	lossyLink.lost = 0
	return true
}

func (rightFleet *rightFleet) agentRuns() bool { return !rightFleet.now.Before(rightFleet.runsAgain) }

// runAgent has the agent poll, send its state, and give an order if it may.
func (rightFleet *rightFleet) runAgent() {
	now := rightFleet.now
	if !rightFleet.agentRuns() {
		return
	}
	thawed := now.Sub(rightFleet.lastPoll) > rightPause
	if thawed {
		rightFleet.right.Suspend(now)
	}
	rightFleet.lastPoll = now
	for _, read := range rightFleet.unread {
		read(now)
	}
	rightFleet.unread = nil
	if rightFleet.toPlanner.delivers(rightFleet.t) {
		rightFleet.heardAt = now
	}
	if !rightFleet.right.Held(now) || now.Sub(rightFleet.runsAgain) < rightThawed {
		return
	}
	fence := rightFleet.right.Fence(rightFleet.own)
	if fence < rightFleet.highest {
		rightFleet.t.Fatalf("the agent orders with fence %d after %d", fence, rightFleet.highest)
	}
	if rightFleet.fence != 0 || now.Sub(rightFleet.plannedAt) < rightTakeTurns {
		rightFleet.t.Fatalf("the agent orders %v after the planner", now.Sub(rightFleet.plannedAt))
	}
	rightFleet.highest = fence
}

// runPlanner has the planner claim the orders of an agent that it does not hear, order, and hand
// the orders back.
func (rightFleet *rightFleet) runPlanner() {
	now := rightFleet.now
	silent := now.Sub(rightFleet.heardAt) >= rightObserve
	switch {
	case !rightFleet.claiming && silent:
		rightFleet.claiming, rightFleet.ended, rightFleet.claimedSince = true, false, now
	case rightFleet.claiming && !silent:
		rightFleet.ended, rightFleet.fence = true, 0
	}
	if rightFleet.claiming && rightFleet.ended && now.Sub(rightFleet.plannedAt) > rightTakeTurns {
		rightFleet.claiming = false
	}
	if rightFleet.claiming && !rightFleet.ended {
		if rightFleet.fence == 0 && now.Sub(rightFleet.claimedSince) >= rightTakeOver {
			rightFleet.revision++
			rightFleet.fence = PlannerFence(rightFleet.revision)
		}
		if rightFleet.fence != 0 {
			if rightFleet.fence < rightFleet.highest {
				rightFleet.t.Fatalf("the planner orders with fence %d after %d", rightFleet.fence, rightFleet.highest)
			}
			rightFleet.plannedAt, rightFleet.highest = now, rightFleet.fence
		}
	}
	if now.UnixMilli()%rightClaims.Milliseconds() != 0 || !rightFleet.toAgent.delivers(rightFleet.t) {
		return
	}
	switch fence := rightFleet.highest; {
	case rightFleet.claiming && rightFleet.plannedAt.After(rightFleet.claimedSince):
		rightFleet.unread = append(rightFleet.unread, func(now time.Time) { rightFleet.right.Claim(1, fence, now) })
	case !rightFleet.claiming && rightFleet.agentRuns():
		rightFleet.unread = append(rightFleet.unread, func(read time.Time) { rightFleet.right.Release(1, read.Sub(now), read) })
	}
}

func TestPromiseAgentAndPlannerNeverBothGiveOrders(t *testing.T) {
	handedOver, handedBack := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Unix(1000, 0)
		fleet := &rightFleet{t: t, now: begin, right: NewRight(begin), lastPoll: begin, heardAt: begin, revision: 5, own: AgentFence(5)}
		pauses := rapid.SliceOfN(rapid.IntRange(0, 6000), 1, 4).Draw(t, "pauses")
		for _, pause := range pauses {
			for calm := rapid.IntRange(1, 100).Draw(t, "calm"); calm > 0; calm-- {
				fleet.now = fleet.now.Add(rightStep)
				held := fleet.fence != 0
				fleet.runAgent()
				fleet.runPlanner()
				if held && fleet.fence == 0 {
					handedBack++
				}
			}
			fleet.runsAgain = fleet.now.Add(time.Duration(pause) * time.Millisecond)
			for fleet.now.Before(fleet.runsAgain) {
				fleet.now = fleet.now.Add(rightStep)
				before := fleet.fence
				fleet.runPlanner()
				if before == 0 && fleet.fence != 0 {
					handedOver++
				}
			}
			if rapid.Bool().Draw(t, "restarts") {
				fleet.revision += uint64(rapid.IntRange(0, 1).Draw(t, "written"))
				fleet.right, fleet.own, fleet.lastPoll, fleet.unread = NewRight(fleet.now), AgentFence(fleet.revision), fleet.now, nil
			}
		}
	})
	assert.Assert(t, handedOver > 0 && handedBack > 0, "orders were handed over %d times, back %d times", handedOver, handedBack)
}

func TestReleaseOfFormerPlannerEndsClaimOfNewOne(t *testing.T) {
	begin := time.Unix(1000, 0)
	right := NewRight(begin)
	right.Release(3, 0, begin)
	assert.Assert(t, right.Held(begin))
	right.Claim(4, 40, begin)
	right.Release(3, 0, begin)
	assert.Assert(t, !right.Held(begin))
	assert.Equal(t, right.Fence(7), uint64(41))
	right.Release(4, 0, begin)
	assert.Assert(t, right.Held(begin))
}

func TestAgentGivesOrdersRightAfterPlannerThatWasLost(t *testing.T) {
	for name, test := range map[string]struct {
		released time.Duration // when a planner says that it gives no orders, 0 for never
		by       uint64
		heldFrom time.Duration
	}{
		"planner is lost":         {0, 0, rightTakeTurns},
		"planner ends its orders": {time.Second, 4, time.Second},
		"new planner knows none":  {time.Second, 5, rightTakeTurns},
	} {
		t.Run(name, func(t *testing.T) {
			begin := time.Unix(1000, 0)
			right := NewRight(begin.Add(-time.Hour))
			right.Claim(4, 40, begin)
			if test.released != 0 {
				right.Release(test.by, 0, begin.Add(test.released))
			}
			assert.Check(t, !right.Held(begin.Add(test.heldFrom-time.Millisecond)))
			assert.Check(t, right.Held(begin.Add(test.heldFrom)))
		})
	}
}
