package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/lease"
	"endiverill.example/kernel/proptest"
)

// steppedClock is a clock whose time of day differs from the steady one by a step.
type steppedClock struct {
	clock.Clock
	now  time.Time
	step time.Duration
}

func (steppedClock *steppedClock) Now() time.Time {
	return proptest.StepWallClock(steppedClock.now, steppedClock.step)
}

func TestSuspendedPlannerGivesOrdersByLeaseThatHasEnded(t *testing.T) {
	for name, test := range map[string]struct {
		passed, suspended time.Duration
		orders            bool
	}{
		"just renewed":          {500 * time.Millisecond, 0, true},
		"about to end":          {2700 * time.Millisecond, 0, false},
		"suspended":             {500 * time.Millisecond, 4 * time.Second, false},
		"time of day set back":  {500 * time.Millisecond, -time.Hour, true},
		"ended, clock set back": {4 * time.Second, -time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			stepped := &steppedClock{Clock: clock.System{}, now: time.Now()}
			planner := newIdleGateway(t, stepped).planner
			planner.lease.Tick(stepped.Now())
			planner.lease.ReadDone(stepped.Now(), lease.Record{}, 0, false)
			planner.lease.WriteDone(stepped.Now(), lease.Written, 7)
			planner.updateFence()
			assert.Assert(t, planner.fence() != 0)
			stepped.now, stepped.step = stepped.now.Add(test.passed), test.suspended
			assert.Equal(t, planner.mayOrder(), test.orders)
		})
	}
}
