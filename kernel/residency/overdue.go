package residency

import "time"

// setPresence sets for how long each model has been absent or present.
func (planner *Planner) setPresence(draft *draft, now time.Time) {
	for number := range draft.models {
		modelState := &draft.models[number]
		modelState.absent, modelState.justLoaded = planner.recordPresence(modelState.model.Name(), modelState.confirmed > 0, now)
		if modelState.overdue() && len(modelState.holders) > 0 {
			draft.overdueLoads++
		}
	}
}

// mayLoadOverdue reports whether another load of an overdue model may begin, so that these do not
// take all targets from the models that are asked for most.
func (draft *draft) mayLoadOverdue() bool {
	return draft.overdueLoads < max(int(maxOverdueLoads*float64(len(draft.states))), 1)
}

// isOverdue reports whether a model is to be loaded whatever that costs.
func (draft *draft) isOverdue(number int) bool {
	modelState := &draft.models[number]
	return modelState.overdue() && len(modelState.holders) == 0 && draft.mayLoadOverdue()
}
