package orders

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const (
	memoryMegabytes = 200.0
	adapterSlots    = 3
)

func service() *directory.Service {
	var models []*directory.Model
	for index, size := range []float64{70, 70, 65, 60, 30} {
		models = append(models, directory.NewModel(directory.ModelSpec{
			Name: fmt.Sprintf("m%d", index), WeightsMegabytes: size, Adapters: 6, AdapterMegabytes: 1,
			StoreLoadTime: 8 * time.Second, DiskLoadTime: 2 * time.Second, HostLoadTime: time.Second,
		}))
	}
	return directory.NewService(directory.ServiceSpec{Name: "llm", Engine: &directory.EngineSpec{
		MemoryMegabytes: memoryMegabytes, AdapterSlots: adapterSlots, LoadsPerSecond: 1, Models: models,
	}})
}

// engine is a fake target that fails the test when it holds more than fits into its
// memory or its adapter slots.
type engine struct {
	t         *rapid.T
	startedAt int64
	sequence  uint64
	models    map[string][]string
	delayed   []directory.Order // orders in transit, carried out only if their sequence number still matches
	busy      bool
}

func (engine *engine) report(now time.Time) directory.Report {
	report := directory.Report{At: now, StartedAt: engine.startedAt, Sequence: engine.sequence, Busy: engine.busy, DiskModels: []string{"m0", "m2"}}
	for name, adapters := range engine.models {
		report.Models = append(report.Models, directory.ResidentModel{Model: name, Adapters: slices.Clone(adapters)})
	}
	slices.SortFunc(report.Models, func(a, b directory.ResidentModel) int { return strings.Compare(a.Model, b.Model) })
	return report
}

func (engine *engine) carryOut(order directory.Order) directory.OrderOutcome {
	if order.Sequence != engine.sequence || engine.busy {
		return directory.OrderBusy
	}
	engine.sequence++
	_, held := engine.models[order.Model]
	switch {
	case order.Adapter == "" && order.Load:
		engine.models[order.Model] = nil
	case order.Adapter == "":
		delete(engine.models, order.Model)
	case !held:
		return directory.OrderRefused
	case order.Load:
		engine.models[order.Model] = append(engine.models[order.Model], order.Adapter)
	default:
		engine.models[order.Model] = slices.DeleteFunc(engine.models[order.Model], func(name string) bool { return name == order.Adapter })
	}
	engine.checkCapacity()
	return directory.OrderAccepted
}

// checkCapacity fails the test when the models and adapters exceed the memory or the
// adapter slots.
func (engine *engine) checkCapacity() {
	sum, adapters := 0.0, 0
	for name, held := range engine.models {
		sum += service().Model(name).WeightsMegabytes() + float64(len(held))
		adapters += len(held)
	}
	if sum > memoryMegabytes || adapters > adapterSlots {
		engine.t.Fatalf("the target holds %v MB and %d adapters, more than fit: %v", sum, adapters, engine.models)
	}
}

// deliver delivers an order at once, loses its answer or delays it, and records the
// outcome that the controller sees.
func (engine *engine) deliver(controller *Controller, order directory.Order, now time.Time) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late"}).Draw(engine.t, "answer") {
	case "ok":
		controller.RecordOutcome(order, engine.carryOut(order), now)
	case "lost":
		engine.carryOut(order)
		controller.RecordOutcome(order, directory.OrderUnknown, now)
	default:
		engine.delayed = append(engine.delayed, order)
		controller.RecordOutcome(order, directory.OrderUnknown, now)
	}
}

