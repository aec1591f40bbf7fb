package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/wire"
)

// Guards against a planner that takes the time for which it asked nobody, as the object API kept it from
// planning, for the silence of an agent: one lost answer then moves all models of a target.
func TestAgentIsNotSilentWhileNobodyAsks(t *testing.T) {
	now := clock.NewFake(time.Unix(1000, 0))
	planner := newIdleEntryAt(t, now).planner
	ask := func(answered bool) (live bool) {
		askedAt := now.Now()
		var load *wire.Load
		if answered {
			load = &wire.Load{Target: "t"}
		} else {
			now.Advance(callTimeout)
		}
		planner.recordAgentLoad("t", load, askedAt)
		return planner.agents["t"].live
	}
	assert.Assert(t, ask(true))
	now.Advance(time.Minute)
	assert.Assert(t, ask(false), "one question without an answer")
	for asked := time.Duration(0); asked+2*callTimeout < maxAgentSilence; asked += callTimeout {
		assert.Assert(t, ask(false), "silent for less than maxAgentSilence")
	}
	assert.Assert(t, !ask(false), "silent for maxAgentSilence")
	now.Advance(time.Minute)
	assert.Assert(t, ask(true))
	assert.Assert(t, ask(false))
}
