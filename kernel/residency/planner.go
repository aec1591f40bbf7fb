// Package residency decides which target holds which models. From the demand for
// each model over the whole fleet and the models that every target holds, it
// computes commands to load and unload models, at most one at a time per target. It
// assumes that a model's work (its demand in tokens per second) spreads evenly over
// the targets that hold it. The cost of a placement is the sum of the squares of the
// targets' work, with a penalty for models that no target holds; a command is issued
// when it lowers the cost by more than its load costs. Loads from the weight store
// stay within the store's rate limit. The package does no I/O and is not safe for
// concurrent use: package gateway sends the commands to the targets' agents, where
// package orders turns them into orders. Package placement decides the same in
// another way, by a stored plan, for package entry.
package residency

import (
	"math"
	"slices"
	"sort"
	"time"

	"endiverill.example/kernel/directory"
)

const (
	demandTimeConstant = 1500 * time.Millisecond // demand shifts within a few seconds
	floorTokensPerS    = 400.0                   // added to every model's demand, so that idle models stay resident too
	unservedPenalty    = 40.0                    // penalty for a model that no target holds, as a multiple of its demand x max(its demand, mean work)
	loadCostPerS       = 0.15                    // cost of each second of a load, as a fraction of the squared mean work
	commandTimeout     = 4 * time.Second         // a command of this age counts as lost if its target has no load or order in progress
	storeLoadFraction  = 0.85                    // concurrent loads that the weight store serves at full speed, as a fraction of load rate x longest load
	maxVictimWork      = 0.15                    // replicas with more work than this fraction of the mean work per target are not unloaded, because an unload waits for their requests
	maxVictims         = 2                       // models that one command unloads
	maxSwaps           = 4                       // commands with an unload in one Plan call; the next call sees their effect
)

// Target is the last known state of a target.
type Target struct {
	Key           directory.TargetKey
	Service       string
	Report        directory.Report
	Loading       string          // model whose weights are being loaded, empty for none
	StoreLoadAges []time.Duration // time since the start of each load from the weight store that its agent still reports
	Unusable      bool            // draining, or without an agent that may send it orders
	Limited       bool            // takes only MaxRequests a second
	MaxRequests   float64         // if Limited
}

// Command instructs a target's agent to unload models and then load one.
type Command struct {
	Key    directory.TargetKey
	Unload []string
	Load   string
}

// pendingCommand is a command whose effect no report has shown yet.
type pendingCommand struct {
	command   Command
	sentAt    time.Time
	fromStore bool // loads from the weight store
}

// Planner keeps the demand for each model and the pending commands.
type Planner struct {
	demand     map[string]*demandEstimate
	pending    map[directory.TargetKey]pendingCommand
	loadWindow time.Duration
	meanSize   float64 // of a request, in tokens; 0 before the first one
}

// demandEstimate is an exponentially decaying average of the demand for a model,
// in tokens per second.
type demandEstimate struct {
	rate      float64
	updatedAt time.Time
}

// New returns a planner without demand. Window is the interval over which the
// rate limit of the weight store counts loads.
func New(window time.Duration) *Planner {
	return &Planner{demand: map[string]*demandEstimate{}, pending: map[directory.TargetKey]pendingCommand{}, loadWindow: window}
}

// RecordDemand adds requests for a number of tokens to a model's demand.
func (planner *Planner) RecordDemand(model string, tokens float64, now time.Time) {
	estimate := planner.demand[model]
	if estimate == nil {
		estimate = &demandEstimate{updatedAt: now}
		planner.demand[model] = estimate
	}
	estimate.decay(now)
	estimate.rate += tokens / demandTimeConstant.Seconds()
}

func (demandEstimate *demandEstimate) decay(now time.Time) {
	elapsed := now.Sub(demandEstimate.updatedAt)
	if elapsed <= 0 {
		return
	}
	demandEstimate.rate *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
	demandEstimate.updatedAt = now
}

// rate returns the demand for a model in tokens per second, including the floor.
func (planner *Planner) rate(model string, now time.Time) float64 {
	estimate := planner.demand[model]
	if estimate == nil {
		return floorTokensPerS
	}
	estimate.decay(now)
	return estimate.rate + floorTokensPerS
}