func TestPromiseLostOrDelayedOrdersNeverOvercommitTarget(t *testing.T) {
	orders := 0
	rapid.Check(t, func(t *rapid.T) {
		engine := &engine{t: t, startedAt: 1, models: map[string][]string{"m0": nil, "m1": nil}}
		controller, now := New(), time.Unix(100, 0)
		controller.SetService(service())
		model := rapid.SampledFrom([]string{"m0", "m1", "m2", "m3", "m4"})
		for step := range rapid.IntRange(10, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 900}).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				controller.RequestAdapter(uint64(step), "e", model.Draw(t, "model"), fmt.Sprintf("a%d", rapid.IntRange(1, 6).Draw(t, "adapter")), now.Add(time.Second), now)
			case 1:
				controller.AcceptPlan(Plan{
					ID: uint64(step), From: "p", Fence: uint64(rapid.IntRange(1, 3).Draw(t, "fence")),
					Unload: []string{model.Draw(t, "unload")}, Load: model.Draw(t, "load"), StartBy: now.Add(3 * time.Second),
				}, now)
			case 2:
				if len(engine.delayed) > 0 {
					engine.carryOut(engine.delayed[0])
					engine.delayed = engine.delayed[1:]
				}
			case 3:
				engine.busy = !engine.busy
			case 4:
				if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
					// A restarted target ignores delayed orders, because they name its former incarnation.
					engine.startedAt, engine.sequence, engine.models, engine.delayed = engine.startedAt+1, 0, map[string][]string{}, nil
				}
			default:
				controller.SetReport(engine.report(now))
				if order, ok := controller.NextOrder(now); ok {
					orders++
					engine.deliver(controller, order, now)
				}
			}
			controller.TakeResults()
		}
	})
	assert.Assert(t, orders > 0, "no generated case gave an order")
}

func setReport(controller *Controller, now time.Time, models ...directory.ResidentModel) {
	controller.SetReport(directory.Report{At: now, StartedAt: 1, Models: models, DiskModels: []string{"m2"}})
}

func TestPlanWithLowerFenceIsRefused(t *testing.T) {
	controller, now := New(), time.Unix(100, 0)
	controller.SetService(service())
	setReport(controller, now)
	assert.Assert(t, controller.AcceptPlan(Plan{ID: 1, From: "new", Fence: 5, Load: "m0", StartBy: now.Add(time.Second)}, now))
	assert.Assert(t, !controller.AcceptPlan(Plan{ID: 2, From: "old", Fence: 4, Load: "m1", StartBy: now.Add(time.Second)}, now))
	assert.DeepEqual(t, controller.TakeResults(), []Result{{ID: 2, To: "old", Reason: "a newer planner has spoken"}})
}

func TestRoutableModelsOmitsModelsToUnloadBeforeFirstOrder(t *testing.T) {
	controller, now := New(), time.Unix(100, 0)
	controller.SetService(service())
	setReport(controller, now, directory.ResidentModel{Model: "m0"}, directory.ResidentModel{Model: "m1"})
	controller.AcceptPlan(Plan{ID: 1, Fence: 1, Unload: []string{"m0"}, Load: "m2", StartBy: now.Add(time.Second)}, now)
	assert.DeepEqual(t, controller.RoutableModels(), []directory.ResidentModel{{Model: "m1"}})
	_, early := controller.NextOrder(now)
	assert.Assert(t, !early, "order before the end of unloadDelay, while entries may still route to m0")
	order, ok := controller.NextOrder(now.Add(unloadDelay))
	assert.Assert(t, ok && !order.Load && order.Model == "m0")
}

func TestRestartReloadsOnlyModelsWithLocalCopy(t *testing.T) {
	controller, now := New(), time.Unix(100, 0)
	controller.SetService(service())
	setReport(controller, now, directory.ResidentModel{Model: "m2"}, directory.ResidentModel{Model: "m1"})
	controller.SetReport(directory.Report{At: now, StartedAt: 2, DiskModels: []string{"m2"}})
	order, ok := controller.NextOrder(now)
	assert.Assert(t, ok && order.Load && order.Model == "m2", "%v", order)
	controller.RecordOutcome(order, directory.OrderAccepted, now)
	controller.SetReport(directory.Report{At: now, StartedAt: 2, Sequence: 1, Models: []directory.ResidentModel{{Model: "m2"}}})
	_, ok = controller.NextOrder(now)
	assert.Assert(t, !ok, "m1 has no local copy, and only the planner may load from the weight store")
}

func TestEvictionSkipsRecentlyUsedAdapters(t *testing.T) {
	controller, now := New(), time.Unix(100, 0)
	controller.SetService(service())
	setReport(controller, now, directory.ResidentModel{Model: "m0", Adapters: []string{"a1", "a2", "a3"}})
	for _, adapter := range []string{"a1", "a3"} {
		controller.RecordUse("m0", adapter, now)
	}
	controller.RequestAdapter(1, "e", "m0", "a4", now.Add(time.Second), now)
	order, ok := controller.NextOrder(now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, order, directory.Order{Model: "m0", Adapter: "a2"})
}
