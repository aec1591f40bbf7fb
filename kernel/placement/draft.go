package placement

import "math"

// draft is a plan under construction, with the demand on each target and its free
// memory.
type draft struct {
	input       *Input
	plan        *Plan
	targets     map[string]*Target
	models      map[string]*Model
	freeBytes   map[string]int64    // by target
	demand      map[string]float64  // request slots taken, by target
	replicas    map[string][]string // live targets by model
	activeLoads int                 // loads in progress or added by the draft
	addedLoads  int                 // loads added by the draft
}

// newDraft returns a draft of the current plan without undeclared targets and models.
func newDraft(input *Input) *draft {
	draft := &draft{
		input: input, plan: input.Current.clone(input.Fence),
		targets: map[string]*Target{}, models: map[string]*Model{},
		freeBytes: map[string]int64{}, demand: map[string]float64{}, replicas: map[string][]string{},
	}
	for _, model := range input.Models {
		draft.models[model.Name] = model
	}
	for _, target := range input.Targets {
		draft.targets[target.Name] = target
		draft.freeBytes[target.Name] = target.Memory
		draft.removeUndeclared(target.Name)
	}
	for name := range draft.plan.targets {
		if draft.targets[name] == nil {
			delete(draft.plan.targets, name)
		}
	}
	for _, target := range input.Targets {
		draft.countReplicas(target)
	}
	for _, model := range input.Models {
		draft.addDemand(model, 1)
	}
	return draft
}

// removeUndeclared removes models that are no longer declared from a target.
func (draft *draft) removeUndeclared(target string) {
	for _, name := range append([]string(nil), draft.plan.Models(target)...) {
		if draft.models[name] == nil {
			draft.plan.remove(target, name)
		}
	}
}

// countReplicas accounts for the replicas that the plan assigns to a target.
func (draft *draft) countReplicas(target *Target) {
	for _, name := range draft.plan.Models(target.Name) {
		draft.freeBytes[target.Name] -= draft.models[name].Footprint
		if !target.Live {
			continue
		}
		draft.replicas[name] = append(draft.replicas[name], target.Name)
		if !target.ready(name) {
			draft.activeLoads++
		}
	}
}

// addDemand adds a model's demand to its targets in equal parts, or subtracts it if
// sign is -1.
func (draft *draft) addDemand(model *Model, sign float64) {
	replicas := draft.replicas[model.Name]
	for _, target := range replicas {
		draft.demand[target] += sign * model.Demand / float64(len(replicas))
	}
}

// utilization returns the demand on a target as a fraction of its capacity, infinite
// for a target without capacity.
func (draft *draft) utilization(target string) float64 {
	capacity := draft.targets[target].Capacity
	if capacity <= 0 {
		return math.Inf(1)
	}
	return draft.demand[target] / capacity
}

// canLoad reports whether Input.MaxLoads and Input.MaxStarts allow one more load.
func (draft *draft) canLoad() bool {
	return draft.activeLoads < draft.input.MaxLoads && draft.addedLoads < draft.input.MaxStarts
}

// addReplica places a model on a target.
func (draft *draft) addReplica(model *Model, target string) {
	draft.addDemand(model, -1)
	draft.plan.add(target, model.Name)
	draft.replicas[model.Name] = append(draft.replicas[model.Name], target)
	draft.freeBytes[target] -= model.Footprint
	draft.addDemand(model, 1)
	if draft.targets[target].ready(model.Name) {
		return
	}
	draft.activeLoads++
	draft.addedLoads++
}

// evict removes a model from a target.
func (draft *draft) evict(model *Model, target string) {
	draft.addDemand(model, -1)
	draft.plan.remove(target, model.Name)
	kept := draft.replicas[model.Name][:0:0]
	for _, name := range draft.replicas[model.Name] {
		if name != target {
			kept = append(kept, name)
		}
	}
	draft.replicas[model.Name] = kept
	draft.freeBytes[target] += model.Footprint
	draft.addDemand(model, 1)
}

// redundant reports whether a model's replica on a target can be removed, because
// another target keeps a replica in the draft, is ready to serve the model, has applied
// the current plan, and is assigned the model by it.
func (draft *draft) redundant(model *Model, target string) bool {
	for _, name := range draft.replicas[model.Name] {
		other := draft.targets[name]
		if name != target && other.ready(model.Name) && other.AppliedVersion == draft.input.Current.version && draft.input.Current.Has(name, model.Name) {
			return true
		}
	}
	return false
}
