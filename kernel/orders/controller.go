// Package orders decides which load and unload orders the agent of one target
// sends. From the target's reports, the planner's plans, the adapters that requests
// wait for and the models that an earlier incarnation of the target held, it derives
// the next order, and never orders more than fits into the target's memory. Each
// order names the number of orders that the target must have accepted before, so
// that a delayed order takes effect only in the state that it was computed for. The
// package does no I/O and is not safe for concurrent use: package sidecar sends the
// orders, and package residency decides which models a target is to hold.
package orders

import (
	"slices"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	adapterMinIdle     = 700 * time.Millisecond // an adapter used more recently is not evicted
	unloadDelay        = 60 * time.Millisecond  // from a plan's acceptance to its first unload, so that entries stop routing to the models
	maxPendingAdapters = 4                      // the platform's limit on adapters that one target loads at once
	maxReportAge       = time.Second            // no order is based on an older report
)

// adapterRequest is an entry's unanswered request to load an adapter.
type adapterRequest struct {
	id       uint64
	from     string // address of the entry
	model    string
	adapter  string
	deadline time.Time
}

// Plan is a command of the planner to this target: models to unload, then one to load.
type Plan struct {
	ID      uint64 // unique per sender, and the same in a retransmission
	From    string // address of the sender
	Fence   uint64 // fencing number of the planner
	Unload  []string
	Load    string
	StartBy time.Time // the plan is abandoned if it has not started by then
}

// Result is the answer to an adapter request or to a plan.
type Result struct {
	ID     uint64 // of the request or plan
	To     string // address of its sender
	Done   bool   // whether the adapter is loaded or the plan carried out
	Reason string // why not, empty if Done
}

// Controller derives the orders to one target from its last report, its plan, the
// adapter requests and the models to restore.
type Controller struct {
	service       *directory.Service
	report        directory.Report
	reporting     bool  // reports arrive; false from ReportsLost to the next report
	everReported  bool  // at least one report has arrived
	orderPending  bool  // NextOrder returned an order whose outcome has not been recorded
	orderPlan     *Plan // plan that the pending order belongs to, nil for none
	reportStale   bool  // an outcome was recorded after the last report
	requests      []adapterRequest
	plan          *Plan
	planStarted   bool                 // the target accepted an order of the plan
	planNotBefore time.Time            // earliest time for the plan's first order
	fence         uint64               // highest fencing number of the plans accepted
	lastUsed      map[string]time.Time // last use of each MODEL/ADAPTER
	results       []Result
	loads         []weightLoad // pruned by StoreLoads
	currentLoad   weightLoad   // in progress, zero for none
	restoreQueue  []string     // models that an earlier incarnation of the target held, to be loaded again
	lateReports   bool         // reports show the state of some time ago
	minSequence   uint64       // reports with a lower number of orders are ignored until ignoreUntil; they show the state before the last order
	ignoreUntil   time.Time
}

// weightLoad is a load of weights that the target accepted or may have accepted.
type weightLoad struct {
	model       string
	startedAt   time.Time
	expectedEnd time.Time
	fromStore   bool // reads from the weight store
}

// New returns the controller of a target before its first report.
func New() *Controller { return &Controller{lastUsed: map[string]time.Time{}} }

// SetService sets the description of the target's models and engine.
func (controller *Controller) SetService(service *directory.Service) { controller.service = service }

// SetReport records the target's report. When the target has restarted since the
// previous report, the plan, the pending order and the recorded loads are discarded
// without a result, and the models that it held are queued for loading.
func (controller *Controller) SetReport(report directory.Report) {
	sameStart := controller.everReported && report.StartedAt == controller.report.StartedAt
	if sameStart && report.Sequence < controller.minSequence && report.At.Before(controller.ignoreUntil) {
		return
	}
	if controller.everReported && report.StartedAt != controller.report.StartedAt {
		controller.plan, controller.planStarted, controller.orderPending = nil, false, false
		controller.currentLoad = weightLoad{}
		controller.loads, controller.minSequence = nil, 0
		controller.SetRestore(controller.report.Models)
	}
	controller.everReported = true
	controller.report, controller.reporting, controller.reportStale = report, true, false
	// A report from before the start of the load does not show whether the load has ended.
	if !report.Busy && controller.currentLoad.model != "" && !report.At.Before(controller.currentLoad.startedAt) {
		controller.currentLoad = weightLoad{}
	}
	controller.settle()
}

