package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const window = 5 * time.Second

var start = time.Unix(1000, 0)

func service(models int) *directory.Service {
	// LoadsPerSecond limits the loads from the weight store.
	engine := &directory.EngineSpec{MemoryMegabytes: 200, AdapterSlots: 8, LoadsPerSecond: 1.5}
	for index := range models {
		engine.Models = append(engine.Models, directory.NewModel(directory.ModelSpec{
			Name: fmt.Sprintf("m%d", index), WeightsMegabytes: 70, StoreLoadTime: 8 * time.Second, DiskLoadTime: 2 * time.Second,
		}))
	}
	return directory.NewService(directory.ServiceSpec{Name: "llm", Engine: engine})
}

func targetHolding(id string, models ...string) Target {
	target := Target{Key: directory.TargetKey{ID: id}, Service: "llm", Report: directory.Report{DiskModels: []string{"m0", "m1", "m2", "m3", "m4"}}}
	for _, model := range models {
		target.Report.Models = append(target.Report.Models, directory.ResidentModel{Model: model})
	}
	return target
}

func TestPlanHotModelGainsReplicas(t *testing.T) {
	planner := New(window)
	planner.RecordDemand("m0", 50000, start)
	targets := []Target{targetHolding("a", "m0", "m1"), targetHolding("b", "m1", "m2"), targetHolding("c", "m2", "m3"), targetHolding("d", "m3", "m0")}
	commands := planner.Plan(service(4), targets, start)
	assert.Assert(t, len(commands) > 0)
	for _, command := range commands {
		assert.Equal(t, command.Load, "m0")
	}
}

func TestPlanAbsentModelWithoutDemandIsLoaded(t *testing.T) {
	planner := New(window)
	commands := planner.Plan(service(2), []Target{targetHolding("a", "m0"), targetHolding("b", "m0")}, start)
	assert.Assert(t, slices.ContainsFunc(commands, func(command Command) bool { return command.Load == "m1" }), "%v", commands)
}

func TestPlanBalancedFleetGivesNoCommand(t *testing.T) {
	planner := New(window)
	for _, model := range []string{"m0", "m1"} {
		planner.RecordDemand(model, 10000, start)
	}
	targets := []Target{targetHolding("a", "m0", "m1"), targetHolding("b", "m0", "m1")}
	assert.Equal(t, len(planner.Plan(service(2), targets, start)), 0)
}

func TestPlanBusyOrUnusableTargetGetsNoCommand(t *testing.T) {
	planner := New(window)
	planner.RecordDemand("m1", 50000, start)
	busy, unusable := targetHolding("a", "m0"), targetHolding("b", "m0")
	busy.Report.Busy = true
	unusable.Unusable = true
	assert.Equal(t, len(planner.Plan(service(2), []Target{busy, unusable}, start)), 0)
}

func TestModelThatOnlyLimitedTargetHoldsIsNotLoadedElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		limit float64 // requests a second
		loads bool
	}{"less than its share": {1, true}, "more than its share": {50, false}} {
		planner := New(window)
		for range 100 {
			planner.RecordRequestSize(1000)
		}
		for _, model := range []string{"m0", "m1"} {
			planner.RecordDemand(model, 10000, start)
		}
		limited := targetHolding("a", "m1")
		limited.Limited, limited.MaxRequests = true, test.limit
		other := targetHolding("b", "m0")
		planned := planner.Plan(service(2), []Target{limited, other}, start)
		loads := slices.ContainsFunc(planned, func(command Command) bool { return command.Key.ID == "b" && command.Load == "m1" })
		assert.Assert(t, !test.loads || loads, "%s: %v", name, planned)
		both := []Target{limited, limited}
		both[1].Key.ID = "c"
		both[1].Report.Models = nil
		assert.Assert(t, len(planner.Plan(service(2), both, start)) > 0, "%s: all targets are limited, and nothing is loaded", name)
	}
}

func TestPlanTargetWithPendingCommandGetsNoCommand(t *testing.T) {
	planner := New(window)
	targets := []Target{targetHolding("a", "m0"), targetHolding("b", "m0")}
	first := planner.Plan(service(2), targets, start)
	assert.Assert(t, len(first) > 0)
	for _, command := range planner.Plan(service(2), targets, start.Add(time.Second)) {
		for _, earlier := range first {
			assert.Assert(t, command.Key != earlier.Key)
		}
	}
}

func modelNames(target Target) []string {
	var names []string
	for _, residentModel := range target.Report.Models {
		names = append(names, residentModel.Model)
	}
	return names
}

// drawTargets draws one to ten targets that hold at most two models each: a target
// has memory for two models of 70 MB in its 200 MB.
func drawTargets(t *rapid.T, models int) []Target {
	var targets []Target
	name := rapid.Map(rapid.IntRange(0, models-1), func(index int) string { return fmt.Sprintf("m%d", index) })
	for index := range rapid.IntRange(1, 10).Draw(t, "targets") {
		held := rapid.SliceOfNDistinct(name, 0, 2, rapid.ID[string]).Draw(t, "held")
		target := targetHolding(fmt.Sprintf("t%d", index), held...)
		target.Report.DiskModels = rapid.SliceOfNDistinct(name, 0, 3, rapid.ID[string]).Draw(t, "disk")
		target.Unusable = rapid.IntRange(0, 9).Draw(t, "unusable") == 0
		for range rapid.IntRange(0, 2).Draw(t, "recent") {
			target.StoreLoadAges = append(target.StoreLoadAges, time.Duration(rapid.IntRange(0, 9000).Draw(t, "age"))*time.Millisecond)
		}
		targets = append(targets, target)
	}
	return targets
}

