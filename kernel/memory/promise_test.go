package memory

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiverill.example/kernel/proof"
)

func TestMain(m *testing.M) { proof.Main(m) }

const (
	capacity = 100
	window   = 2 * time.Second
)

// engine loads whatever it is told, also late, and never checks its memory.
type engine struct {
	held map[string]*Holding
	used int64
}

func (engine *engine) load(name string, footprint int64) {
	if engine.held[name] != nil {
		return
	}
	engine.held[name] = &Holding{Name: name, Footprint: footprint}
	engine.used += footprint
}

func (engine *engine) unload(name string) {
	if engine.held[name] != nil {
		engine.held[name].Leaving = true
	}
}

func (engine *engine) finish(name string) {
	held := engine.held[name]
	if held == nil {
		return
	}
	if held.Leaving {
		delete(engine.held, name)
		engine.used -= held.Footprint
		return
	}
	held.Ready = true
}

// world gives orders by the real ledger over a network that delays them up to
// the window, loses them, and lets agents die with orders on their way.
type world struct {
	t      *rapid.T
	now    time.Time
	engine engine
	ledger *Ledger
	orders []order
	loads  int
}

type order struct {
	limit time.Time
	carry func()
}

func (world *world) send(carry func()) {
	if rapid.IntRange(0, 5).Draw(world.t, "lost") == 0 {
		return
	}
	world.orders = append(world.orders, order{limit: world.now.Add(window), carry: carry})
}

func (world *world) step() {
	name := fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(world.t, "model"))
	footprint := int64(20 + 10*int(name[1]-'0'))
	switch choice := rapid.IntRange(0, 15).Draw(world.t, "step"); {
	case choice == 0:
		// Another incarnation starts; orders of the last one may be on their way.
		world.ledger = New(capacity, window, world.now.Add(window))
	case choice <= 4:
		if world.ledger.Reserve(name, "", footprint, world.now) == nil {
			world.loads++
			world.send(func() { world.engine.load(name, footprint) })
		}
	case choice <= 6:
		if world.ledger.Item(name) != nil && world.ledger.Open(world.now) && world.ledger.Unload(name, world.now) == nil {
			world.send(func() { world.engine.unload(name) })
		}
	case choice <= 8:
		world.deliver()
	case choice <= 10:
		world.engine.finish(name)
	case choice <= 12:
		world.pass(time.Duration(rapid.SampledFrom([]int{100, 900, 2500}).Draw(world.t, "ms")) * time.Millisecond)
	default:
		world.sync()
	}
	if world.engine.used > capacity {
		world.t.Fatalf("%d bytes of %d are in use", world.engine.used, capacity)
	}
}

// pass lets time go by; orders arrive within the window or never.
func (world *world) pass(passed time.Duration) {
	world.now = world.now.Add(passed)
	for len(world.orders) > 0 && world.orders[0].limit.Before(world.now) {
		if rapid.Bool().Draw(world.t, "arrives last") {
			world.orders[0].carry()
		}
		world.orders = world.orders[1:]
	}
}

func (world *world) deliver() {
	if len(world.orders) == 0 {
		return
	}
	index := rapid.IntRange(0, len(world.orders)-1).Draw(world.t, "order")
	carry := world.orders[index].carry
	world.orders = append(world.orders[:index:index], world.orders[index+1:]...)
	carry()
}

// sync asks the engine; the answer may come late.
func (world *world) sync() {
	asked := world.now
	var holdings []Holding
	for _, held := range world.engine.held {
		holdings = append(holdings, *held)
	}
	if rapid.Bool().Draw(world.t, "slow answer") {
		world.pass(500 * time.Millisecond)
	}
	world.ledger.Sync(holdings, asked)
}

func TestPromiseMemoryNeverOvercommitted(t *testing.T) {
	loads := 0
	rapid.Check(t, func(t *rapid.T) {
		world := &world{t: t, now: time.Unix(1000, 0), engine: engine{held: map[string]*Holding{}}}
		world.ledger = New(capacity, window, world.now)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			world.step()
		}
		loads += world.loads
	})
	if loads == 0 {
		t.Fatal("no history loaded anything")
	}
}