// SetRestore sets the models that an earlier incarnation of the target held. Those
// that fit and have a copy in the target's host memory or on its disk are loaded
// again without waiting for a planner.
func (controller *Controller) SetRestore(models []directory.ResidentModel) {
	controller.restoreQueue = nil
	for _, residentModel := range models {
		controller.restoreQueue = append(controller.restoreQueue, residentModel.Model)
	}
}

// ReportsLost records that the target's reports have stopped. No order is given before the
// next report.
func (controller *Controller) ReportsLost() { controller.reporting = false }

// RecordUse records that requests use an adapter, which protects it from eviction for
// adapterMinIdle.
func (controller *Controller) RecordUse(model, adapter string, now time.Time) {
	controller.lastUsed[adapterName(model, adapter)] = now
}

// RequestAdapter records that requests at an entry wait for an adapter until deadline.
func (controller *Controller) RequestAdapter(id uint64, from, model, adapter string, deadline, now time.Time) {
	controller.lastUsed[adapterName(model, adapter)] = now
	for index := range controller.requests {
		if request := &controller.requests[index]; request.id == id && request.from == from {
			return // a retransmission
		}
	}
	controller.requests = append(controller.requests, adapterRequest{id: id, from: from, model: model, adapter: adapter, deadline: deadline})
	controller.settle()
}

// AcceptPlan accepts a plan. It replaces a plan that has not started, which then gets
// no result. AcceptPlan refuses a plan with a lower fencing number than the last
// accepted one, and any plan while another is being carried out. It reports whether
// the plan is new and accepted.
func (controller *Controller) AcceptPlan(plan Plan, now time.Time) bool {
	switch {
	case plan.Fence < controller.fence:
		controller.addResult(plan.ID, plan.From, false, "a newer planner has spoken")
	case controller.plan != nil && controller.plan.ID == plan.ID && controller.plan.From == plan.From:
		return false // a retransmission
	case controller.plan != nil && controller.planStarted:
		controller.addResult(plan.ID, plan.From, false, "another command is under way")
	default:
		controller.fence = plan.Fence
		controller.plan, controller.planStarted = &plan, false
		controller.planNotBefore = now.Add(unloadDelay)
		if len(plan.Unload) == 0 {
			controller.planNotBefore = now
		}
		if !controller.orderPending && !controller.reportStale {
			controller.settle() // the plan may already hold
		}
		return true
	}
	return false
}

// Fence returns the highest fencing number of the plans accepted.
func (controller *Controller) Fence() uint64 { return controller.fence }

func (controller *Controller) addResult(id uint64, to string, done bool, reason string) {
	controller.results = append(controller.results, Result{ID: id, To: to, Done: done, Reason: reason})
}

// TakeResults returns the results since the last call and clears them.
func (controller *Controller) TakeResults() []Result {
	results := controller.results
	controller.results = nil
	return results
}

// settle answers the adapter requests and the plan that the report shows as done,
// and refuses requests for adapters of models that are not resident.
func (controller *Controller) settle() {
	if !controller.reporting {
		return
	}
	waiting := controller.requests[:0]
	for _, request := range controller.requests {
		switch {
		case controller.holdsAdapter(request.model, request.adapter):
			controller.addResult(request.id, request.from, true, "")
		case !controller.holdsModel(request.model):
			controller.addResult(request.id, request.from, false, "the model is not resident")
		default:
			waiting = append(waiting, request)
		}
	}
	controller.requests = waiting
	if plan := controller.plan; plan != nil && !controller.report.Busy && controller.nextUnload() == "" && (plan.Load == "" || controller.holdsModel(plan.Load)) {
		controller.addResult(plan.ID, plan.From, true, "")
		controller.plan, controller.planStarted = nil, false
	}
}

// nextUnload returns the next model that the plan unloads and the target still
// holds, empty for none.
func (controller *Controller) nextUnload() string {
	for _, model := range controller.plan.Unload {
		if controller.holdsModel(model) {
			return model
		}
	}
	return ""
}

func (controller *Controller) holdsModel(model string) bool {
	return slices.ContainsFunc(controller.report.Models, func(residentModel directory.ResidentModel) bool { return residentModel.Model == model })
}

func (controller *Controller) holdsAdapter(model, adapter string) bool {
	return slices.ContainsFunc(controller.report.Models, func(residentModel directory.ResidentModel) bool {
		return residentModel.Model == model && slices.Contains(residentModel.Adapters, adapter)
	})
}

