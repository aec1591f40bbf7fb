package residency

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/directory"
)

const (
	shiftStep       = 50 * time.Millisecond
	shiftRound      = 250 * time.Millisecond // between two calls of Plan
	shiftLength     = 34 * time.Second
	orderDelay      = 500 * time.Millisecond // from a command to the start of its load: the message, the order and an unload
	targetCapacity  = 23000.0                // tokens per second that a target can read and generate
	popularWork     = 320000.0               // tokens per second of the three popular models
	rareModels      = 37
	rareRequestRate = 0.4    // requests per second for each rare model
	requestWork     = 2458.0 // tokens
	rarePatience    = 10 * time.Second
	atOnce          = 20 // loads from the weight store at full speed
	popularModels   = 9  // of which three are popular at a time
	shiftTargets    = 24
	shiftForesight  = 6 * time.Second
	servedOfIdeal   = 0.9 // of what a planner that knows the future demand serves
)

// shiftedShares are the shares of the popular models in the work asked for, before the first and
// after each move of demand.
var (
	shiftedShares = [][]float64{
		{0.607, 0.225, 0.168}, {0, 0.607, 0, 0.225, 0.168}, {0, 0, 0, 0, 0.607, 0.225, 0.168}, {0, 0, 0, 0, 0, 0.607, 0, 0.225, 0.168},
	}
	shiftBegins = []float64{1, 14, 24}     // s
	shiftEnds   = []float64{8.8, 21.9, 32} // s
)

// popularRate returns the work asked of a popular model, in tokens per second.
func popularRate(model int, at time.Duration) float64 {
	share := func(stage int) float64 {
		if model < len(shiftedShares[stage]) {
			return shiftedShares[stage][model]
		}
		return 0
	}
	rate := share(0)
	for move := range shiftBegins {
		moved := (at.Seconds() - shiftBegins[move]) / (shiftEnds[move] - shiftBegins[move])
		rate += (share(move+1) - share(move)) * min(max(moved, 0), 1)
	}
	return rate * popularWork
}

// shiftService has the models of a fleet whose targets cannot hold all of them: the popular ones
// first, then the rare ones, then some that nobody asks for.
func shiftService() *directory.Service {
	engine := &directory.EngineSpec{MemoryMegabytes: 200000, AdapterSlots: 8, LoadsPerSecond: 7.4}
	for index := range popularModels + rareModels + shiftTargets {
		weights, load := 72700.0, 6400*time.Millisecond
		switch {
		case index%3 == 0:
			weights, load = 65300, 5800*time.Millisecond
		case index >= popularModels && index%4 == 1:
			weights, load = 34300, 3*time.Second
		}
		engine.Models = append(engine.Models, directory.NewModel(directory.ModelSpec{
			Name: fmt.Sprintf("m%d", index), WeightsMegabytes: weights,
			StoreLoadTime: load, DiskLoadTime: 1300 * time.Millisecond, HostLoadTime: 600 * time.Millisecond,
		}))
	}
	return directory.NewService(directory.ServiceSpec{Name: "llm", Engine: engine})
}

// shiftedFleet simulates targets and their callers. A popular model's work goes to its replicas as
// the entries spread it, where it would wait the least; what a target cannot take is lost. A request for a rare
// model waits for a replica.
type shiftedFleet struct {
	service         *directory.Service
	targets         []Target
	loadEnds        map[directory.TargetKey]time.Duration
	loadBegins      map[directory.TargetKey]time.Duration
	random          *rand.Rand
	waiting         map[int][]time.Duration // arrivals of requests for rare models
	asked, served   float64                 // work of popular models
	rareAsked, rare int                     // requests for rare models, and those of them that were served
	rareServed      map[int]int             // requests that were served, by rare model
}

func newShiftedFleet(seed uint64) *shiftedFleet {
	fleet := &shiftedFleet{
		service: shiftService(), random: rand.New(rand.NewPCG(seed, 0)), waiting: map[int][]time.Duration{},
		loadEnds: map[directory.TargetKey]time.Duration{}, loadBegins: map[directory.TargetKey]time.Duration{},
		rareServed: map[int]int{},
	}
	for index := range shiftTargets {
		popular := 0
		switch {
		case index >= 20:
			popular = 2
		case index >= 15:
			popular = 1
		}
		other := popularModels + rareModels + index
		if index < popularModels-3 {
			other = 3 + index
		}
		target := Target{Key: directory.TargetKey{ID: fmt.Sprintf("t%02d", index)}, Service: "llm"}
		target.Report.Models = []directory.ResidentModel{{Model: fmt.Sprintf("m%d", popular)}, {Model: fmt.Sprintf("m%d", other)}}
		fleet.targets = append(fleet.targets, target)
	}
	return fleet
}

// level returns the work up to which targets with other work must be filled to take all of a rate.
func level(bases []float64, rate float64) float64 {
	slices.Sort(bases)
	sum := rate
	for count, base := range bases {
		if count > 0 && sum/float64(count) <= base {
			return sum / float64(count)
		}
		sum += base
	}
	return sum / float64(len(bases))
}

