package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// fullInput returns the input for two targets whose memory two models each fill: m0 with some
// demand, and m1 to m3 without any. m4 is not placed.
func fullInput(busyDemand, missingDemand float64) *Input {
	input := &Input{Current: EmptyPlan(), MaxLoads: 8, MaxStarts: 8}
	for index, held := range [][]string{{"m0", "m1"}, {"m2", "m3"}} {
		target := &Target{Name: []string{"a", "b"}[index], DataCentre: "dc", Memory: 20, Capacity: 1000, Live: true, Ready: held}
		for _, name := range held {
			input.Current.add(target.Name, name)
		}
		input.Targets = append(input.Targets, target)
	}
	for index, name := range []string{"m0", "m1", "m2", "m3", "m4"} {
		demand := []float64{busyDemand, 0, 0, 0, missingDemand}[index]
		input.Models = append(input.Models, &Model{Name: name, Footprint: 10, Demand: demand, Requested: demand > 0})
	}
	return input
}

func TestModelThatIsRequestedIsNeverPlacedAsOthersKeepTheirLastReplicas(t *testing.T) {
	plan := Next(Adaptive{}, fullInput(0, 500))
	assert.Assert(t, plan.Has("a", "m4") || plan.Has("b", "m4"), "a: %v, b: %v", plan.Models("a"), plan.Models("b"))
}

func TestBusyModelGetsNoReplicaAsOthersKeepTheirLastReplicas(t *testing.T) {
	plan := Next(Adaptive{}, fullInput(3000, 0))
	assert.Assert(t, plan.Has("b", "m0"), "a: %v, b: %v", plan.Models("a"), plan.Models("b"))
}
