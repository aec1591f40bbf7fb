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
