package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/directory"
)

func newController() (*Controller, time.Time) {
	controller := New()
	controller.SetService(service())
	return controller, time.Unix(100, 0)
}

func TestPlanForResidentModelIsDoneWithoutOrder(t *testing.T) {
	controller, now := newController()
	setReport(controller, now, directory.ResidentModel{Model: "m0"})
	assert.Assert(t, controller.AcceptPlan(Plan{ID: 1, From: "p", Fence: 1, Load: "m0", StartBy: now.Add(time.Second)}, now))
	order, ok := controller.NextOrder(now)
	assert.Assert(t, !ok, "unexpected order %v", order)
	assert.DeepEqual(t, controller.TakeResults(), []Result{{ID: 1, To: "p", Done: true}})
}

func TestPlanThatUnloadsVanishedModelIsDone(t *testing.T) {
	controller, now := newController()
	setReport(controller, now, directory.ResidentModel{Model: "m0"})
	assert.Assert(t, controller.AcceptPlan(Plan{ID: 1, From: "p", Fence: 1, Unload: []string{"m1"}, StartBy: now.Add(time.Second)}, now))
	_, ok := controller.NextOrder(now.Add(unloadDelay))
	assert.Assert(t, !ok)
	assert.DeepEqual(t, controller.TakeResults(), []Result{{ID: 1, To: "p", Done: true}})
}

// The outcome of an order that restores a model must not be taken for the start or the
// refusal of a plan that was accepted meanwhile.
func TestOutcomeOfRestoreOrderDoesNotChangePlan(t *testing.T) {
	for _, outcome := range []directory.OrderOutcome{directory.OrderAccepted, directory.OrderRefused} {
		t.Run(outcome.String(), func(t *testing.T) {
			controller, now := newController()
			setReport(controller, now)
			controller.SetRestore([]directory.ResidentModel{{Model: "m2"}})
			order, ok := controller.NextOrder(now)
			assert.Assert(t, ok && order.Model == "m2")
			assert.Assert(t, controller.AcceptPlan(Plan{ID: 1, From: "p", Fence: 1, Load: "m4", StartBy: now.Add(time.Second)}, now))
			controller.RecordOutcome(order, outcome, now)
			assert.Equal(t, len(controller.TakeResults()), 0, "the plan was answered")
			replaced := controller.AcceptPlan(Plan{ID: 2, From: "p", Fence: 1, Load: "m3", StartBy: now.Add(time.Second)}, now)
			assert.Assert(t, replaced, "a plan that has not started can be replaced")
		})
	}
}

// An order that the target refuses would be refused again.
func TestRefusedRestoreOrderIsNotRepeated(t *testing.T) {
	controller, now := newController()
	setReport(controller, now)
	controller.SetRestore([]directory.ResidentModel{{Model: "m2"}})
	order, ok := controller.NextOrder(now)
	assert.Assert(t, ok)
	controller.RecordOutcome(order, directory.OrderRefused, now)
	setReport(controller, now)
	_, ok = controller.NextOrder(now)
	assert.Assert(t, !ok)
}

// smallService declares models of 60, 40 and 39 MB with adapters of 1 MB, and a target
// with 100 MB and eight places for adapters.
func smallService() *directory.Service {
	spec := directory.ServiceSpec{Name: "llm", Engine: &directory.EngineSpec{MemoryMegabytes: 100, AdapterSlots: 8}}
	for name, size := range map[string]float64{"large": 60, "exact": 40, "small": 39} {
		spec.Engine.Models = append(spec.Engine.Models, directory.NewModel(directory.ModelSpec{Name: name, WeightsMegabytes: size, Adapters: 8, AdapterMegabytes: 1}))
	}
	return directory.NewService(spec)
}

// An adapter that is being loaded takes up memory before the report lists it with its
// model.
func TestLoadingAdaptersCountAsUsedMemory(t *testing.T) {
	for load, fits := range map[string]bool{"exact": false, "small": true} {
		t.Run(load, func(t *testing.T) {
			controller, now := newController()
			controller.SetService(smallService())
			controller.SetReport(directory.Report{
				At: now, StartedAt: 1, Models: []directory.ResidentModel{{Model: "large"}}, LoadingAdapters: []string{"large/a1"},
			})
			assert.Assert(t, controller.AcceptPlan(Plan{ID: 1, From: "p", Fence: 1, Load: load, StartBy: now.Add(time.Second)}, now))
			_, ok := controller.NextOrder(now)
			assert.Equal(t, ok, fits)
		})
	}
}

// The platform lets four adapters be on their way to one target.
func TestNoAdapterIsOrderedWhileFourAreLoading(t *testing.T) {
	loading := []string{"large/a1", "large/a2", "large/a3", "large/a4"}
	for count, allowed := range map[int]bool{3: true, 4: false} {
		controller, now := newController()
		controller.SetService(smallService())
		controller.SetReport(directory.Report{At: now, StartedAt: 1, Models: []directory.ResidentModel{{Model: "large"}}, LoadingAdapters: loading[:count]})
		controller.RequestAdapter(1, "e", "large", "a5", now.Add(time.Second), now)
		_, ok := controller.NextOrder(now)
		assert.Equal(t, ok, allowed, "%d adapters are loading", count)
	}
}

// A report may be older than orders that the target has carried out since.
func TestNoOrderIsGivenByOldReport(t *testing.T) {
	controller, now := newController()
	setReport(controller, now)
	assert.Assert(t, controller.AcceptPlan(Plan{ID: 1, From: "p", Fence: 1, Load: "m0", StartBy: now.Add(time.Hour)}, now))
	_, ok := controller.NextOrder(now.Add(maxReportAge + time.Millisecond))
	assert.Assert(t, !ok)
	_, ok = controller.NextOrder(now.Add(maxReportAge))
	assert.Assert(t, ok)
}
