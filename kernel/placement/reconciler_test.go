package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/memory"
)

func planWithVersion(version uint64, targets map[string][]string) *Plan {
	return &Plan{version: version, targets: targets}
}

func reconcilerWithItems(t *testing.T, names ...string) (*Reconciler, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	ledger := memory.New(testMemory, testWindow, now.Add(-time.Second))
	var engineItems []memory.EngineItem
	for _, name := range names {
		engineItems = append(engineItems, memory.EngineItem{Name: name, Footprint: testModels[name], Ready: true})
	}
	ledger.Sync(engineItems, now)
	return NewReconciler("t0", ledger), now
}

func TestReconcilerUnloadsOnlyModelsAbsentFromStoredPlan(t *testing.T) {
	reconciler, now := reconcilerWithItems(t, "a")
	// A restarted agent receives an outdated plan that does not assign the model to it.
	reconciler.SetAssignment(5, nil)
	assert.DeepEqual(t, reconciler.Step(now, testFootprint), []ReconcilerEffect{ReadStoredPlan{}})
	assert.Equal(t, len(reconciler.Step(now, testFootprint)), 0, "a read of the plan is in progress")
	reconciler.PlanRead(planWithVersion(7, map[string][]string{"t0": {"a"}}))
	assert.Equal(t, len(reconciler.Step(now, testFootprint)), 0, "the stored plan assigns the model to the target")
	reconciler.SetAssignment(6, nil)
	assert.Equal(t, len(reconciler.Step(now, testFootprint)), 0, "an older plan is ignored")
	reconciler.PlanRead(planWithVersion(8, nil))
	assert.DeepEqual(t, reconciler.Step(now, testFootprint), []ReconcilerEffect{OrderUnload{Name: "a"}})
}

func TestKeepLastReplicasCountsOnlyReadyReplicasOfCurrentPlan(t *testing.T) {
	drop := planWithVersion(0, map[string][]string{"t1": {"a"}})
	tests := []struct {
		name    string
		other   Target
		removed bool
	}{
		{"ready, current plan applied", Target{Live: true, AppliedVersion: 4, Ready: []string{"a"}}, true},
		{"not ready", Target{Live: true, AppliedVersion: 4}, false},
		{"agent does not answer", Target{AppliedVersion: 4, Ready: []string{"a"}}, false},
		{"older plan applied", Target{Live: true, AppliedVersion: 3, Ready: []string{"a"}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := test.other
			other.Name = "t1"
			input := &Input{
				Current: planWithVersion(4, map[string][]string{"t0": {"a"}, "t1": {"a"}}),
				Targets: []*Target{{Name: "t0", Live: true, AppliedVersion: 4, Ready: []string{"a"}}, &other},
				Models:  []*Model{{Name: "a", Footprint: 30}},
			}
			next := drop.clone(1)
			keepLastReplicas(input, next)
			assert.Equal(t, next.Has("t0", "a"), !test.removed)
		})
	}
	t.Run("not in the current plan", func(t *testing.T) {
		input := &Input{
			Current: planWithVersion(4, map[string][]string{"t0": {"a"}}),
			Targets: []*Target{{Name: "t0", Live: true, AppliedVersion: 4, Ready: []string{"a"}}, {Name: "t1", Live: true, AppliedVersion: 4, Ready: []string{"a"}}},
			Models:  []*Model{{Name: "a", Footprint: 30}},
		}
		next := drop.clone(1)
		keepLastReplicas(input, next)
		assert.Assert(t, next.Has("t0", "a"))
	})
}
