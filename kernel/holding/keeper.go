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

// Ask is a wish that waits for its adapter.
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

// Result answers a wish or a plan.
type Result struct {
	ID     uint64
	To     string
	Done   bool
	Reason string
}

// Keeper is the state of one target's agent.
type Keeper struct {
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

// New returns the keeper of a target that has not reported yet.
func New() *Keeper { return &Keeper{used: map[string]time.Time{}} }

// SetService takes over the description of the target's engines.
func (keeper *Keeper) SetService(service *directory.Service) { keeper.service = service }

// Reported takes in the target's report. A report of another start than before
// voids all that was under way.
func (keeper *Keeper) Reported(report directory.Report) {
	if keeper.known && report.Born != keeper.report.Born {
		keeper.plan, keeper.begun, keeper.waiting = nil, false, false
		keeper.current = load{}
		keeper.loads = nil
		keeper.Restore(keeper.report.Models)
	}
	keeper.known = true
	keeper.report, keeper.reported, keeper.refresh = report, true, false
	if !report.Busy && keeper.current.model != "" && !report.At.Before(keeper.current.at) {
		keeper.current = load{}
	}
	keeper.settle()
}

// Restore tells what an earlier start of the target held. Whatever of it is on
// hand at the target is loaded again, without waiting for a planner.
func (keeper *Keeper) Restore(models []directory.Resident) {
	keeper.restore = nil
	for _, resident := range models {
		keeper.restore = append(keeper.restore, resident.Model)
	}
}

// Lost records that the target does not report.
func (keeper *Keeper) Lost() { keeper.reported = false }

// Use records that requests use an adapter.
func (keeper *Keeper) Use(model, adapter string, now time.Time) {
	keeper.used[name(model, adapter)] = now
}

// Want asks for an adapter on behalf of waiting requests.
func (keeper *Keeper) Want(id uint64, from, model, adapter string, latest, now time.Time) {
	keeper.used[name(model, adapter)] = now
	for index := range keeper.asks {
		if known := &keeper.asks[index]; known.id == id && known.from == from {
			return // the same wish, sent again
		}
	}
	keeper.asks = append(keeper.asks, ask{id: id, from: from, model: model, adapter: adapter, latest: latest})
	keeper.settle()
}

// Command takes a planner's command, unless a newer planner has spoken or
// another command is under way. It returns whether the command is new and taken.
func (keeper *Keeper) Command(plan Plan, now time.Time) bool {
	switch {
	case plan.Fence < keeper.fence:
		keeper.answer(plan.ID, plan.From, false, "a newer planner has spoken")
	case keeper.plan != nil && keeper.plan.ID == plan.ID && keeper.plan.From == plan.From:
		return false // the same command, sent again
	case keeper.plan != nil && keeper.begun:
		keeper.answer(plan.ID, plan.From, false, "another command is under way")
	default:
		keeper.fence = plan.Fence
		keeper.plan, keeper.begun = &plan, false
		keeper.release = now.Add(releasePause)
		if len(plan.Unload) == 0 {
			keeper.release = now
		}
		return true
	}
	return false
}

// Fence returns the highest fence of the planners' commands.
func (keeper *Keeper) Fence() uint64 { return keeper.fence }

func (keeper *Keeper) answer(id uint64, to string, done bool, reason string) {
	keeper.results = append(keeper.results, Result{ID: id, To: to, Done: done, Reason: reason})
}

// Results returns the answers that have become due since the last call.
func (keeper *Keeper) Results() []Result {
	results := keeper.results
	keeper.results = nil
	return results
}

// settle answers the wishes and the plan that the report fulfils.
func (keeper *Keeper) settle() {
	if !keeper.reported {
		return
	}
	waiting := keeper.asks[:0]
	for _, ask := range keeper.asks {
		switch {
		case keeper.resident(ask.model, ask.adapter):
			keeper.answer(ask.id, ask.from, true, "")
		case !keeper.holds(ask.model):
			keeper.answer(ask.id, ask.from, false, "the model is not resident")
		default:
			waiting = append(waiting, ask)
		}
	}
	keeper.asks = waiting
	if plan := keeper.plan; plan != nil && !keeper.report.Busy && keeper.unloadLeft() == "" && (plan.Load == "" || keeper.holds(plan.Load)) {
		keeper.answer(plan.ID, plan.From, true, "")
		keeper.plan, keeper.begun = nil, false
	}
}

// unloadLeft returns the next model of the plan that has to go.
func (keeper *Keeper) unloadLeft() string {
	for _, model := range keeper.plan.Unload {
		if keeper.holds(model) {
			return model
		}
	}
	return ""
}

func (keeper *Keeper) holds(model string) bool {
	return slices.ContainsFunc(keeper.report.Models, func(resident directory.Resident) bool { return resident.Model == model })
}

func (keeper *Keeper) resident(model, adapter string) bool {
	return slices.ContainsFunc(keeper.report.Models, func(resident directory.Resident) bool {
		return resident.Model == model && slices.Contains(resident.Adapters, adapter)
	})
}

// Next returns the order to give now, if there is one. Its answer is reported
// by Answered.
func (keeper *Keeper) Next(now time.Time) (order directory.Order, ok bool) {
	keeper.expire(now)
	if keeper.waiting || keeper.refresh || !keeper.reported || keeper.service == nil || keeper.service.Engine() == nil ||
		keeper.report.Draining || keeper.report.Busy || now.Sub(keeper.report.At) > reportPatience {
		return directory.Order{}, false
	}
	order, ok = keeper.planned(now)
	if !ok {
		order, ok = keeper.restored()
	}
	if !ok {
		order, ok = keeper.adapter(now)
	}
	if ok {
		order.Sequence = keeper.report.Sequence
		keeper.waiting = true
	}
	return order, ok
}

// expire drops the wishes and commands whose time is over.
func (keeper *Keeper) expire(now time.Time) {
	waiting := keeper.asks[:0]
	for _, ask := range keeper.asks {
		if now.After(ask.latest) {
			keeper.answer(ask.id, ask.from, false, "the time is over")
			continue
		}
		waiting = append(waiting, ask)
	}
	keeper.asks = waiting
	if keeper.plan != nil && !keeper.begun && now.After(keeper.plan.Latest) {
		keeper.drop("the time is over")
	}
	for name, at := range keeper.used {
		if now.Sub(at) > time.Minute {
			delete(keeper.used, name)
		}
	}
}

func (keeper *Keeper) drop(reason string) {
	keeper.answer(keeper.plan.ID, keeper.plan.From, false, reason)
	keeper.plan, keeper.begun = nil, false
}

// planned returns the next order of the planner's command.
func (keeper *Keeper) planned(now time.Time) (directory.Order, bool) {
	if keeper.plan == nil || now.Before(keeper.release) {
		return directory.Order{}, false
	}
	if model := keeper.unloadLeft(); model != "" {
		return directory.Order{Model: model}, true
	}
	model := keeper.service.Model(keeper.plan.Load)
	if model == nil {
		keeper.drop("the model is unknown")
		return directory.Order{}, false
	}
	if keeper.weight()+model.Megabytes() > keeper.service.Engine().WeightsMegab {
		keeper.drop("there is no memory")
		return directory.Order{}, false
	}
	return directory.Order{Load: true, Model: model.Name()}, true
}

// restored returns the order that brings back a model of an earlier start.
func (keeper *Keeper) restored() (directory.Order, bool) {
	for len(keeper.restore) > 0 {
		model := keeper.service.Model(keeper.restore[0])
		if model == nil || keeper.holds(model.Name()) || !keeper.onHand(model.Name()) ||
			keeper.weight()+model.Megabytes() > keeper.service.Engine().WeightsMegab {
			keeper.restore = keeper.restore[1:]
			continue
		}
		return directory.Order{Load: true, Model: model.Name()}, true
	}
	return directory.Order{}, false
}

// onHand says whether the target has a copy of a model's weights.
func (keeper *Keeper) onHand(model string) bool {
	return slices.Contains(keeper.report.Host, model) || slices.Contains(keeper.report.Disk, model)
}

// weight returns the megabytes that the target holds or is about to hold.
func (keeper *Keeper) weight() float64 {
	sum := 0.0
	for _, resident := range keeper.report.Models {
		model := keeper.service.Model(resident.Model)
		if model == nil {
			return keeper.service.Engine().WeightsMegab // of unknown size, so nothing more fits
		}
		sum += model.Megabytes() + float64(len(resident.Adapters))*model.AdapterMegabytes()
	}
	for _, pending := range keeper.report.Pending {
		if model := keeper.service.Model(modelOf(pending)); model != nil {
			sum += model.AdapterMegabytes()
		}
	}
	return sum
}

// adapter returns the next order that brings a wish nearer.
func (keeper *Keeper) adapter(now time.Time) (directory.Order, bool) {
	for _, ask := range keeper.asks {
		if slices.Contains(keeper.report.Pending, name(ask.model, ask.adapter)) {
			continue
		}
		if len(keeper.report.Pending) >= maxInTransit {
			return directory.Order{}, false
		}
		model := keeper.service.Model(ask.model)
		if model == nil {
			continue
		}
		engine := keeper.service.Engine()
		if keeper.places() < engine.AdapterPlaces && keeper.weight()+model.AdapterMegabytes() <= engine.WeightsMegab {
			return directory.Order{Load: true, Model: ask.model, Adapter: ask.adapter}, true
		}
		if order, ok := keeper.evict(now); ok {
			return order, true
		}
	}
	return directory.Order{}, false
}

func (keeper *Keeper) places() int {
	places := len(keeper.report.Pending)
	for _, resident := range keeper.report.Models {
		places += len(resident.Adapters)
	}
	return places
}

// evict returns the order that unloads the adapter that was used longest ago.
func (keeper *Keeper) evict(now time.Time) (directory.Order, bool) {
	var oldest directory.Order
	at := now.Add(-adapterRest)
	found := false
	for _, resident := range keeper.report.Models {
		for _, adapter := range resident.Adapters {
			if used := keeper.used[name(resident.Model, adapter)]; used.Before(at) {
				oldest, at, found = directory.Order{Model: resident.Model, Adapter: adapter}, used, true
			}
		}
	}
	return oldest, found
}

// Answered takes in the answer to the order that Next gave. After each answer,
// a new report is needed before the next order.
func (keeper *Keeper) Answered(order directory.Order, outcome directory.OrderOutcome, now time.Time) {
	keeper.waiting = false
	keeper.refresh = true
	if order.Adapter != "" {
		return
	}
	switch outcome {
	case directory.OrderAccepted:
		keeper.begun = keeper.plan != nil
		if order.Load {
			keeper.record(order.Model, now)
		}
	case directory.OrderFenced, directory.OrderRefused:
		if keeper.plan != nil {
			keeper.drop("the target " + outcome.String() + " the order")
		}
	case directory.OrderUnknown:
		if order.Load {
			keeper.record(order.Model, now) // it may have begun
		}
	}
}

// record notes a load of weights and when it should end.
func (keeper *Keeper) record(name string, now time.Time) {
	model := keeper.service.Model(name)
	begun := load{model: name, at: now}
	switch {
	case slices.Contains(keeper.report.Host, name):
		begun.ends = now.Add(model.HostLoad())
	case keeper.onHand(name):
		begun.ends = now.Add(model.DiskLoad())
	default:
		begun.ends = now.Add(model.StoreLoad())
		begun.store = true
	}
	keeper.current = begun
	keeper.loads = append(keeper.loads, begun)
}

// Loading returns the model whose weights are being loaded and when that should
// end; empty when none is.
func (keeper *Keeper) Loading() (model string, ends time.Time) {
	return keeper.current.model, keeper.current.ends
}

// StoreLoad is a load from the weight store.
type StoreLoad struct {
	Model string
	At    time.Time
}

// StoreLoads returns the loads from the weight store that began within the
// window before now.
func (keeper *Keeper) StoreLoads(window time.Duration, now time.Time) []StoreLoad {
	var recent []StoreLoad
	kept := keeper.loads[:0]
	for _, load := range keeper.loads {
		if now.Sub(load.at) > window {
			continue
		}
		kept = append(kept, load)
		if load.store {
			recent = append(recent, StoreLoad{Model: load.model, At: load.at})
		}
	}
	keeper.loads = kept
	return recent
}

// Models returns what the target holds, without the models that are about to
// be unloaded.
func (keeper *Keeper) Models() []directory.Resident {
	if keeper.plan == nil {
		return keeper.report.Models
	}
	var models []directory.Resident
	for _, resident := range keeper.report.Models {
		if !slices.Contains(keeper.plan.Unload, resident.Model) {
			models = append(models, resident)
		}
	}
	return models
}

// Pressing says whether wishes wait, so that reports should come quickly.
func (keeper *Keeper) Pressing() bool { return len(keeper.asks) > 0 || keeper.refresh }

func name(model, adapter string) string { return model + "/" + adapter }

func modelOf(name string) string {
	for index := range name {
		if name[index] == '/' {
			return name[:index]
		}
	}
	return name
}