// newInformedPlanner returns a planner that has known the demand, which was none, for a while.
func newInformedPlanner() *Planner {
	planner := New(window)
	planner.since = start.Add(-time.Minute)
	return planner
}

// drawPlanner draws a planner with a demand for each model.
func drawPlanner(t *rapid.T, models int) *Planner {
	planner := newInformedPlanner()
	for index := range models {
		if rapid.IntRange(0, 3).Draw(t, "asked") > 0 {
			planner.RecordDemand(fmt.Sprintf("m%d", index), float64(rapid.IntRange(0, 90000).Draw(t, "tokens")), start)
		}
	}
	return planner
}

// demandOf returns the demand for a model in tokens per second.
func demandOf(planner *Planner, model string) float64 {
	rate, _ := planner.observed(model, start)
	return rate
}

// askedFor returns the same, or the demand over a longer time if that is higher.
func askedFor(planner *Planner, model string) float64 {
	rate, recent := planner.observed(model, start)
	return max(rate, recent)
}

func TestPromisePlanForAnyFleetKeepsLastReplicasAndStoreLoadRate(t *testing.T) {
	commandCount, replaced := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		models := rapid.IntRange(1, 8).Draw(t, "models")
		targets := drawTargets(t, models)
		planner := drawPlanner(t, models)
		storeLoads, usable := 0, 0
		replicas := map[string]int{}
		byKey := map[directory.TargetKey]Target{}
		for _, target := range targets {
			byKey[target.Key] = target
			if !target.Unusable {
				usable++
			}
			for _, age := range target.StoreLoadAges {
				if age <= window {
					storeLoads++
				}
			}
			for _, name := range modelNames(target) {
				if !target.Unusable {
					replicas[name]++
				}
			}
		}
		for _, command := range planner.Plan(service(models), targets, start) {
			commandCount++
			target := byKey[command.Key]
			if target.Unusable || slices.Contains(modelNames(target), command.Load) {
				t.Fatalf("command %v to %v, which is unusable or holds the model", command, target)
			}
			if !slices.Contains(target.Report.DiskModels, command.Load) {
				storeLoads++
				// The weight store allows 1.5 loads per second.
				if float64(storeLoads) > 1.5*window.Seconds() {
					t.Fatalf("%d loads from the weight store within %v, more than its rate limit allows", storeLoads, window)
				}
			}
			residentCount := len(target.Report.Models) + 1
			for _, victim := range command.Unload {
				residentCount--
				if replicas[victim]--; replicas[victim] >= 1 {
					continue
				}
				// Only for a model that is asked for more, and only if not all models fit, two on a target.
				replaced++
				if models <= 2*usable || askedFor(planner, victim) >= demandOf(planner, command.Load) {
					t.Fatalf("the last replica of %s is unloaded for %s", victim, command.Load)
				}
			}
			replicas[command.Load]++
			if residentCount > 2 { // models of 70 MB that fit into a target's 200 MB
				t.Fatalf("command %v overfills the memory of %v", command, target)
			}
		}
	})
	assert.Assert(t, commandCount > 0, "no generated case gave a command")
	assert.Assert(t, replaced > 0, "no generated case replaced a model that is not asked for")
}

func TestModelThatIsAskedForIsNeverLoadedAsOthersKeepTheirLastReplicas(t *testing.T) {
	planner := newInformedPlanner()
	targets := []Target{targetHolding("a", "m0", "m1"), targetHolding("b", "m2", "m3")}
	for _, model := range []string{"m0", "m1", "m2", "m4"} {
		planner.RecordDemand(model, 3000, start)
	}
	commands := planner.Plan(service(5), targets, start)
	assert.Assert(t, len(commands) == 1 && commands[0].Load == "m4" && slices.Equal(commands[0].Unload, []string{"m3"}), "%v", commands)
}

func TestReplicasOfBusyModelAreUnloadedForModelsNobodyAsksFor(t *testing.T) {
	planner := New(window)
	targets := []Target{targetHolding("a", "m0", "m1"), targetHolding("b", "m0", "m2")}
	assert.Equal(t, len(planner.Plan(service(8), targets, start)), 0, "before the first request")
}

// Planner and agents are killed just after loads began; neither knows of them afterwards.
func TestRateOfLoadsHoldsAfterAllAreKilled(t *testing.T) {
	const (
		models         = 30
		loadsPerSecond = 1.5 // of the weight store
		ruleFactor     = 1.1
		ruleSlack      = 3
		unjudged       = 4 * time.Second // restart, and 3 s in which loads do not count
	)
	var targets []Target
	for index := range 20 {
		target := targetHolding(fmt.Sprintf("t%d", index))
		target.Report.DiskModels = nil
		targets = append(targets, target)
	}
	loads := len(New(window).Plan(service(models), targets, start))
	loads += len(New(window).Plan(service(models), targets, start.Add(unjudged)))
	assert.Assert(t, float64(loads) <= loadsPerSecond*window.Seconds()*ruleFactor+ruleSlack, "%d loads within %v", loads, window)
}

func BenchmarkPlan(b *testing.B) {
	planner := New(window)
	llm := service(250)
	var targets []Target
	for index := range 1400 {
		targets = append(targets, targetHolding(fmt.Sprintf("t%d", index), fmt.Sprintf("m%d", index%250), fmt.Sprintf("m%d", (index*7+1)%250)))
	}
	for b.Loop() {
		planner.pending = map[directory.TargetKey]pendingCommand{}
		planner.Plan(llm, targets, start)
	}
}
