package residency

import (
	"cmp"
	"slices"
	"time"

	"endiverill.example/kernel/directory"
)

// draft is the planned placement of one service while moves are being chosen. Models are
// numbered as in the service's configuration. What a move changes is computed from the targets
// that hold its models, so that a choice among all moves takes little more than one step for each
// pair of a model and a target.
type draft struct {
	service         *directory.Service
	states          []*targetState
	models          []modelState
	numbers         map[string]int // of the models, by name
	meanWork        float64        // per target, tokens per second
	highestWork     float64        // of a target
	storeLoadBudget int            // loads from the weight store that may start
	crowded         bool           // the targets have no memory for all models at once
	mayReplace      bool           // the demand is known for long enough
	busy            int            // targets that are busy
	totalWork       float64        // tokens per second
	overdueLoads    int            // loads of overdue models that are under way
	best            []move         // best move that loads each model, as last evaluated; gain 0 or less for none
	unevaluated     bool           // best is not set yet
}

// modelState is the planned state of a model.
type modelState struct {
	model      *directory.Model
	observed   float64        // demand, tokens per second
	recent     float64        // the same over a longer time
	rate       float64        // forecast demand, plus the floor unless crowded
	holders    []*targetState // targets that hold it once pending commands and loads are done
	confirmed  int            // usable targets that hold it now and are not to unload it
	sumWork    float64        // of the holders
	absent     float64        // as returned by Planner.recordPresence
	justLoaded bool           // for requests that asked for it in vain
}

// overdue reports whether requests have asked for the model in vain for too long.
func (modelState *modelState) overdue() bool { return modelState.absent >= 1 }

// share returns a model's work on each of a number of holders.
func (modelState *modelState) share(holders int) float64 {
	return modelState.rate / float64(max(holders, 1))
}

// asked returns the demand for the model, now or over a longer time, whichever is higher: a rarely
// asked model has none between two requests.
func (modelState *modelState) asked() float64 { return max(modelState.observed, modelState.recent) }

// targetState is the planned state of a target.
type targetState struct {
	target    *Target
	held      []int        // models that it holds once pending commands and loads are done
	confirmed []int        // models that it holds now and is not to unload
	victims   []int        // confirmed models that may be unloaded, those that cost the least first
	copies    map[int]bool // models of which it has a copy on disk (false) or in host memory (true)
	free      float64      // megabytes
	work      float64      // tokens per second
	busy      bool         // has an order in progress or a pending command
}

// newDraft returns the placement of a service that results from the targets' reports
// and the pending commands.
func (planner *Planner) newDraft(service *directory.Service, targets []Target, now time.Time) *draft {
	draft := &draft{service: service, numbers: map[string]int{}, unevaluated: true}
	recentLoads, runningLoads := 0, 0
	for number, model := range service.Engine().Models {
		draft.models = append(draft.models, modelState{model: model})
		draft.numbers[model.Name()] = number
	}
	usable := 0
	for index := range targets {
		if targets[index].Service == service.Name() && !targets[index].Unusable {
			usable++
		}
	}
	draft.crowded = draft.isCrowded(usable)
	draft.mayReplace = !draft.crowded || planner.knowsDemand(now)
	total := planner.setRates(draft, now)
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
	slices.SortFunc(draft.states, func(left, right *targetState) int { return cmp.Compare(left.target.Key.ID, right.target.Key.ID) })
	draft.storeLoadBudget = planner.storeLoadBudget(service, recentLoads, runningLoads)
	draft.totalWork = total
	planner.setPresence(draft, now)
	if count := len(draft.states); count > 0 {
		draft.meanWork = total / float64(count)
	}
	draft.updateWork()
	return draft
}

// setRates sets the demand and the rate of each model, and returns the sum of the rates.
func (planner *Planner) setRates(draft *draft, now time.Time) float64 {
	total := 0.0
	for number := range draft.models {
		modelState := &draft.models[number]
		name := modelState.model.Name()
		modelState.observed, modelState.recent = planner.observed(name, now)
		modelState.rate = planner.forecast(name, modelState.model.StoreLoadTime(), now)
		if !draft.crowded {
			modelState.rate += floorTokensPerS
		}
		total += modelState.rate
	}
	return total
}

// isCrowded reports whether a number of targets cannot hold all models at once, by filling one target
// after the other with the largest models that fit.
func (draft *draft) isCrowded(targets int) bool {
	capacity := draft.service.Engine().MemoryMegabytes - draft.adapterReserve()
	weights := make([]float64, 0, len(draft.models))
	for _, modelState := range draft.models {
		weights = append(weights, modelState.model.WeightsMegabytes())
	}
	slices.SortFunc(weights, func(left, right float64) int { return cmp.Compare(right, left) })
	var free []float64 // of the targets in use
	for _, weight := range weights {
		fits := slices.IndexFunc(free, func(left float64) bool { return left >= weight })
		if fits < 0 {
			if len(free) == targets || weight > capacity {
				return true
			}
			free, fits = append(free, capacity), len(free)
		}
		free[fits] -= weight
	}
	return false
}