// serve spreads one step of the popular models' work, and answers the waiting requests for rare ones.
func (shiftedFleet *shiftedFleet) serve(at time.Duration, rate func(int) float64) {
	work := make([]float64, len(shiftedFleet.targets))
	parts := make([][]float64, popularModels)
	for model := range parts {
		parts[model] = make([]float64, len(shiftedFleet.targets))
	}
	for range 6 {
		for model := range popularModels {
			var holders []int
			var bases []float64
			for index := range shiftedFleet.targets {
				if holds(&shiftedFleet.targets[index], fmt.Sprintf("m%d", model)) {
					work[index] -= parts[model][index]
					holders, bases = append(holders, index), append(bases, work[index])
				}
			}
			if len(holders) == 0 {
				continue
			}
			filled := level(slices.Clone(bases), rate(model))
			for position, index := range holders {
				parts[model][index] = max(filled-bases[position], 0)
				work[index] += parts[model][index]
			}
		}
	}
	for model := range popularModels {
		shiftedFleet.asked += rate(model) * shiftStep.Seconds()
	}
	for _, taken := range work {
		shiftedFleet.served += min(taken, targetCapacity) * shiftStep.Seconds()
	}
	for model := popularModels; model < popularModels+rareModels; model++ {
		if shiftedFleet.random.Float64() < rareRequestRate*shiftStep.Seconds() {
			shiftedFleet.waiting[model] = append(shiftedFleet.waiting[model], at)
			shiftedFleet.rareAsked++
		}
		shiftedFleet.waiting[model] = slices.DeleteFunc(shiftedFleet.waiting[model], func(arrived time.Duration) bool { return at-arrived > rarePatience })
		if shiftedFleet.holds(model) {
			shiftedFleet.rare += len(shiftedFleet.waiting[model])
			shiftedFleet.rareServed[model] += len(shiftedFleet.waiting[model])
			shiftedFleet.waiting[model] = nil
		}
	}
}

// advance ends and begins loads.
func (shiftedFleet *shiftedFleet) advance(at time.Duration) {
	running := 0
	for index := range shiftedFleet.targets {
		target := &shiftedFleet.targets[index]
		for age := range target.StoreLoadAges {
			target.StoreLoadAges[age] += shiftStep
		}
		target.StoreLoadAges = slices.DeleteFunc(target.StoreLoadAges, func(age time.Duration) bool { return age > 8*time.Second })
		if target.Loading != "" && at >= shiftedFleet.loadEnds[target.Key] {
			target.Report.Models = append(target.Report.Models, directory.ResidentModel{Model: target.Loading})
			target.Report.DiskModels = append(target.Report.DiskModels, target.Loading)
			target.Loading, target.Report.Busy = "", false
		}
		if target.Loading != "" {
			running++
		}
	}
	for index := range shiftedFleet.targets {
		target := &shiftedFleet.targets[index]
		begins, ordered := shiftedFleet.loadBegins[target.Key]
		if !ordered || at < begins {
			continue
		}
		delete(shiftedFleet.loadBegins, target.Key)
		model := shiftedFleet.service.Model(target.Loading)
		loadTime := model.DiskLoadTime()
		if !slices.Contains(target.Report.DiskModels, target.Loading) {
			loadTime = time.Duration(float64(model.StoreLoadTime()) * max(float64(running)/atOnce, 1))
			target.StoreLoadAges = append(target.StoreLoadAges, 0)
		}
		shiftedFleet.loadEnds[target.Key] = at + loadTime
	}
}

// carryOut begins to carry out commands.
func (shiftedFleet *shiftedFleet) carryOut(commands []Command, at time.Duration) {
	for _, command := range commands {
		for index := range shiftedFleet.targets {
			target := &shiftedFleet.targets[index]
			if target.Key != command.Key {
				continue
			}
			target.Report.Models = slices.DeleteFunc(target.Report.Models, func(residentModel directory.ResidentModel) bool {
				return slices.Contains(command.Unload, residentModel.Model)
			})
			target.Loading, target.Report.Busy = command.Load, true
			shiftedFleet.loadBegins[command.Key] = at + orderDelay
			shiftedFleet.loadEnds[command.Key] = time.Duration(math.MaxInt64)
		}
	}
}

