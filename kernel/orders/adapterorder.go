package orders

import (
	"slices"
	"time"

	"endiverill.example/kernel/directory"
)

// nextAdapterOrder returns the order for the first adapter request that allows one: it
// loads the adapter if that fits, else it evicts another adapter. Requests whose
// adapter is being loaded are skipped.
func (controller *Controller) nextAdapterOrder(now time.Time) (directory.Order, bool) {
	for _, request := range controller.requests {
		if slices.Contains(controller.report.LoadingAdapters, adapterName(request.model, request.adapter)) {
			continue
		}
		if len(controller.report.LoadingAdapters) >= maxPendingAdapters {
			return directory.Order{}, false
		}
		model := controller.service.Model(request.model)
		if model == nil {
			continue
		}
		engine := controller.service.Engine()
		if controller.usedSlots() < engine.AdapterSlots && controller.usedMegabytes()+model.AdapterMegabytes() <= engine.MemoryMegabytes {
			return directory.Order{Load: true, Model: request.model, Adapter: request.adapter}, true
		}
		if order, ok := controller.evictionOrder(now); ok {
			return order, true
		}
	}
	return directory.Order{}, false
}

func (controller *Controller) usedSlots() int {
	slots := len(controller.report.LoadingAdapters)
	for _, residentModel := range controller.report.Models {
		slots += len(residentModel.Adapters)
	}
	return slots
}

// evictionOrder returns the order that unloads the least recently used adapter, if
// that has been idle for adapterMinIdle.
func (controller *Controller) evictionOrder(now time.Time) (directory.Order, bool) {
	var oldest directory.Order
	oldestUse := now.Add(-adapterMinIdle)
	found := false
	for _, residentModel := range controller.report.Models {
		for _, adapter := range residentModel.Adapters {
			if used := controller.lastUsed[adapterName(residentModel.Model, adapter)]; used.Before(oldestUse) {
				oldest, oldestUse, found = directory.Order{Model: residentModel.Model, Adapter: adapter}, used, true
			}
		}
	}
	return oldest, found
}