func (draft *draft) addTarget(target *Target, pending pendingCommand, hasPending bool) {
	state := &targetState{
		target: target, free: draft.service.Engine().MemoryMegabytes - draft.adapterReserve(),
		busy: hasPending || target.Report.Busy || target.Loading != "", copies: map[int]bool{},
	}
	for _, name := range target.Report.DiskModels {
		if number, declared := draft.numbers[name]; declared {
			state.copies[number] = false
		}
	}
	for _, name := range target.Report.HostModels {
		if number, declared := draft.numbers[name]; declared {
			state.copies[number] = true
		}
	}
	add := func(name string, confirmed bool) {
		number, declared := draft.numbers[name]
		if !declared || slices.Contains(state.held, number) {
			return
		}
		state.held = append(state.held, number)
		state.free -= draft.models[number].model.WeightsMegabytes()
		draft.models[number].holders = append(draft.models[number].holders, state)
		if confirmed {
			state.confirmed = append(state.confirmed, number)
			draft.models[number].confirmed++
		}
	}
	for _, residentModel := range target.Report.Models {
		if !hasPending || !slices.Contains(pending.command.Unload, residentModel.Model) {
			add(residentModel.Model, true)
		}
	}
	add(target.Loading, false)
	if hasPending {
		add(pending.command.Load, false)
	}
	if state.busy {
		draft.busy++
	}
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

// updateWork computes the work of every target, and what follows from it.
func (draft *draft) updateWork() {
	draft.highestWork = 0
	for _, state := range draft.states {
		state.work = 0
		for _, number := range state.held {
			state.work += draft.workPerReplica(number)
		}
		draft.highestWork = max(draft.highestWork, state.work)
		draft.updateVictims(state)
	}
	for number := range draft.models {
		modelState := &draft.models[number]
		modelState.sumWork = 0
		for _, holder := range modelState.holders {
			modelState.sumWork += holder.work
		}
	}
}

// workPerReplica returns a model's work on each of its targets.
func (draft *draft) workPerReplica(number int) float64 {
	modelState := &draft.models[number]
	return modelState.share(len(modelState.holders))
}

// move loads a model on a target after unloading victims from it.
type move struct {
	state     *targetState
	load      int
	victims   []int
	fromStore bool    // loads from the weight store
	gain      float64 // costReduction, less the cost of the load
}

// command returns the command that carries out a move.
func (draft *draft) command(move move) Command {
	command := Command{Key: move.state.target.Key, Load: draft.models[move.load].model.Name()}
	for _, victim := range move.victims {
		command.Unload = append(command.Unload, draft.models[victim].model.Name())
	}
	return command
}

// bestMove returns a move with a positive gain: the largest of all at first, and later the
// largest of the moves that were the best for their model before. A model is evaluated again
// before its move is returned.
func (draft *draft) bestMove() (move, bool) {
	if draft.unevaluated {
		draft.best, draft.unevaluated = make([]move, len(draft.models)), false
		for number := range draft.models {
			draft.best[number] = draft.bestMoveOf(number)
		}
	}
	fresh := make([]bool, len(draft.models))
	for {
		best := -1
		for number := range draft.best {
			if draft.best[number].gain > 0 && (best < 0 || draft.best[number].gain > draft.best[best].gain) {
				best = number
			}
		}
		if best < 0 {
			return move{}, false
		}
		if fresh[best] {
			return draft.best[best], true
		}
		draft.best[best], fresh[best] = draft.bestMoveOf(best), true
	}
}

// bestMoveOf returns the move with the largest positive gain that loads a model, or one with
// gain 0 if there is none.
func (draft *draft) bestMoveOf(number int) move {
	var best move
	if !draft.mayReplace && len(draft.models[number].holders) > 0 || draft.gainBound(number) <= 0 {
		return best // until the demand is known, only models that no target holds are loaded
	}
	for _, state := range draft.states {
		if state.busy || slices.Contains(state.held, number) {
			continue
		}
		if candidate, ok := draft.evaluate(state, number); ok && candidate.gain > best.gain {
			best = candidate
		}
	}
	return best
}

// gainBound returns a bound on the gain of any move that loads a model: what its holders and the
// penalty gain, and at most all work of maxVictims idle models at the target with the most work.
func (draft *draft) gainBound(number int) float64 {
	modelState := &draft.models[number]
	shortest := min(modelState.model.HostLoadTime(), modelState.model.DiskLoadTime(), modelState.model.StoreLoadTime())
	unloaded := 2 * draft.highestWork * maxVictims * maxVictimWork * draft.meanWork
	return draft.relief(number) + unloaded - draft.loadCost(shortest)
}

// loadCost returns the cost of a load. Where not all models fit, targets stand idle while others are
// overloaded, so a load costs less; but a target loads one model at a time, so the more targets load,
// the more a load must gain: those that are left may be needed for models whose demand rises.
func (draft *draft) loadCost(loadTime time.Duration) float64 {
	perS := loadCostPerS
	if draft.crowded {
		left := 1 - float64(draft.busy)/float64(max(len(draft.states), 1))
		perS = crowdedLoadCostPerS / max(left, minTargetsLeft)
	}
	return perS * loadTime.Seconds() * draft.meanWork * draft.meanWork
}

// relief returns by how much one more replica of a model lowers the cost of its holders and the
// penalty, without the work of the new replica.
func (draft *draft) relief(number int) float64 {
	modelState := &draft.models[number]
	holders := len(modelState.holders)
	if holders == 0 {
		return draft.penalty(number)
	}
	change := modelState.share(holders+1) - modelState.share(holders)
	return -(2*change*modelState.sumWork + float64(holders)*change*change)
}

// penalty returns the cost of holding a model nowhere. If not all models fit, one without demand
// costs nothing.
func (draft *draft) penalty(number int) float64 {
	modelState := &draft.models[number]
	if draft.isOverdue(number) { // the one that has been absent the longest first
		return overduePenalty * draft.totalWork * draft.totalWork * modelState.absent
	}
	if draft.crowded {
		return displacedPenalty * modelState.asked() * max(modelState.asked(), draft.meanWork)
	}
	return unservedPenalty * modelState.rate * max(modelState.rate, draft.meanWork)
}

// evaluate returns the move that loads a model on a target, with its gain; false
// when the model does not fit even after unloads, or when it would be loaded from
// the weight store and storeLoadBudget is used up.
func (draft *draft) evaluate(state *targetState, number int) (move, bool) {
	model := draft.models[number].model
	inMemory, copied := state.copies[number]
	candidate := move{state: state, load: number, fromStore: !copied}
	if candidate.fromStore && draft.storeLoadBudget <= 0 {
		return move{}, false
	}
	victims, ok := draft.chooseVictims(state, number)
	if !ok {
		return move{}, false
	}
	candidate.victims = victims
	loadTime := model.StoreLoadTime()
	if copied {
		loadTime = model.DiskLoadTime()
	}
	if inMemory {
		loadTime = model.HostLoadTime()
	}
	candidate.gain = draft.costReduction(candidate) - draft.loadCost(loadTime)
	return candidate, true
}

// costReduction returns by how much a move lowers the cost of the placement, without the cost of
// the load. The cost is the sum of the squares of all targets' work, plus a penalty for each
// model without a replica.
func (draft *draft) costReduction(candidate move) float64 {
	state, loaded := candidate.state, &draft.models[candidate.load]
	loadChange := loaded.share(len(loaded.holders)+1) - loaded.share(len(loaded.holders))
	reduction := draft.relief(candidate.load)
	work := state.work + loaded.share(len(loaded.holders)+1)
	for index, victim := range candidate.victims {
		unloaded := &draft.models[victim]
		holders := len(unloaded.holders)
		work -= unloaded.share(holders)
		if holders == 1 {
			reduction -= draft.penalty(victim)
			continue
		}
		change := unloaded.share(holders-1) - unloaded.share(holders)
		reduction -= 2*change*(unloaded.sumWork-state.work) + float64(holders-1)*change*change
		// A target that holds two of the models changes by the sum of both changes.
		if len(loaded.holders) > 0 {
			reduction -= 2 * change * loadChange * float64(countOthers(unloaded.holders, candidate.load, state))
		}
		for _, earlier := range candidate.victims[:index] {
			other := &draft.models[earlier]
			if len(other.holders) > 1 {
				otherChange := other.share(len(other.holders)-1) - other.share(len(other.holders))
				reduction -= 2 * change * otherChange * float64(countOthers(unloaded.holders, earlier, state))
			}
		}
	}
	return reduction + state.work*state.work - work*work
}

// countOthers returns how many of the targets other than one hold a model.
func countOthers(states []*targetState, number int, except *targetState) int {
	count := 0
	for _, state := range states {
		if state != except && slices.Contains(state.held, number) {
			count++
		}
	}
	return count
}

// commit applies a chosen move for the rest of this Plan call.
func (draft *draft) commit(chosen move) {
	state := chosen.state
	state.busy = true
	draft.busy++
	for _, victim := range chosen.victims {
		modelState := &draft.models[victim]
		modelState.confirmed--
		modelState.holders = slices.DeleteFunc(modelState.holders, func(holder *targetState) bool { return holder == state })
		state.confirmed = slices.DeleteFunc(state.confirmed, func(number int) bool { return number == victim })
		state.held = slices.DeleteFunc(state.held, func(number int) bool { return number == victim })
	}
	if draft.models[chosen.load].overdue() && len(draft.models[chosen.load].holders) == 0 {
		draft.overdueLoads++
	}
	state.held = append(state.held, chosen.load)
	draft.models[chosen.load].holders = append(draft.models[chosen.load].holders, state)
	if chosen.fromStore {
		draft.storeLoadBudget--
	}
	draft.updateWork()
}