// CommandFailed discards the pending command of a target whose agent refused it or
// did not answer.
func (planner *Planner) CommandFailed(key directory.TargetKey) { delete(planner.pending, key) }

// Plan returns the commands to send now to the targets of one service. It applies
// the best move until none improves the placement or maxSwaps of them unload models.
// Targets are those of all services, because their loads share the rate limit of the
// weight store.
func (planner *Planner) Plan(service *directory.Service, targets []Target, now time.Time) []Command {
	if service.Engine() == nil {
		return nil
	}
	draft := planner.newDraft(service, targets, now)
	var commands []Command
	for swaps := 0; swaps < maxSwaps; {
		best, ok := draft.bestMove()
		if !ok {
			break
		}
		if len(best.victims) > 0 {
			swaps++
		}
		draft.commit(best)
		command := best.command(draft)
		planner.pending[command.Key] = pendingCommand{command: command, sentAt: now, fromStore: best.fromStore}
		commands = append(commands, command)
	}
	return commands
}

// targetState is the planned state of a target in a draft.
type targetState struct {
	target    *Target
	models    map[string]bool // models that it holds once pending commands and loads are done
	confirmed map[string]bool // models that it holds now and is not to unload
	free      float64         // megabytes
	work      float64         // tokens per second
	busy      bool            // has an order in progress or a pending command
}

// draft is the planned placement of one service while moves are being chosen.
type draft struct {
	service         *directory.Service
	states          []*targetState
	rates           map[string]float64 // demand for each model, tokens per second
	replicas        map[string]int     // replicas of each model once pending commands and loads are done
	confirmed       map[string]int     // replicas of each model that usable targets hold now and are not to unload
	meanWork        float64            // per target, tokens per second
	storeLoadBudget int                // loads from the weight store that may start
}

// newDraft returns the placement of a service that results from the targets' reports
// and the pending commands.
func (planner *Planner) newDraft(service *directory.Service, targets []Target, now time.Time) *draft {
	draft := &draft{service: service, rates: map[string]float64{}, replicas: map[string]int{}, confirmed: map[string]int{}}
	total, recentLoads, runningLoads := 0.0, 0, 0
	for _, model := range service.Engine().Models {
		draft.rates[model.Name()] = planner.rate(model.Name(), now)
		total += draft.rates[model.Name()]
	}
	overLimit := planner.overLimit(targets, service.Name(), total)
	for index := range targets {
		target := &targets[index]
		for _, age := range target.StoreLoadAges {
			if age <= planner.loadWindow {
				recentLoads++
			}
		}
		// The state does not say where the load in progress reads from; it counts as a
		// load from the weight store if the target has reported a recent one.
		if target.Loading != "" && len(target.StoreLoadAges) > 0 {
			runningLoads++
		}
		pending, hasPending := planner.pendingFor(target, now)
		if hasPending && pending.fromStore {
			recentLoads++
			runningLoads++
		}
		if target.Service != service.Name() || target.Unusable || overLimit[index] {
			continue // models that only such targets hold are loaded elsewhere
		}
		draft.addTarget(target, pending, hasPending)
	}
	sort.Slice(draft.states, func(i, j int) bool { return draft.states[i].target.Key.ID < draft.states[j].target.Key.ID })
	draft.storeLoadBudget = planner.storeLoadBudget(service, recentLoads, runningLoads)
	draft.updateWork()
	if count := len(draft.states); count > 0 {
		draft.meanWork = total / float64(count)
	}
	return draft
}

// pendingFor returns the pending command of a target, and discards one that is
// done or timed out.
func (planner *Planner) pendingFor(target *Target, now time.Time) (pendingCommand, bool) {
	pending, ok := planner.pending[target.Key]
	if !ok {
		return pendingCommand{}, false
	}
	done := pending.command.Load == "" || holds(target, pending.command.Load)
	if done || now.Sub(pending.sentAt) > commandTimeout && target.Loading == "" && !target.Report.Busy {
		delete(planner.pending, target.Key)
		return pendingCommand{}, false
	}
	return pending, true
}

