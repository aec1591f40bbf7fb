// Package holding decides which orders the agent of one target gives: it loads
// adapters that requests wait for, carries out the planner's commands, and
// never orders more than the target has room for. Each order names the number
// of orders accepted before it, so that one which is carried out late can take
// effect only in the state that it was given for. The package does no I/O.
package holding

import (
	"slices"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	adapterRest    = 700 * time.Millisecond // an adapter used within this is not evicted
	releasePause   = 60 * time.Millisecond  // entries have heard by then that a model is about to go
	maxInTransit   = 4                      // adapters on their way to one target, by the platform's page
	reportPatience = time.Second            // orders wait for a report that is newer than this
)

// ask is an entry's request for an adapter that has not been answered.
type ask struct {
	id      uint64
	from    string
	model   string
	adapter string
	latest  time.Time
}

// Plan is the planner's command for one target.
type Plan struct {
	ID     uint64
	From   string
	Fence  uint64
	Unload []string
	Load   string
	Latest time.Time // void after this, if it has not begun
}

// Result answers a request for an adapter or a plan.
type Result struct {
	ID     uint64
	To     string
	Done   bool
	Reason string
}

// Controller is the state of one target's agent.
type Controller struct {
	service  *directory.Service
	report   directory.Report
	reported bool
	known    bool // there has been a report
	waiting  bool // for the answer to an order
	refresh  bool // the report is older than the last order
	asks     []ask
	plan     *Plan
	begun    bool      // an order of the plan was accepted
	release  time.Time // when the first unload of the plan may go
	fence    uint64    // highest of the planners' commands
	used     map[string]time.Time
	results  []Result
	loads    []load
	current  load
	restore  []string // models that an earlier start of the target held
}

// load is a load of weights that the target accepted.
type load struct {
	model string
	at    time.Time
	ends  time.Time
	store bool // from the weight store
}

// New returns the controller of a target that has not reported yet.
func New() *Controller { return &Controller{used: map[string]time.Time{}} }

// SetService takes over the description of the target's engines.
func (controller *Controller) SetService(service *directory.Service) { controller.service = service }

// Reported takes in the target's report. A report of another start than before
// voids all that was under way.
func (controller *Controller) Reported(report directory.Report) {
	if controller.known && report.Born != controller.report.Born {
		controller.plan, controller.begun, controller.waiting = nil, false, false
		controller.current = load{}
		controller.loads = nil
		controller.Restore(controller.report.Models)
	}
	controller.known = true
	controller.report, controller.reported, controller.refresh = report, true, false
	if !report.Busy && controller.current.model != "" && !report.At.Before(controller.current.at) {
		controller.current = load{}
	}
	controller.settle()
}

// Restore tells what an earlier start of the target held. Whatever of it is on
// hand at the target is loaded again, without waiting for a planner.
func (controller *Controller) Restore(models []directory.Resident) {
	controller.restore = nil
	for _, resident := range models {
		controller.restore = append(controller.restore, resident.Model)
	}
}

// Lost records that the target does not report.
func (controller *Controller) Lost() { controller.reported = false }

// Use records that requests use an adapter.
func (controller *Controller) Use(model, adapter string, now time.Time) {
	controller.used[name(model, adapter)] = now
}

// Want asks for an adapter on behalf of waiting requests.
func (controller *Controller) Want(id uint64, from, model, adapter string, latest, now time.Time) {
	controller.used[name(model, adapter)] = now
	for index := range controller.asks {
		if known := &controller.asks[index]; known.id == id && known.from == from {
			return // the same request, sent again
		}
	}
	controller.asks = append(controller.asks, ask{id: id, from: from, model: model, adapter: adapter, latest: latest})
	controller.settle()
}

// Command takes a planner's command, unless a newer planner has spoken or
// another command is under way. It returns whether the command is new and taken.
func (controller *Controller) Command(plan Plan, now time.Time) bool {
	switch {
	case plan.Fence < controller.fence:
		controller.answer(plan.ID, plan.From, false, "a newer planner has spoken")
	case controller.plan != nil && controller.plan.ID == plan.ID && controller.plan.From == plan.From:
		return false // the same command, sent again
	case controller.plan != nil && controller.begun:
		controller.answer(plan.ID, plan.From, false, "another command is under way")
	default:
		controller.fence = plan.Fence
		controller.plan, controller.begun = &plan, false
		controller.release = now.Add(releasePause)
		if len(plan.Unload) == 0 {
			controller.release = now
		}
		return true
	}
	return false
}

// Fence returns the highest fence of the planners' commands.
func (controller *Controller) Fence() uint64 { return controller.fence }

func (controller *Controller) answer(id uint64, to string, done bool, reason string) {
	controller.results = append(controller.results, Result{ID: id, To: to, Done: done, Reason: reason})
}

