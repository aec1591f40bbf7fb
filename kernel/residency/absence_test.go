package residency

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// The users tolerate that one model and a tenth of those that are asked for through a day are never served.
const (
	toleratedModels = 1
	toleratedShare  = 0.1
)

func TestRequestedModelsAreNeverServedAsNotAllModelsFit(t *testing.T) {
	for seed := range uint64(10) {
		fleet := newShiftedFleet(seed)
		popular, rare := fleet.run(0)
		never := 0
		for model := popularModels; model < popularModels+rareModels; model++ {
			if fleet.rareServed[model] == 0 {
				never++
			}
		}
		t.Logf("seed %d: %d of %d rare models are never served, %.3f of the popular work and %.3f of the requests for rare models are",
			seed, never, rareModels, popular, rare)
		assert.Check(t, float64(never) <= toleratedModels+toleratedShare*rareModels, "seed %d: %d models are never served", seed, never)
	}
}

// holds reports whether any target holds a model.
func (shiftedFleet *shiftedFleet) holds(model int) bool {
	for index := range shiftedFleet.targets {
		if holds(&shiftedFleet.targets[index], fmt.Sprintf("m%d", model)) {
			return true
		}
	}
	return false
}