// NextOrder returns the order to send now, if there is one: first those of the plan, then
// those that restore models, then those for adapters. The caller passes its outcome
// to RecordOutcome; until then, NextOrder returns no other. The caller also sets the
// order's Target, Holder and Fence.
func (controller *Controller) NextOrder(now time.Time) (order directory.Order, ok bool) {
	controller.expire(now)
	if controller.orderPending || controller.reportStale || !controller.reporting || controller.service == nil || controller.service.Engine() == nil ||
		controller.report.Draining || controller.report.Busy || now.Sub(controller.report.At) > maxReportAge {
		return directory.Order{}, false
	}
	order, ok = controller.nextPlanOrder(now)
	controller.orderPlan = controller.plan
	if !ok {
		controller.orderPlan = nil
		order, ok = controller.nextRestoreOrder()
	}
	if !ok {
		order, ok = controller.nextAdapterOrder(now)
	}
	if ok {
		order.Sequence = controller.report.Sequence
		controller.orderPending = true
	}
	return order, ok
}

// expire refuses adapter requests past their deadline and a plan past its start-by
// time, and removes adapters that have not been used for a minute from lastUsed.
func (controller *Controller) expire(now time.Time) {
	waiting := controller.requests[:0]
	for _, request := range controller.requests {
		if now.After(request.deadline) {
			controller.addResult(request.id, request.from, false, "the time is over")
			continue
		}
		waiting = append(waiting, request)
	}
	controller.requests = waiting
	if controller.plan != nil && !controller.planStarted && now.After(controller.plan.StartBy) {
		controller.abandonPlan("the time is over")
	}
	for name, at := range controller.lastUsed {
		if now.Sub(at) > time.Minute {
			delete(controller.lastUsed, name)
		}
	}
}

// abandonPlan discards the plan and answers it with the reason.
func (controller *Controller) abandonPlan(reason string) {
	controller.addResult(controller.plan.ID, controller.plan.From, false, reason)
	controller.plan, controller.planStarted = nil, false
}

// nextPlanOrder returns the plan's next order. It abandons a plan whose model is
// unknown or does not fit.
func (controller *Controller) nextPlanOrder(now time.Time) (directory.Order, bool) {
	if controller.plan == nil || now.Before(controller.planNotBefore) {
		return directory.Order{}, false
	}
	if model := controller.nextUnload(); model != "" {
		return directory.Order{Model: model}, true
	}
	model := controller.service.Model(controller.plan.Load)
	if model == nil {
		controller.abandonPlan("the model is unknown")
		return directory.Order{}, false
	}
	if controller.usedMegabytes()+model.WeightsMegabytes() > controller.service.Engine().MemoryMegabytes {
		controller.abandonPlan("there is no memory")
		return directory.Order{}, false
	}
	return directory.Order{Load: true, Model: model.Name()}, true
}

// nextRestoreOrder returns the order that loads the first model of restoreQueue that
// the target does not hold, has a local copy of and has the memory for. It removes
// the models before that one from the queue; that one stays in it for as long as
// these conditions hold.
func (controller *Controller) nextRestoreOrder() (directory.Order, bool) {
	for len(controller.restoreQueue) > 0 {
		model := controller.service.Model(controller.restoreQueue[0])
		if model == nil || controller.holdsModel(model.Name()) || !controller.hasLocalCopy(model.Name()) ||
			controller.usedMegabytes()+model.WeightsMegabytes() > controller.service.Engine().MemoryMegabytes {
			controller.restoreQueue = controller.restoreQueue[1:]
			continue
		}
		return directory.Order{Load: true, Model: model.Name()}, true
	}
	return directory.Order{}, false
}

// hasLocalCopy reports whether the target has a model's weights in host memory or
// on disk.
func (controller *Controller) hasLocalCopy(model string) bool {
	return slices.Contains(controller.report.HostModels, model) || slices.Contains(controller.report.DiskModels, model)
}

// usedMegabytes returns the memory of resident models and adapters and of adapters
// that are being loaded.
func (controller *Controller) usedMegabytes() float64 {
	sum := 0.0
	for _, residentModel := range controller.report.Models {
		model := controller.service.Model(residentModel.Model)
		if model == nil {
			return controller.service.Engine().MemoryMegabytes // the model's size is unknown, so all memory counts as used
		}
		sum += model.WeightsMegabytes() + float64(len(residentModel.Adapters))*model.AdapterMegabytes()
	}
	for _, pending := range controller.report.LoadingAdapters {
		if model := controller.service.Model(modelOf(pending)); model != nil {
			sum += model.AdapterMegabytes()
		}
	}
	return sum
}

