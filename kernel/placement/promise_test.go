package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiverill.example/kernel/memory"
	"endiverill.example/kernel/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }

const (
	testMemory = 100
	testWindow = 2 * time.Second
)

var testModels = map[string]int64{"a": 30, "b": 30, "c": 40, "d": 20}

func testFootprint(name string) (int64, bool) {
	footprint, ok := testModels[name]
	return footprint, ok
}

// world runs real planners' guard, carriers and ledgers over an object API with
// conditional updates, and engines that do whatever they are told, also late.
type world struct {
	t       *rapid.T
	now     time.Time
	plan    *Plan
	targets []*target
	bag     []func()
	orders  []order
	writes  int
	unloads int
}

type target struct {
	name        string
	held        map[string]*memory.Holding
	used        int64
	ledger      *memory.Ledger
	carrier     *Carrier
	incarnation int
}

type order struct {
	limit time.Time
	carry func()
}

// scramble is a policy that places at random, so that the guard alone keeps the
// models reachable.
type scramble struct{ t *rapid.T }

func (scramble scramble) Decide(input *Input) *Plan {
	plan := input.Current.clone(input.Fence)
	for range rapid.IntRange(1, 2).Draw(scramble.t, "changes") {
		target := rapid.SampledFrom(input.Targets).Draw(scramble.t, "target")
		held := plan.Models(target.Name)
		if len(held) > 0 && rapid.IntRange(0, 2).Draw(scramble.t, "remove") > 0 {
			plan.remove(target.Name, rapid.SampledFrom(held).Draw(scramble.t, "held"))
			continue
		}
		plan.add(target.Name, rapid.SampledFrom(input.Models).Draw(scramble.t, "model").Name)
	}
	return plan
}

// observe is what a planner learns from a target at this moment.
func (world *world) observe(target *target) *Target {
	observed := &Target{Name: target.name, Memory: testMemory, Live: true, Applied: target.carrier.Applied(world.now)}
	for _, item := range target.ledger.Items() {
		if item.Ready() {
			observed.Ready = append(observed.Ready, item.Name())
		}
	}
	return observed
}

// planOnce is one round of a planner, whose parts may be far apart in time.
func (world *world) planOnce() {
	current := world.plan
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
	for _, target := range world.targets {
		input.Targets = append(input.Targets, world.observe(target))
	}
	world.later(func() {
		next := Next(scramble{t: world.t}, input)
		world.later(func() { world.write(next, current.version) })
	})
}

func (world *world) write(next *Plan, base uint64) {
	if world.plan.version != base {
		return
	}
	next.version = base + 1
	world.plan = next
	world.writes++
}

// push sends a target what the plan says now; it may arrive much later.
func (world *world) push(target *target) {
	version, models := world.plan.version, slices.Clone(world.plan.Models(target.name))
	world.later(func() { target.carrier.Assigned(version, models) })
}

func (world *world) stepTarget(target *target) {
	incarnation := target.incarnation
	for _, effect := range target.carrier.Step(world.now, testFootprint) {
		switch effect := effect.(type) {
		case ConfirmPlan:
			plan := world.plan
			failed := rapid.IntRange(0, 4).Draw(world.t, "read") == 0
			world.later(func() {
				switch {
				case target.incarnation != incarnation:
				case failed:
					target.carrier.NotConfirmed()
				default:
					target.carrier.Confirmed(plan)
				}
			})
		case OrderLoad:
			world.send(func() { target.load(effect.Name, effect.Footprint) })
		case OrderUnload:
			world.unloads++
			world.send(func() { target.unload(effect.Name) })
		}
	}
}

func (target *target) load(name string, footprint int64) {
	if target.held[name] == nil {
		target.held[name] = &memory.Holding{Name: name, Footprint: footprint, Ready: true}
		target.used += footprint
	}
}

func (target *target) unload(name string) {
	if held := target.held[name]; held != nil {
		delete(target.held, name)
		target.used -= held.Footprint
	}
}

func (world *world) later(step func()) { world.bag = append(world.bag, step) }

func (world *world) send(carry func()) {
	if rapid.IntRange(0, 5).Draw(world.t, "lost") > 0 {
		world.orders = append(world.orders, order{limit: world.now.Add(testWindow), carry: carry})
	}
}

