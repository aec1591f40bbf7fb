package residency

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/directory"
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

// A target holds two models of 70 MB.
func TestPromiseModelThatRequestsAskForIsLoadedWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(2, 4).Draw(t, "targets")
		models := 2*targets + rapid.IntRange(0, targets).Draw(t, "models that do not fit")
		loadTime := time.Duration(rapid.IntRange(1, 8).Draw(t, "load time")) * time.Second
		engine := &directory.EngineSpec{MemoryMegabytes: 200}
		for index := range models {
			engine.Models = append(engine.Models, directory.NewModel(directory.ModelSpec{
				Name: fmt.Sprintf("m%d", index), WeightsMegabytes: 70, StoreLoadTime: loadTime, DiskLoadTime: loadTime, HostLoadTime: loadTime,
			}))
		}
		fleet := &shiftedFleet{
			service:  directory.NewService(directory.ServiceSpec{Name: "llm", Engine: engine}),
			loadEnds: map[directory.TargetKey]time.Duration{}, loadBegins: map[directory.TargetKey]time.Duration{},
		}
		name := rapid.Map(rapid.IntRange(0, models-1), func(index int) string { return fmt.Sprintf("m%d", index) })
		for index := range targets {
			fleet.targets = append(fleet.targets, targetHolding(fmt.Sprint(index), rapid.SliceOfNDistinct(name, 0, 2, rapid.ID[string]).Draw(t, "held")...))
		}
		demand := rapid.SliceOfN(rapid.Float64Range(100, 50000), models, models).Draw(t, "tokens per second")
		atOnce := max(int(maxOverdueLoads*float64(targets)), 1)
		// Each load may wait for the end of another one at its target.
		bound := 2*maxAbsence + minPresence + time.Duration(models/atOnce+2)*2*(loadTime+orderDelay+shiftRound)
		planner := New(window)
		planner.RecordRequestSize(requestWork)
		absentSince := make([]time.Duration, models)
		for at := time.Duration(0); at < bound+20*time.Second; at += shiftRound {
			fleet.advance(at)
			for model := range models {
				planner.RecordDemand(fmt.Sprintf("m%d", model), demand[model]*shiftRound.Seconds(), start.Add(at))
				if fleet.holds(model) {
					absentSince[model] = at
				}
				assert.Assert(t, at-absentSince[model] <= bound, "m%d is absent at %v since %v, bound %v", model, at, absentSince[model], bound)
			}
			fleet.carryOut(planner.Plan(fleet.service, fleet.targets, start.Add(at)), at)
		}
	})
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
