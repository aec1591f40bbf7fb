package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiverill.example/kernel/memory"
	"endiverill.example/kernel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const (
	testMemory = 100 // bytes
	testWindow = 2 * time.Second
)

// testModels holds the footprint in bytes of each model.
var testModels = map[string]int64{"a": 30, "b": 30, "c": 40, "d": 20}

func testFootprint(name string) (int64, bool) {
	footprint, ok := testModels[name]
	return footprint, ok
}

// simulation runs Next, reconcilers and ledgers over an object API with conditional
// updates, and engines that carry out every order, also a late one.
type simulation struct {
	t        *rapid.T
	now      time.Time
	plan     *Plan
	targets  []*target
	messages []func()
	orders   []order
	writes   int
	unloads  int
}

type target struct {
	name        string
	held        map[string]*memory.EngineItem
	used        int64 // bytes
	ledger      *memory.Ledger
	reconciler  *Reconciler
	incarnation int
}

type order struct {
	deadline time.Time
	execute  func()
}

// randomPolicy adds and removes replicas at random, so that only keepLastReplicas
// guarantees that each model keeps a replica.
type randomPolicy struct{ t *rapid.T }

func (randomPolicy randomPolicy) Decide(input *Input) *Plan {
	plan := input.Current.clone(input.Fence)
	for range rapid.IntRange(1, 2).Draw(randomPolicy.t, "changes") {
		target := rapid.SampledFrom(input.Targets).Draw(randomPolicy.t, "target")
		held := plan.Models(target.Name)
		if len(held) > 0 && rapid.IntRange(0, 2).Draw(randomPolicy.t, "remove") > 0 {
			plan.remove(target.Name, rapid.SampledFrom(held).Draw(randomPolicy.t, "held"))
			continue
		}
		plan.add(target.Name, rapid.SampledFrom(input.Models).Draw(randomPolicy.t, "model").Name)
	}
	return plan
}

// observe returns the state of a target as a planner learns it now.
func (simulation *simulation) observe(target *target) *Target {
	observed := &Target{Name: target.name, Memory: testMemory, Live: true, AppliedVersion: target.reconciler.AppliedVersion(simulation.now)}
	for _, item := range target.ledger.Items() {
		if item.Ready() {
			observed.Ready = append(observed.Ready, item.Name())
		}
	}
	return observed
}

// runPlanner runs one round of a planner. Any number of steps may pass between reading
// the targets, computing the plan and writing it.
func (simulation *simulation) runPlanner() {
	current := simulation.plan
	input := &Input{Current: current, Fence: 1}
	for name, footprint := range testModels {
		input.Models = append(input.Models, &Model{Name: name, Footprint: footprint})
	}
	slices.SortFunc(input.Models, func(left, right *Model) int {
		if left.Name < right.Name {
			return -1
		}
		return 1
	})
	for _, target := range simulation.targets {
		input.Targets = append(input.Targets, simulation.observe(target))
	}
	simulation.enqueue(func() {
		next := Next(randomPolicy{t: simulation.t}, input)
		simulation.enqueue(func() { simulation.write(next, current.version) })
	})
}

func (simulation *simulation) write(next *Plan, base uint64) {
	if simulation.plan.version != base {
		return
	}
	next.version = base + 1
	simulation.plan = next
	simulation.writes++
}

// sendPlan sends a target the models that the stored plan assigns to it; the message may
// arrive much later.
func (simulation *simulation) sendPlan(target *target) {
	version, models := simulation.plan.version, slices.Clone(simulation.plan.Models(target.name))
	simulation.enqueue(func() { target.reconciler.SetAssignment(version, models) })
}

func (simulation *simulation) reconcile(target *target) {
	incarnation := target.incarnation
	for _, effect := range target.reconciler.Step(simulation.now, testFootprint) {
		switch effect := effect.(type) {
		case ReadStoredPlan:
			plan := simulation.plan
			failed := rapid.IntRange(0, 4).Draw(simulation.t, "read") == 0
			simulation.enqueue(func() {
				switch {
				case target.incarnation != incarnation:
				case failed:
					target.reconciler.PlanReadFailed()
				default:
					target.reconciler.PlanRead(plan)
				}
			})
		case OrderLoad:
			simulation.send(func() { target.load(effect.Name, effect.Footprint) })
		case OrderUnload:
			simulation.unloads++
			simulation.send(func() { target.unload(effect.Name) })
		}
	}
}

func (target *target) load(name string, footprint int64) {
	if target.held[name] == nil {
		target.held[name] = &memory.EngineItem{Name: name, Footprint: footprint, Ready: true}
		target.used += footprint
	}
}

func (target *target) unload(name string) {
	if held := target.held[name]; held != nil {
		delete(target.held, name)
		target.used -= held.Footprint
	}
}

func (simulation *simulation) enqueue(step func()) {
	simulation.messages = append(simulation.messages, step)
}

func (simulation *simulation) send(execute func()) {
	if rapid.IntRange(0, 5).Draw(simulation.t, "lost") > 0 {
		simulation.orders = append(simulation.orders, order{deadline: simulation.now.Add(testWindow), execute: execute})
	}
}

