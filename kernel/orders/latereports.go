package orders

import (
	"slices"
	"time"

	"endiverill.example/kernel/directory"
)

// reportLateness bounds the age of what a target reports to other machines than its own.
const reportLateness = time.Second

// NewRemote returns the controller of a target whose reports are late, since it is on another
// machine.
func NewRemote() *Controller {
	controller := New()
	controller.lateReports = true
	return controller
}

// AssumeDone records that an accepted order for an adapter has been carried out by now, before a
// late report shows it.
func (controller *Controller) AssumeDone(order directory.Order) {
	if controller.report.Sequence != order.Sequence || !controller.reporting {
		return // a report has shown more
	}
	models := slices.Clone(controller.report.Models)
	for index, residentModel := range models {
		if residentModel.Model != order.Model {
			continue
		}
		adapters := slices.DeleteFunc(slices.Clone(residentModel.Adapters), func(adapter string) bool { return adapter == order.Adapter })
		if order.Load {
			adapters = append(adapters, order.Adapter)
		}
		models[index].Adapters = adapters
	}
	controller.report.Models, controller.report.Sequence = models, order.Sequence+1
	controller.reportStale = false
	controller.settle()
}

// Abandon answers the plan and all adapter requests with a reason and discards them.
func (controller *Controller) Abandon(reason string) {
	for _, request := range controller.requests {
		controller.addResult(request.id, request.from, false, reason)
	}
	controller.requests = nil
	if controller.plan != nil {
		controller.abandonPlan(reason)
	}
}

// Reported reports whether the target has ever reported.
func (controller *Controller) Reported() bool { return controller.everReported }
