package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/memory"
)

func planOf(version uint64, targets map[string][]string) *Plan {
	return &Plan{version: version, targets: targets}
}

func heldBy(t *testing.T, names ...string) (*Carrier, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	ledger := memory.New(testMemory, testWindow, now.Add(-time.Second))
	var holdings []memory.Holding
	for _, name := range names {
		holdings = append(holdings, memory.Holding{Name: name, Footprint: testModels[name], Ready: true})
	}
	ledger.Sync(holdings, now)
	return NewCarrier("t0", ledger), now
}

func TestCarrierUnloadsOnlyWhatThePlanInTheStoreDrops(t *testing.T) {
	carrier, now := heldBy(t, "a")
	// A restarted agent gets an old plan that does not give it the model.
	carrier.Assigned(5, nil)
	assert.DeepEqual(t, carrier.Step(now, testFootprint), []CarrierEffect{ConfirmPlan{}})
	assert.Equal(t, len(carrier.Step(now, testFootprint)), 0, "one question at a time")
	carrier.Confirmed(planOf(7, map[string][]string{"t0": {"a"}}))
	assert.Equal(t, len(carrier.Step(now, testFootprint)), 0, "the plan in the store gives the model to the target")
	carrier.Assigned(6, nil)
	assert.Equal(t, len(carrier.Step(now, testFootprint)), 0, "an older plan came late")
	carrier.Confirmed(planOf(8, nil))
	assert.DeepEqual(t, carrier.Step(now, testFootprint), []CarrierEffect{OrderUnload{Name: "a"}})
}

func TestGuardCountsOnlyReplicasOfThePresentPlan(t *testing.T) {
	drop := planOf(0, map[string][]string{"t1": {"a"}})
	tests := []struct {
		name    string
		other   Target
		removed bool
	}{
		{"ready and applied", Target{Live: true, Applied: 4, Ready: []string{"a"}}, true},
		{"not ready", Target{Live: true, Applied: 4}, false},
		{"silent", Target{Applied: 4, Ready: []string{"a"}}, false},
		{"goes by an older plan", Target{Live: true, Applied: 3, Ready: []string{"a"}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := test.other
			other.Name = "t1"
			input := &Input{
				Current: planOf(4, map[string][]string{"t0": {"a"}, "t1": {"a"}}),
				Targets: []*Target{{Name: "t0", Live: true, Applied: 4, Ready: []string{"a"}}, &other},
				Models:  []*Model{{Name: "a", Footprint: 30}},
			}
			next := drop.clone(1)
			guard(input, next)
			assert.Equal(t, next.Has("t0", "a"), !test.removed)
		})
	}
	t.Run("not of the present plan", func(t *testing.T) {
		input := &Input{
			Current: planOf(4, map[string][]string{"t0": {"a"}}),
			Targets: []*Target{{Name: "t0", Live: true, Applied: 4, Ready: []string{"a"}}, {Name: "t1", Live: true, Applied: 4, Ready: []string{"a"}}},
			Models:  []*Model{{Name: "a", Footprint: 30}},
		}
		next := drop.clone(1)
		guard(input, next)
		assert.Assert(t, next.Has("t0", "a"))
	})
}