// storeLoadBudget returns how many loads from the weight store may start now, so
// that the store's rate limit is kept and the loads in progress run at full speed.
// Without a rate limit, it is the number of models.
func (planner *Planner) storeLoadBudget(service *directory.Service, recentLoads, runningLoads int) int {
	engine := service.Engine()
	if engine.LoadsPerSecond <= 0 {
		return len(engine.Models)
	}
	longest := 0.0
	for _, model := range engine.Models {
		longest = max(longest, model.StoreLoadTime().Seconds())
	}
	byRate := int(engine.LoadsPerSecond*planner.loadWindow.Seconds()) - recentLoads
	byConcurrency := max(int(engine.LoadsPerSecond*longest*storeLoadFraction), 1) - runningLoads
	return min(byRate, byConcurrency)
}

func holds(target *Target, model string) bool {
	for _, residentModel := range target.Report.Models {
		if residentModel.Model == model {
			return true
		}
	}
	return false
}

func (draft *draft) addTarget(target *Target, pending pendingCommand, hasPending bool) {
	state := &targetState{
		target: target, models: map[string]bool{}, confirmed: map[string]bool{}, free: draft.service.Engine().MemoryMegabytes,
		busy: hasPending || target.Report.Busy || target.Loading != "",
	}
	for _, residentModel := range target.Report.Models {
		state.models[residentModel.Model] = true
		state.confirmed[residentModel.Model] = true
	}
	if target.Loading != "" {
		state.models[target.Loading] = true
	}
	if hasPending {
		for _, model := range pending.command.Unload {
			delete(state.models, model)
			delete(state.confirmed, model)
		}
		if pending.command.Load != "" {
			state.models[pending.command.Load] = true
		}
	}
	for name := range state.models {
		draft.replicas[name]++
		if model := draft.service.Model(name); model != nil {
			state.free -= model.WeightsMegabytes()
		}
	}
	for name := range state.confirmed {
		draft.confirmed[name]++
	}
	state.free -= draft.adapterReserve()
	draft.states = append(draft.states, state)
}

// adapterReserve returns the megabytes kept free for adapters: every slot at the
// size of the largest adapter.
func (draft *draft) adapterReserve() float64 {
	largest := 0.0
	for _, model := range draft.service.Engine().Models {
		if model.Adapters() > 0 {
			largest = max(largest, model.AdapterMegabytes())
		}
	}
	return largest * float64(draft.service.Engine().AdapterSlots)
}

// updateWork computes every target's work.
func (draft *draft) updateWork() {
	for _, state := range draft.states {
		state.work = 0
		for name := range state.models {
			state.work += draft.rates[name] / float64(draft.replicas[name])
		}
	}
}

// move loads a model on a target after unloading victims from it.
type move struct {
	state     *targetState
	load      string
	victims   []string
	fromStore bool    // loads from the weight store
	gain      float64 // costReduction, less the cost of the load
}

func (move move) command(*draft) Command {
	return Command{Key: move.state.target.Key, Unload: move.victims, Load: move.load}
}

// bestMove returns the move with the largest positive gain.
func (draft *draft) bestMove() (move, bool) {
	var best move
	for _, model := range draft.service.Engine().Models {
		for _, state := range draft.states {
			if state.busy || state.models[model.Name()] {
				continue
			}
			candidate, ok := draft.evaluate(state, model)
			if ok && candidate.gain > best.gain {
				best = candidate
			}
		}
	}
	return best, best.gain > 0
}

// evaluate returns the move that loads a model on a target, with its gain; false
// when the model does not fit even after unloads, or when it would be loaded from
// the weight store and storeLoadBudget is used up.
func (draft *draft) evaluate(state *targetState, model *directory.Model) (move, bool) {
	candidate := move{state: state, load: model.Name(), fromStore: !hasLocalCopy(state.target, model.Name())}
	if candidate.fromStore && draft.storeLoadBudget <= 0 {
		return move{}, false
	}
	free := state.free
	if free < model.WeightsMegabytes() {
		victims, freed := draft.victims(state, model.WeightsMegabytes()-free)
		if free+freed < model.WeightsMegabytes() {
			return move{}, false
		}
		candidate.victims = victims
	}
	loadCost := loadCostPerS * loadTime(state.target, model).Seconds()
	candidate.gain = draft.costReduction(candidate) - loadCost*draft.meanWork*draft.meanWork
	return candidate, true
}