// RecordOutcome records the outcome of the order that NextOrder returned. NextOrder
// returns no other order before the next report. An accepted order of the plan starts
// it, and a fenced or refused one abandons it. A model whose restore order was fenced or
// refused is not ordered again.
func (controller *Controller) RecordOutcome(order directory.Order, outcome directory.OrderOutcome, now time.Time) {
	controller.orderPending = false
	controller.reportStale = true
	if controller.lateReports && outcome == directory.OrderAccepted {
		controller.minSequence, controller.ignoreUntil = order.Sequence+1, now.Add(reportLateness)
	}
	if order.Adapter != "" {
		return
	}
	ofPlan := controller.orderPlan != nil && controller.orderPlan == controller.plan
	switch outcome {
	case directory.OrderAccepted:
		controller.planStarted = controller.planStarted || ofPlan
		if order.Load {
			controller.recordLoad(order.Model, now)
		}
	case directory.OrderFenced, directory.OrderRefused:
		switch {
		case ofPlan:
			controller.abandonPlan("the target " + outcome.String() + " the order")
		case controller.orderPlan == nil && len(controller.restoreQueue) > 0 && controller.restoreQueue[0] == order.Model:
			controller.restoreQueue = controller.restoreQueue[1:]
		}
	case directory.OrderUnknown:
		if order.Load {
			controller.recordLoad(order.Model, now) // the load may have started
		}
	}
}

// recordLoad records the start of a load of weights and its expected end, which
// depends on where the nearest copy is.
func (controller *Controller) recordLoad(name string, now time.Time) {
	model := controller.service.Model(name)
	started := weightLoad{model: name, startedAt: now}
	switch {
	case slices.Contains(controller.report.HostModels, name):
		started.expectedEnd = now.Add(model.HostLoadTime())
	case controller.hasLocalCopy(name):
		started.expectedEnd = now.Add(model.DiskLoadTime())
	default:
		started.expectedEnd = now.Add(model.StoreLoadTime())
		started.fromStore = true
	}
	controller.currentLoad = started
	controller.loads = append(controller.loads, started)
}

// Loading returns the model whose weights are being loaded, empty for none, and the
// expected end of the load.
func (controller *Controller) Loading() (model string, expectedEnd time.Time) {
	return controller.currentLoad.model, controller.currentLoad.expectedEnd
}

// StoreLoad is a load from the weight store that started at At.
type StoreLoad struct {
	Model string
	At    time.Time
}

// StoreLoads returns the loads from the weight store that started within the window
// before now, and drops older loads.
func (controller *Controller) StoreLoads(window time.Duration, now time.Time) []StoreLoad {
	var recent []StoreLoad
	kept := controller.loads[:0]
	for _, load := range controller.loads {
		if now.Sub(load.startedAt) > window {
			continue
		}
		kept = append(kept, load)
		if load.fromStore {
			recent = append(recent, StoreLoad{Model: load.model, At: load.startedAt})
		}
	}
	controller.loads = kept
	return recent
}

// RoutableModels returns the target's resident models without those that the plan unloads,
// so that entries stop routing to them beforehand.
func (controller *Controller) RoutableModels() []directory.ResidentModel {
	if controller.plan == nil {
		return controller.report.Models
	}
	var models []directory.ResidentModel
	for _, residentModel := range controller.report.Models {
		if !slices.Contains(controller.plan.Unload, residentModel.Model) {
			models = append(models, residentModel)
		}
	}
	return models
}

// NeedsReport reports whether the target should be asked for reports more often, because
// entries wait for an adapter or the next order waits for a report.
func (controller *Controller) NeedsReport() bool {
	return len(controller.requests) > 0 || controller.reportStale
}

// adapterName returns the name of an adapter in reports, MODEL/ADAPTER.
func adapterName(model, adapter string) string { return model + "/" + adapter }

// modelOf returns the model in a name of the form MODEL/ADAPTER.
func modelOf(fullName string) string {
	for index := range fullName {
		if fullName[index] == '/' {
			return fullName[:index]
		}
	}
	return fullName
}