// Results returns the answers that have become due since the last call.
func (controller *Controller) Results() []Result {
	results := controller.results
	controller.results = nil
	return results
}

// settle answers the requests for adapters and the plan that the report fulfils.
func (controller *Controller) settle() {
	if !controller.reported {
		return
	}
	waiting := controller.asks[:0]
	for _, ask := range controller.asks {
		switch {
		case controller.resident(ask.model, ask.adapter):
			controller.answer(ask.id, ask.from, true, "")
		case !controller.holds(ask.model):
			controller.answer(ask.id, ask.from, false, "the model is not resident")
		default:
			waiting = append(waiting, ask)
		}
	}
	controller.asks = waiting
	if plan := controller.plan; plan != nil && !controller.report.Busy && controller.unloadLeft() == "" && (plan.Load == "" || controller.holds(plan.Load)) {
		controller.answer(plan.ID, plan.From, true, "")
		controller.plan, controller.begun = nil, false
	}
}

// unloadLeft returns the next model of the plan that has to go.
func (controller *Controller) unloadLeft() string {
	for _, model := range controller.plan.Unload {
		if controller.holds(model) {
			return model
		}
	}
	return ""
}

func (controller *Controller) holds(model string) bool {
	return slices.ContainsFunc(controller.report.Models, func(resident directory.Resident) bool { return resident.Model == model })
}

func (controller *Controller) resident(model, adapter string) bool {
	return slices.ContainsFunc(controller.report.Models, func(resident directory.Resident) bool {
		return resident.Model == model && slices.Contains(resident.Adapters, adapter)
	})
}

// Next returns the order to give now, if there is one. Its answer is reported
// by Answered.
func (controller *Controller) Next(now time.Time) (order directory.Order, ok bool) {
	controller.expire(now)
	if controller.waiting || controller.refresh || !controller.reported || controller.service == nil || controller.service.Engine() == nil ||
		controller.report.Draining || controller.report.Busy || now.Sub(controller.report.At) > reportPatience {
		return directory.Order{}, false
	}
	order, ok = controller.planned(now)
	if !ok {
		order, ok = controller.restored()
	}
	if !ok {
		order, ok = controller.adapter(now)
	}
	if ok {
		order.Sequence = controller.report.Sequence
		controller.waiting = true
	}
	return order, ok
}

// expire drops requests for adapters and commands whose time is over.
func (controller *Controller) expire(now time.Time) {
	waiting := controller.asks[:0]
	for _, ask := range controller.asks {
		if now.After(ask.latest) {
			controller.answer(ask.id, ask.from, false, "the time is over")
			continue
		}
		waiting = append(waiting, ask)
	}
	controller.asks = waiting
	if controller.plan != nil && !controller.begun && now.After(controller.plan.Latest) {
		controller.drop("the time is over")
	}
	for name, at := range controller.used {
		if now.Sub(at) > time.Minute {
			delete(controller.used, name)
		}
	}
}

func (controller *Controller) drop(reason string) {
	controller.answer(controller.plan.ID, controller.plan.From, false, reason)
	controller.plan, controller.begun = nil, false
}

// planned returns the next order of the planner's command.
func (controller *Controller) planned(now time.Time) (directory.Order, bool) {
	if controller.plan == nil || now.Before(controller.release) {
		return directory.Order{}, false
	}
	if model := controller.unloadLeft(); model != "" {
		return directory.Order{Model: model}, true
	}
	model := controller.service.Model(controller.plan.Load)
	if model == nil {
		controller.drop("the model is unknown")
		return directory.Order{}, false
	}
	if controller.weight()+model.Megabytes() > controller.service.Engine().WeightsMegab {
		controller.drop("there is no memory")
		return directory.Order{}, false
	}
	return directory.Order{Load: true, Model: model.Name()}, true
}

// restored returns the order that brings back a model of an earlier start.
func (controller *Controller) restored() (directory.Order, bool) {
	for len(controller.restore) > 0 {
		model := controller.service.Model(controller.restore[0])
		if model == nil || controller.holds(model.Name()) || !controller.onHand(model.Name()) ||
			controller.weight()+model.Megabytes() > controller.service.Engine().WeightsMegab {
			controller.restore = controller.restore[1:]
			continue
		}
		return directory.Order{Load: true, Model: model.Name()}, true
	}
	return directory.Order{}, false
}

// onHand says whether the target has a copy of a model's weights.
func (controller *Controller) onHand(model string) bool {
	return slices.Contains(controller.report.Host, model) || slices.Contains(controller.report.Disk, model)
}

