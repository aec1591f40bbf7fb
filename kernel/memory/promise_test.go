package memory

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiverill.example/kernel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const (
	capacity = 100 // bytes
	window   = 2 * time.Second
)

// engine is a fake engine that carries out every order, also a late one, without
// checking its memory.
type engine struct {
	held map[string]*EngineItem
	used int64 // bytes
}

func (engine *engine) load(name string, footprint int64) {
	if engine.held[name] != nil {
		return
	}
	engine.held[name] = &EngineItem{Name: name, Footprint: footprint}
	engine.used += footprint
}

func (engine *engine) unload(name string) {
	if engine.held[name] != nil {
		engine.held[name].Unloading = true
	}
}

// finish completes the load or unload of an item.
func (engine *engine) finish(name string) {
	held := engine.held[name]
	if held == nil {
		return
	}
	if held.Unloading {
		delete(engine.held, name)
		engine.used -= held.Footprint
		return
	}
	held.Ready = true
}

// simulation sends the orders that the ledger permits over a network that delays
// them up to the window or loses them, and restarts agents while orders are in
// transit.
type simulation struct {
	t      *rapid.T
	now    time.Time
	engine engine
	ledger *Ledger
	orders []order
	loads  int
}

type order struct {
	deadline time.Time
	execute  func()
}

func (simulation *simulation) send(execute func()) {
	if rapid.IntRange(0, 5).Draw(simulation.t, "lost") == 0 {
		return
	}
	simulation.orders = append(simulation.orders, order{deadline: simulation.now.Add(window), execute: execute})
}

func (simulation *simulation) step() {
	name := fmt.Sprintf("m%d", rapid.IntRange(0, 5).Draw(simulation.t, "model"))
	footprint := int64(20 + 10*int(name[1]-'0'))
	switch choice := rapid.IntRange(0, 15).Draw(simulation.t, "step"); {
	case choice == 0:
		// A new incarnation starts; orders of the former one may be in transit.
		simulation.ledger = New(capacity, window, simulation.now.Add(window))
	case choice <= 4:
		if simulation.ledger.Reserve(name, "", footprint, simulation.now) == nil {
			simulation.loads++
			simulation.send(func() { simulation.engine.load(name, footprint) })
		}
	case choice <= 6:
		if simulation.ledger.Item(name) != nil && simulation.ledger.IsOpen(simulation.now) && simulation.ledger.Unload(name, simulation.now) == nil {
			simulation.send(func() { simulation.engine.unload(name) })
		}
	case choice <= 8:
		simulation.deliver()
	case choice <= 10:
		simulation.engine.finish(name)
	case choice <= 12:
		simulation.advance(time.Duration(rapid.SampledFrom([]int{100, 900, 2500}).Draw(simulation.t, "ms")) * time.Millisecond)
	default:
		simulation.sync()
	}
	if simulation.engine.used > capacity {
		simulation.t.Fatalf("the engine uses %d bytes, its capacity is %d", simulation.engine.used, capacity)
	}
}

// advance moves the clock; orders that are still in transit at the end of their
// window arrive then or never.
func (simulation *simulation) advance(elapsed time.Duration) {
	simulation.now = simulation.now.Add(elapsed)
	for len(simulation.orders) > 0 && simulation.orders[0].deadline.Before(simulation.now) {
		if rapid.Bool().Draw(simulation.t, "arrives last") {
			simulation.orders[0].execute()
		}
		simulation.orders = simulation.orders[1:]
	}
}

func (simulation *simulation) deliver() {
	if len(simulation.orders) == 0 {
		return
	}
	index := rapid.IntRange(0, len(simulation.orders)-1).Draw(simulation.t, "order")
	execute := simulation.orders[index].execute
	simulation.orders = append(simulation.orders[:index:index], simulation.orders[index+1:]...)
	execute()
}

// sync queries the engine; the answer may arrive late.
func (simulation *simulation) sync() {
	queriedAt := simulation.now
	var engineItems []EngineItem
	for _, held := range simulation.engine.held {
		engineItems = append(engineItems, *held)
	}
	if rapid.Bool().Draw(simulation.t, "slow answer") {
		simulation.advance(500 * time.Millisecond)
	}
	simulation.ledger.Sync(engineItems, queriedAt)
}

func TestPromiseLedgerNeverOvercommitsMemoryOnLateOrLostOrders(t *testing.T) {
	loads := 0
	rapid.Check(t, func(t *rapid.T) {
		simulation := &simulation{t: t, now: time.Unix(1000, 0), engine: engine{held: map[string]*EngineItem{}}}
		simulation.ledger = New(capacity, window, simulation.now)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			simulation.step()
		}
		loads += simulation.loads
	})
	if loads == 0 {
		t.Fatal("no generated case loaded anything")
	}
}
