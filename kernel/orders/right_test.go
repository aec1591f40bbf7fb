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
	rightSilence   = 4 * time.Second         // of the agent until the first order
	rightNotice    = 900 * time.Millisecond  // until the planner notices that the target does not answer
	rightMostCut   = 1900 * time.Millisecond // for which the planner keeps the orders while it does not reach the target
	rightFormer    = 10 * time.Second        // in which a planner takes over from the one before it
)

// rightFleet is an agent and a planner that looks after its target.
type rightFleet struct {
	t              *rapid.T
	now            time.Time
	right          *Right
	runsAgain      time.Time // the agent does not run before
	lastPoll       time.Time
	cutAt          time.Time
	cutUntil       time.Time // from cutAt on the planner reaches neither the agent nor the target
	heardAt        time.Time // when the planner last heard the agent
	claiming       bool
	ended          bool
	answering      time.Time // since when the target answers the planner, zero if it does not
	planFence      uint64
	fence          uint64 // of the planner's orders, 0 if it gives none
	plannedAt      time.Time
	announcedAt    time.Time // of the former planner's last order
	agentOrderedAt time.Time
	revision       uint64
	own            uint64
	highest        uint64
	toPlanner      lossyLink
	toAgent        lossyLink
	unread         []func(now time.Time) // messages that have reached the agent while it did not run
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

func (rightFleet *rightFleet) cut() bool { return rightFleet.now.Before(rightFleet.cutUntil) }

// losePlanner has another entry plan, which knows of the former planner's orders by its announcements.
func (rightFleet *rightFleet) losePlanner() {
	rightFleet.planFence++
	rightFleet.revision++
	rightFleet.announcedAt = rightFleet.plannedAt
	rightFleet.claiming, rightFleet.ended, rightFleet.fence, rightFleet.answering = false, false, 0, time.Time{}
}

// restartAgent has the agent forget what it knows.
func (rightFleet *rightFleet) restartAgent() {
	rightFleet.right, rightFleet.own = NewRight(rightFleet.now), AgentFence(rightFleet.revision)
	rightFleet.lastPoll, rightFleet.unread = rightFleet.now, nil
}

// runAgent has the agent poll, send its state, and give an order if it may.
func (rightFleet *rightFleet) runAgent() {
	now := rightFleet.now
	if !rightFleet.agentRuns() {
		return
	}
	if pause := now.Sub(rightFleet.lastPoll); pause > rightPause {
		rightFleet.right.Suspend(pause, now)
	}
	rightFleet.lastPoll = now
	for _, read := range rightFleet.unread {
		read(now)
	}
	rightFleet.unread = nil
	if !rightFleet.cut() && rightFleet.toPlanner.delivers(rightFleet.t) {
		rightFleet.heardAt = now
	}
	if !rightFleet.right.Held(now) || now.Sub(rightFleet.runsAgain) < rightThawed {
		return
	}
	fence := rightFleet.right.Fence(rightFleet.own)
	if fence < rightFleet.highest {
		rightFleet.t.Fatalf("the agent orders with fence %d after %d", fence, rightFleet.highest)
	}
	if now.Sub(rightFleet.plannedAt) < rightTakeTurns {
		rightFleet.t.Fatalf("the agent orders %v after the planner", now.Sub(rightFleet.plannedAt))
	}
	rightFleet.highest, rightFleet.agentOrderedAt = fence, now
}

// runPlanner has the planner claim the orders of an agent that it does not hear, order, and hand
// the orders back.
func (rightFleet *rightFleet) runPlanner() {
	now := rightFleet.now
	silence := now.Sub(rightFleet.heardAt)
	switch {
	case !rightFleet.cut() && rightFleet.answering.IsZero():
		rightFleet.answering = now
	case rightFleet.cut() && (now.Sub(rightFleet.cutAt) >= rightMostCut || rightFleet.fence == 0 && now.Sub(rightFleet.cutAt) >= rightNotice):
		rightFleet.answering, rightFleet.fence = time.Time{}, 0
	}
	switch {
	case !rightFleet.claiming && silence >= rightObserve:
		rightFleet.claiming, rightFleet.ended = true, false
	case rightFleet.claiming && silence < rightObserve:
		rightFleet.ended, rightFleet.fence = true, 0
	}
	if rightFleet.claiming && rightFleet.ended && now.Sub(rightFleet.plannedAt) > rightTakeTurns {
		rightFleet.claiming = false
	}
	if rightFleet.claiming && !rightFleet.ended {
		rightFleet.order(silence)
	}
	if now.UnixMilli()%rightClaims.Milliseconds() != 0 || rightFleet.cut() || !rightFleet.toAgent.delivers(rightFleet.t) {
		return
	}
	switch planFence, fence := rightFleet.planFence, rightFleet.highest; {
	case now.Sub(rightFleet.plannedAt) <= rightTakeTurns || rightFleet.fence != 0:
		rightFleet.unread = append(rightFleet.unread, func(now time.Time) { rightFleet.right.Claim(planFence, fence, now) })
	case rightFleet.agentRuns() && (!rightFleet.claiming || rightFleet.ended):
		rightFleet.unread = append(rightFleet.unread, func(read time.Time) { rightFleet.right.Release(planFence, read.Sub(now), read) })
	}
}

// order has the planner take the orders over from an agent that is silent while its target answers, and give one.
func (rightFleet *rightFleet) order(silence time.Duration) {
	now := rightFleet.now
	observed := rightTakeTurns + rightObserve
	if now.Sub(rightFleet.announcedAt) <= rightFormer && rightFleet.announcedAt.After(rightFleet.heardAt) {
		observed = rightTakeOver
	}
	if rightFleet.fence == 0 && silence >= rightSilence && !rightFleet.answering.IsZero() && now.Sub(rightFleet.answering) >= observed &&
		now.Sub(rightFleet.plannedAt) >= rightTakeTurns {
		rightFleet.revision++
		rightFleet.fence = PlannerFence(rightFleet.revision)
	}
	if rightFleet.fence == 0 || rightFleet.cut() {
		return
	}
	if rightFleet.fence < rightFleet.highest {
		rightFleet.t.Fatalf("the planner orders with fence %d after %d", rightFleet.fence, rightFleet.highest)
	}
	if now.Sub(rightFleet.agentOrderedAt) < rightTakeTurns {
		rightFleet.t.Fatalf("the planner orders %v after the agent", now.Sub(rightFleet.agentOrderedAt))
	}
	rightFleet.plannedAt, rightFleet.highest = now, rightFleet.fence
}

func TestPromiseAgentAndPlannerNeverBothGiveOrders(t *testing.T) {
	handedOver, handedBack := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Unix(1000, 0)
		fleet := &rightFleet{t: t, now: begin, right: NewRight(begin), lastPoll: begin, heardAt: begin, planFence: 1, revision: 5, own: AgentFence(5)}
		for _, pause := range rapid.SliceOfN(rapid.IntRange(0, 6000), 1, 4).Draw(t, "pauses") {
			handedBack += fleet.run(rapid.IntRange(1, 100).Draw(t, "calm"))
			if rapid.Bool().Draw(t, "cut") {
				fleet.cutAt = fleet.now
				fleet.cutUntil = fleet.now.Add(time.Duration(rapid.IntRange(0, 8000).Draw(t, "cut for")) * time.Millisecond)
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
			if rapid.Bool().Draw(t, "planner lost") {
				fleet.losePlanner()
			}
			if rapid.Bool().Draw(t, "restarts") {
				fleet.revision += uint64(rapid.IntRange(0, 1).Draw(t, "written"))
				fleet.restartAgent()
			}
		}
		handedBack += fleet.run(100)
	})
	assert.Assert(t, handedOver > 0 && handedBack > 0, "orders were handed over %d times, back %d times", handedOver, handedBack)
}

// run has both run for so many steps, and returns how often the planner handed the orders back.
func (rightFleet *rightFleet) run(steps int) (handedBack int) {
	for range steps {
		rightFleet.now = rightFleet.now.Add(rightStep)
		held := rightFleet.fence != 0
		rightFleet.runAgent()
		rightFleet.runPlanner()
		if held && rightFleet.fence == 0 {
			handedBack++
		}
	}
	return handedBack
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
		"planner is lost":         {0, 0, claimPause},
		"planner ends its orders": {time.Second, 4, time.Second},
		"new planner knows none":  {time.Second, 5, claimPause},
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
			assert.Check(t, test.by == 4 || test.heldFrom >= rightTakeTurns)
		})
	}
}
