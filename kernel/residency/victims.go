package residency

import (
	"cmp"
	"slices"
)

// updateVictims sets the models that a target may unload. The last confirmed replica of a model may
// go only if not all models fit, and if no other target is to hold the model; the cost of the move then
// includes the penalty.
func (draft *draft) updateVictims(state *targetState) {
	state.victims = state.victims[:0]
	if state.busy || !draft.mayReplace {
		return
	}
	for _, number := range state.confirmed {
		modelState := &draft.models[number]
		mayGo := modelState.confirmed > 1 || draft.crowded && len(modelState.holders) == 1
		if mayGo {
			state.victims = append(state.victims, number)
		}
	}
	slices.SortFunc(state.victims, func(left, right int) int {
		return cmp.Or(cmp.Compare(draft.unloadCost(left), draft.unloadCost(right)),
			cmp.Compare(draft.models[left].model.Name(), draft.models[right].model.Name()))
	})
}

// unloadCost returns about what it costs that one target unloads a model.
func (draft *draft) unloadCost(number int) float64 {
	holders := float64(len(draft.models[number].holders))
	if holders == 1 {
		return draft.penalty(number)
	}
	work := draft.workPerReplica(number)
	return work * work * holders / (holders - 1)
}

// mayReplaceBy reports whether a target may unload a model for another one. A replica with much work
// stays, because an unload waits for its requests, unless the other model is overdue for long. The last
// replica of a model that is asked for stays for a while, for the requests that waited for it, and
// then goes only for a model that is asked for more or is overdue.
func (draft *draft) mayReplaceBy(victim, load int) bool {
	replaced, overdue := &draft.models[victim], draft.isOverdue(load)
	anyWork := overdue && draft.models[load].absent >= 2
	if !anyWork && draft.workPerReplica(victim) > maxVictimWork*draft.meanWork {
		return false
	}
	if len(replaced.holders) > 1 || replaced.asked() == 0 {
		return true
	}
	return !replaced.justLoaded && (overdue || replaced.asked() < draft.models[load].observed)
}

// chooseVictims returns the models that a target unloads to have memory for a model, false if it may
// not unload enough: the ones that cost the least, without one that the later ones make needless.
func (draft *draft) chooseVictims(state *targetState, load int) ([]int, bool) {
	megabytes, free := draft.models[load].model.WeightsMegabytes(), state.free
	var victims []int
	for _, victim := range state.victims {
		if free >= megabytes || len(victims) == maxVictims {
			break
		}
		if !draft.mayReplaceBy(victim, load) {
			continue
		}
		free += draft.models[victim].model.WeightsMegabytes()
		victims = append(victims, victim)
	}
	if free < megabytes {
		return nil, false
	}
	for index, victim := range victims {
		if free-draft.models[victim].model.WeightsMegabytes() >= megabytes {
			return slices.Delete(victims, index, index+1), true
		}
	}
	return victims, true
}