// loadTime returns how long a target takes to load a model from the nearest copy
// of its weights.
func loadTime(target *Target, model *directory.Model) time.Duration {
	switch {
	case slices.Contains(target.Report.HostModels, model.Name()):
		return model.HostLoadTime()
	case slices.Contains(target.Report.DiskModels, model.Name()):
		return model.DiskLoadTime()
	default:
		return model.StoreLoadTime()
	}
}

// hasLocalCopy reports whether a target has a model's weights in host memory or on
// disk.
func hasLocalCopy(target *Target, model string) bool {
	return slices.Contains(target.Report.HostModels, model) || slices.Contains(target.Report.DiskModels, model)
}

// victims returns the models of a target to unload for the given megabytes, those
// with the least work first, and the megabytes that they free, which may be less. It
// never returns a model whose only confirmed replica this is or whose work here
// exceeds maxVictimWork.
func (draft *draft) victims(state *targetState, megabytes float64) (victims []string, freed float64) {
	var names []string
	for name := range state.confirmed {
		if state.models[name] && draft.confirmed[name] > 1 && draft.workPerReplica(name) <= maxVictimWork*draft.meanWork {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		left, right := draft.workPerReplica(names[i]), draft.workPerReplica(names[j])
		if left != right {
			return left < right
		}
		return names[i] < names[j]
	})
	for _, name := range names {
		if freed >= megabytes || len(victims) == maxVictims {
			break
		}
		model := draft.service.Model(name)
		if model == nil {
			continue
		}
		victims = append(victims, name)
		freed += model.WeightsMegabytes()
	}
	return victims, freed
}

// workPerReplica returns a model's work on each of its targets.
func (draft *draft) workPerReplica(name string) float64 {
	return draft.rates[name] / float64(max(draft.replicas[name], 1))
}

// costReduction returns by how much a move lowers the cost of the placement, without
// the cost of the load.
func (draft *draft) costReduction(candidate move) float64 {
	before := draft.cost(candidate.load, candidate.victims)
	draft.setMove(candidate, true)
	after := draft.cost(candidate.load, candidate.victims)
	draft.setMove(candidate, false)
	return before - after
}

// cost returns the sum of the squares of all targets' work, plus a penalty for each
// of the given models without a replica.
func (draft *draft) cost(load string, victims []string) float64 {
	sum := 0.0
	for _, state := range draft.states {
		work := 0.0
		for name := range state.models {
			work += draft.rates[name] / float64(draft.replicas[name])
		}
		sum += work * work
	}
	for _, name := range append([]string{load}, victims...) {
		if draft.replicas[name] == 0 {
			sum += unservedPenalty * draft.rates[name] * max(draft.rates[name], draft.meanWork)
		}
	}
	return sum
}

// setMove applies a move to the placement, or reverts it.
func (draft *draft) setMove(candidate move, apply bool) {
	step := 1
	if !apply {
		step = -1
	}
	change := func(name string, held bool) {
		if held {
			candidate.state.models[name] = true
			draft.replicas[name]++
			return
		}
		delete(candidate.state.models, name)
		draft.replicas[name]--
	}
	change(candidate.load, step > 0)
	for _, name := range candidate.victims {
		change(name, step < 0)
	}
}

// commit applies a chosen move for the rest of this Plan call.
func (draft *draft) commit(chosen move) {
	draft.setMove(chosen, true)
	chosen.state.busy = true
	for _, name := range chosen.victims {
		draft.confirmed[name]--
		delete(chosen.state.confirmed, name)
	}
	if chosen.fromStore {
		draft.storeLoadBudget--
	}
	draft.updateWork()
}
