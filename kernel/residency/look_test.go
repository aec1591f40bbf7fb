package residency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLookNamesWhatKeepsModelFromAnotherReplica(t *testing.T) {
	full := targetHolding("b", "m1", "m2")
	busy := targetHolding("b")
	busy.Report.Busy = true
	for name, test := range map[string]struct {
		models   int
		other    Target
		obstacle Obstacle
	}{
		"no room":         {3, full, ObstacleMemory},
		"busy":            {3, busy, ObstacleBusy},
		"held everywhere": {3, targetHolding("b", "m0"), ObstacleHeld},
		"loaded":          {2, targetHolding("b", "m1"), ObstacleNone},
	} {
		t.Run(name, func(t *testing.T) {
			planner := New(window)
			planner.RecordDemand("m0", 50000, start)
			planner.RecordDemand("m1", 1000, start)
			planner.Plan(service(test.models), []Target{targetHolding("a", "m0"), test.other}, start)
			look := planner.LastLook("llm")
			assert.Equal(t, look.Models()[0].Name(), "m0")
			assert.Equal(t, look.Models()[0].Obstacle(), test.obstacle, "%v", look)
			assert.Equal(t, look.Usable(), 2)
		})
	}
}

func TestLookIsNilBeforeFirstPlan(t *testing.T) {
	assert.Assert(t, New(time.Second).LastLook("llm") == nil)
}