// weight returns the megabytes that the target holds or is about to hold.
func (controller *Controller) weight() float64 {
	sum := 0.0
	for _, resident := range controller.report.Models {
		model := controller.service.Model(resident.Model)
		if model == nil {
			return controller.service.Engine().WeightsMegab // of unknown size, so nothing more fits
		}
		sum += model.Megabytes() + float64(len(resident.Adapters))*model.AdapterMegabytes()
	}
	for _, pending := range controller.report.Pending {
		if model := controller.service.Model(modelOf(pending)); model != nil {
			sum += model.AdapterMegabytes()
		}
	}
	return sum
}

// adapter returns the next order towards an adapter that is asked for.
func (controller *Controller) adapter(now time.Time) (directory.Order, bool) {
	for _, ask := range controller.asks {
		if slices.Contains(controller.report.Pending, name(ask.model, ask.adapter)) {
			continue
		}
		if len(controller.report.Pending) >= maxInTransit {
			return directory.Order{}, false
		}
		model := controller.service.Model(ask.model)
		if model == nil {
			continue
		}
		engine := controller.service.Engine()
		if controller.places() < engine.AdapterPlaces && controller.weight()+model.AdapterMegabytes() <= engine.WeightsMegab {
			return directory.Order{Load: true, Model: ask.model, Adapter: ask.adapter}, true
		}
		if order, ok := controller.evict(now); ok {
			return order, true
		}
	}
	return directory.Order{}, false
}

func (controller *Controller) places() int {
	places := len(controller.report.Pending)
	for _, resident := range controller.report.Models {
		places += len(resident.Adapters)
	}
	return places
}

// evict returns the order that unloads the adapter that was used longest ago.
func (controller *Controller) evict(now time.Time) (directory.Order, bool) {
	var oldest directory.Order
	at := now.Add(-adapterRest)
	found := false
	for _, resident := range controller.report.Models {
		for _, adapter := range resident.Adapters {
			if used := controller.used[name(resident.Model, adapter)]; used.Before(at) {
				oldest, at, found = directory.Order{Model: resident.Model, Adapter: adapter}, used, true
			}
		}
	}
	return oldest, found
}

// Answered takes in the answer to the order that Next gave. After each answer,
// a new report is needed before the next order.
func (controller *Controller) Answered(order directory.Order, outcome directory.OrderOutcome, now time.Time) {
	controller.waiting = false
	controller.refresh = true
	if order.Adapter != "" {
		return
	}
	switch outcome {
	case directory.OrderAccepted:
		controller.begun = controller.plan != nil
		if order.Load {
			controller.record(order.Model, now)
		}
	case directory.OrderFenced, directory.OrderRefused:
		if controller.plan != nil {
			controller.drop("the target " + outcome.String() + " the order")
		}
	case directory.OrderUnknown:
		if order.Load {
			controller.record(order.Model, now) // it may have begun
		}
	}
}

// record notes a load of weights and when it should end.
func (controller *Controller) record(name string, now time.Time) {
	model := controller.service.Model(name)
	begun := load{model: name, at: now}
	switch {
	case slices.Contains(controller.report.Host, name):
		begun.ends = now.Add(model.HostLoad())
	case controller.onHand(name):
		begun.ends = now.Add(model.DiskLoad())
	default:
		begun.ends = now.Add(model.StoreLoad())
		begun.store = true
	}
	controller.current = begun
	controller.loads = append(controller.loads, begun)
}

// Loading returns the model whose weights are being loaded and when that should
// end; empty when none is.
func (controller *Controller) Loading() (model string, ends time.Time) {
	return controller.current.model, controller.current.ends
}

// StoreLoad is a load from the weight store.
type StoreLoad struct {
	Model string
	At    time.Time
}

// StoreLoads returns the loads from the weight store that began within the
// window before now.
func (controller *Controller) StoreLoads(window time.Duration, now time.Time) []StoreLoad {
	var recent []StoreLoad
	kept := controller.loads[:0]
	for _, load := range controller.loads {
		if now.Sub(load.at) > window {
			continue
		}
		kept = append(kept, load)
		if load.store {
			recent = append(recent, StoreLoad{Model: load.model, At: load.at})
		}
	}
	controller.loads = kept
	return recent
}

// Models returns what the target holds, without the models that are about to
// be unloaded.
func (controller *Controller) Models() []directory.Resident {
	if controller.plan == nil {
		return controller.report.Models
	}
	var models []directory.Resident
	for _, resident := range controller.report.Models {
		if !slices.Contains(controller.plan.Unload, resident.Model) {
			models = append(models, resident)
		}
	}
	return models
}

// Urgent says whether entries wait for an adapter, so that reports should be frequent.
func (controller *Controller) Urgent() bool { return len(controller.asks) > 0 || controller.refresh }

func name(model, adapter string) string { return model + "/" + adapter }

func modelOf(name string) string {
	for index := range name {
		if name[index] == '/' {
			return name[:index]
		}
	}
	return name
}