// pass lets time go by; orders arrive within the window or never.
func (world *world) pass(passed time.Duration) {
	world.now = world.now.Add(passed)
	for len(world.orders) > 0 && world.orders[0].limit.Before(world.now) {
		world.orders[0].carry()
		world.orders = world.orders[1:]
	}
}

// round lets everything make progress, less what is left out at random.
func (world *world) round() {
	skip := func() bool { return rapid.IntRange(0, 9).Draw(world.t, "skip") == 0 }
	for _, target := range world.targets {
		if !skip() {
			target.sync(world.now)
		}
	}
	if rapid.IntRange(0, 2).Draw(world.t, "plans") == 0 {
		world.planOnce()
	}
	world.deliverAll(skip)
	for _, target := range world.targets {
		if !skip() {
			world.push(target)
		}
	}
	world.deliverAll(skip)
	for range 2 {
		for _, target := range world.targets {
			if !skip() {
				world.stepTarget(target)
			}
		}
		world.deliverAll(skip)
	}
	if !skip() {
		world.pass(300 * time.Millisecond)
	}
}

// deliverAll delivers what is in flight, also what it gives rise to.
func (world *world) deliverAll(skip func() bool) {
	for len(world.bag) > 0 && !skip() {
		step := world.bag[0]
		world.bag = world.bag[1:]
		step()
		world.check()
	}
}

func (target *target) sync(now time.Time) {
	var holdings []memory.Holding
	for _, held := range target.held {
		holdings = append(holdings, *held)
	}
	target.ledger.Sync(holdings, now)
}

func (world *world) step() {
	target := rapid.SampledFrom(world.targets).Draw(world.t, "target")
	switch choice := rapid.IntRange(0, 19).Draw(world.t, "step"); {
	case choice == 0:
		target.incarnation++
		target.start(world.now.Add(testWindow))
	case choice <= 3:
		world.planOnce()
	case choice <= 6:
		world.push(target)
	case choice <= 9:
		world.stepTarget(target)
	case choice <= 11:
		world.pass(time.Duration(rapid.SampledFrom([]int{100, 900, 2500}).Draw(world.t, "ms")) * time.Millisecond)
	case choice <= 13:
		target.sync(world.now)
	case choice == 14 && len(world.orders) > 0:
		world.orders[0].carry()
		world.orders = world.orders[1:]
	case choice >= 15 && choice <= 17:
		world.round()
	default:
		if len(world.bag) > 0 {
			index := rapid.IntRange(0, len(world.bag)-1).Draw(world.t, "message")
			step := world.bag[index]
			world.bag = append(world.bag[:index:index], world.bag[index+1:]...)
			step()
		}
	}
	world.check()
}

func (world *world) check() {
	for _, target := range world.targets {
		if target.used > testMemory {
			world.t.Fatalf("target %s uses %d bytes of %d", target.name, target.used, testMemory)
		}
	}
	for name := range testModels {
		reachable := false
		for _, target := range world.targets {
			reachable = reachable || target.held[name] != nil
		}
		if !reachable {
			world.t.Fatalf("no target holds model %s; plan %v", name, world.plan.targets)
		}
	}
}

func (target *target) start(openAt time.Time) {
	target.ledger = memory.New(testMemory, testWindow, openAt)
	target.carrier = NewCarrier(target.name, target.ledger)
}

func newWorld(t *rapid.T) *world {
	world := &world{t: t, now: time.Unix(1000, 0), plan: Empty()}
	world.plan.version = 1
	for index, models := range [][]string{{"a", "b"}, {"c"}, {"d"}} {
		target := &target{name: fmt.Sprintf("t%d", index), held: map[string]*memory.Holding{}}
		target.start(world.now.Add(-time.Second))
		for _, model := range models {
			target.load(model, testModels[model])
			world.plan.add(target.name, model)
		}
		world.targets = append(world.targets, target)
	}
	return world
}

func TestPromiseEveryModelReachable(t *testing.T) {
	writes, unloads := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t)
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			world.step()
		}
		writes += world.writes
		unloads += world.unloads
	})
	if writes == 0 || unloads == 0 {
		t.Fatalf("all histories together wrote %d plans and unloaded %d replicas", writes, unloads)
	}
	t.Logf("%d plans, %d unloads", writes, unloads)
}