// advance moves the clock; an order still in transit at the end of its window arrives
// then.
func (simulation *simulation) advance(elapsed time.Duration) {
	simulation.now = simulation.now.Add(elapsed)
	for len(simulation.orders) > 0 && simulation.orders[0].deadline.Before(simulation.now) {
		simulation.orders[0].execute()
		simulation.orders = simulation.orders[1:]
	}
}

// runRound lets every planner and agent take its steps, except those that are skipped
// at random.
func (simulation *simulation) runRound() {
	skip := func() bool { return rapid.IntRange(0, 9).Draw(simulation.t, "skip") == 0 }
	for _, target := range simulation.targets {
		if !skip() {
			target.sync(simulation.now)
		}
	}
	if rapid.IntRange(0, 2).Draw(simulation.t, "plans") == 0 {
		simulation.runPlanner()
	}
	simulation.deliverAll(skip)
	for _, target := range simulation.targets {
		if !skip() {
			simulation.sendPlan(target)
		}
	}
	simulation.deliverAll(skip)
	for range 2 {
		for _, target := range simulation.targets {
			if !skip() {
				simulation.reconcile(target)
			}
		}
		simulation.deliverAll(skip)
	}
	if !skip() {
		simulation.advance(300 * time.Millisecond)
	}
}

// deliverAll delivers the messages in transit and those that they cause.
func (simulation *simulation) deliverAll(skip func() bool) {
	for len(simulation.messages) > 0 && !skip() {
		step := simulation.messages[0]
		simulation.messages = simulation.messages[1:]
		step()
		simulation.checkInvariants()
	}
}

func (target *target) sync(now time.Time) {
	var engineItems []memory.EngineItem
	for _, held := range target.held {
		engineItems = append(engineItems, *held)
	}
	target.ledger.Sync(engineItems, now)
}

func (simulation *simulation) step() {
	target := rapid.SampledFrom(simulation.targets).Draw(simulation.t, "target")
	switch choice := rapid.IntRange(0, 19).Draw(simulation.t, "step"); {
	case choice == 0:
		target.incarnation++
		target.start(simulation.now.Add(testWindow))
	case choice <= 3:
		simulation.runPlanner()
	case choice <= 6:
		simulation.sendPlan(target)
	case choice <= 9:
		simulation.reconcile(target)
	case choice <= 11:
		simulation.advance(time.Duration(rapid.SampledFrom([]int{100, 900, 2500}).Draw(simulation.t, "ms")) * time.Millisecond)
	case choice <= 13:
		target.sync(simulation.now)
	case choice == 14 && len(simulation.orders) > 0:
		simulation.orders[0].execute()
		simulation.orders = simulation.orders[1:]
	case choice >= 15 && choice <= 17:
		simulation.runRound()
	default:
		if len(simulation.messages) > 0 {
			index := rapid.IntRange(0, len(simulation.messages)-1).Draw(simulation.t, "message")
			step := simulation.messages[index]
			simulation.messages = append(simulation.messages[:index:index], simulation.messages[index+1:]...)
			step()
		}
	}
	simulation.checkInvariants()
}

func (simulation *simulation) checkInvariants() {
	for _, target := range simulation.targets {
		if target.used > testMemory {
			simulation.t.Fatalf("target %s uses %d bytes, its capacity is %d", target.name, target.used, testMemory)
		}
	}
	for name := range testModels {
		resident := false
		for _, target := range simulation.targets {
			resident = resident || target.held[name] != nil
		}
		if !resident {
			simulation.t.Fatalf("no target holds model %s; plan %v", name, simulation.plan.targets)
		}
	}
}

func (target *target) start(openAt time.Time) {
	target.ledger = memory.New(testMemory, testWindow, openAt)
	target.reconciler = NewReconciler(target.name, target.ledger)
}

func newSimulation(t *rapid.T) *simulation {
	simulation := &simulation{t: t, now: time.Unix(1000, 0), plan: EmptyPlan()}
	simulation.plan.version = 1
	for index, models := range [][]string{{"a", "b"}, {"c"}, {"d"}} {
		target := &target{name: fmt.Sprintf("t%d", index), held: map[string]*memory.EngineItem{}}
		target.start(simulation.now.Add(-time.Second))
		for _, model := range models {
			target.load(model, testModels[model])
			simulation.plan.add(target.name, model)
		}
		simulation.targets = append(simulation.targets, target)
	}
	return simulation
}

func TestPromisePlanChangesNeverLeaveModelWithoutReplica(t *testing.T) {
	writes, unloads := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		simulation := newSimulation(t)
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			simulation.step()
		}
		writes += simulation.writes
		unloads += simulation.unloads
	})
	if writes == 0 || unloads == 0 {
		t.Fatalf("all generated cases together wrote %d plans and unloaded %d replicas; want some of both", writes, unloads)
	}
	t.Logf("%d plans, %d unloads", writes, unloads)
}