// run returns the shares of the popular work and of the requests for rare models that a planner serves.
// It is told the popular demand of a time ahead.
func (shiftedFleet *shiftedFleet) run(ahead time.Duration) (popular, rare float64) {
	planner := New(window)
	planner.RecordRequestSize(requestWork)
	recorded := map[int]int{} // requests for rare models
	for at := time.Duration(0); at < shiftLength; at += shiftStep {
		now := start.Add(at)
		shiftedFleet.advance(at)
		shiftedFleet.serve(at, func(model int) float64 { return popularRate(model, at) })
		for model := range popularModels {
			planner.RecordDemand(fmt.Sprintf("m%d", model), popularRate(model, at+ahead)*shiftStep.Seconds(), now)
		}
		for model := popularModels; model < popularModels+rareModels; model++ {
			if count := len(shiftedFleet.waiting[model]); count > recorded[model] {
				planner.RecordDemand(fmt.Sprintf("m%d", model), requestWork*float64(count-recorded[model]), now)
			}
			recorded[model] = len(shiftedFleet.waiting[model])
		}
		if at%shiftRound == 0 {
			shiftedFleet.carryOut(planner.Plan(shiftedFleet.service, shiftedFleet.targets, now), at)
		}
	}
	return shiftedFleet.served / shiftedFleet.asked, float64(shiftedFleet.rare) / float64(shiftedFleet.rareAsked)
}

// idealServed returns an upper bound of the share of the popular work that any planner serves: one that knows
// all demand from the start, whose targets hold all popular models that they can have loaded by then, each as fast as
// the weight store gives it, without unloading anything.
func idealServed() float64 {
	fleet := newShiftedFleet(1)
	asked, served := 0.0, 0.0
	perLoad := (6400*time.Millisecond + orderDelay).Seconds()
	for at := time.Duration(0); at < shiftLength; at += shiftStep {
		loaded := at.Seconds() / perLoad * shiftTargets
		for model := range popularModels {
			replicas := 0
			for index := range fleet.targets {
				if holds(&fleet.targets[index], fmt.Sprintf("m%d", model)) {
					replicas++
				}
			}
			rate := popularRate(model, at)
			asked += rate
			served += min(rate, targetCapacity*min(float64(replicas)+loaded, shiftTargets))
		}
	}
	return served / asked
}

func TestModelsToWhichDemandMovesAreServed(t *testing.T) {
	ideal := idealServed()
	for seed := range uint64(3) {
		popular, rare := newShiftedFleet(seed).run(0)
		t.Logf("seed %d: %.3f of the popular work served (ideal at most %.3f), %.3f of the requests for rare models", seed, popular, ideal, rare)
		foreseen, foreseenRare := newShiftedFleet(seed).run(shiftForesight)
		t.Logf("with the demand of %v ahead: %.3f and %.3f", shiftForesight, foreseen, foreseenRare)
		assert.Check(t, popular >= servedOfIdeal*ideal, "%.3f of the work asked for is served, %.3f is possible", popular, ideal)
		assert.Check(t, rare >= servedOfIdeal, "%.3f of the requests for rare models are served", rare)
	}
}

// crowdedTargets returns targets of a service with more models than they have memory for: one
// holds the popular model m0, each of the others two rare ones.
func crowdedTargets(count int) []Target {
	targets := []Target{targetHolding("popular", "m0")}
	for index := range count {
		targets = append(targets, targetHolding(fmt.Sprintf("rare%d", index), fmt.Sprintf("m%d", 2*index+1), fmt.Sprintf("m%d", 2*index+2)))
	}
	return targets
}

func TestLastReplicasOfRareModelsKeepBusyModelFromIdleTargets(t *testing.T) {
	planner := newInformedPlanner()
	planner.RecordDemand("m0", 60000, start)
	for index := range 6 {
		planner.RecordDemand(fmt.Sprintf("m%d", index+1), 100, start)
	}
	commands := planner.Plan(service(10), crowdedTargets(3), start)
	loaded := slices.ContainsFunc(commands, func(command Command) bool { return command.Load == "m0" })
	assert.Assert(t, loaded, "%v: %v", planner.LastLook("llm"), commands)
}

func TestModelsAreUnloadedBeforeTheirDemandIsKnown(t *testing.T) {
	planner := New(window)
	targets := []Target{targetHolding("a", "m0", "m1"), targetHolding("b", "m0", "m1"), targetHolding("c", "m0", "m2")}
	planner.RecordDemand("m3", 3000, start)
	for _, command := range planner.Plan(service(9), targets, start) {
		assert.Equal(t, len(command.Unload), 0, "%v", command)
	}
}

func TestLoadsOfRareModelsOccupyAllTargets(t *testing.T) {
	const leftForPopular = 0.25 // of the targets
	planner := newInformedPlanner()
	llm, fleet := shiftService(), newShiftedFleet(1)
	for model := range popularModels {
		planner.RecordDemand(fmt.Sprintf("m%d", model), popularRate(model, 0)*demandTimeConstant.Seconds(), start)
	}
	for model := range rareModels {
		planner.RecordDemand(fmt.Sprintf("m%d", popularModels+model), requestWork, start)
	}
	busy := map[string]bool{}
	for round := range 8 {
		for _, command := range planner.Plan(llm, fleet.targets, start.Add(time.Duration(round)*shiftRound)) {
			busy[command.Key.ID] = true
		}
	}
	assert.Assert(t, len(busy) > 0, "no rare model is loaded")
	assert.Assert(t, float64(len(busy)) <= (1-leftForPopular)*shiftTargets, "%d of %d targets load", len(busy), shiftTargets)
}
