package placement

import "math"

// draft is a plan in the making, with the load and room of each target.
type draft struct {
	input    *Input
	plan     *Plan
	targets  map[string]*Target
	models   map[string]*Model
	room     map[string]int64
	load     map[string]float64 // places taken
	replicas map[string][]string
	loading  int // loads under way or added
	started  int // loads added
}

func newDraft(input *Input) *draft {
	draft := &draft{
		input: input, plan: input.Current.clone(input.Fence),
		targets: map[string]*Target{}, models: map[string]*Model{},
		room: map[string]int64{}, load: map[string]float64{}, replicas: map[string][]string{},
	}
	for _, model := range input.Models {
		draft.models[model.Name] = model
	}
	for _, target := range input.Targets {
		draft.targets[target.Name] = target
		draft.room[target.Name] = target.Memory
		draft.dropUndeclared(target.Name)
	}
	for name := range draft.plan.targets {
		if draft.targets[name] == nil {
			delete(draft.plan.targets, name)
		}
	}
	for _, target := range input.Targets {
		draft.count(target)
	}
	for _, model := range input.Models {
		draft.spread(model, 1)
	}
	return draft
}

func (draft *draft) dropUndeclared(target string) {
	for _, name := range append([]string(nil), draft.plan.Models(target)...) {
		if draft.models[name] == nil {
			draft.plan.remove(target, name)
		}
	}
}

func (draft *draft) count(target *Target) {
	for _, name := range draft.plan.Models(target.Name) {
		draft.room[target.Name] -= draft.models[name].Footprint
		if !target.Live {
			continue
		}
		draft.replicas[name] = append(draft.replicas[name], target.Name)
		if !target.ready(name) {
			draft.loading++
		}
	}
}

// spread adds a model's demand, times sign, to its replicas in equal parts.
func (draft *draft) spread(model *Model, sign float64) {
	replicas := draft.replicas[model.Name]
	for _, target := range replicas {
		draft.load[target] += sign * model.Demand / float64(len(replicas))
	}
}

// busy returns the part of a target's capacity that its demand takes.
func (draft *draft) busy(target string) float64 {
	capacity := draft.targets[target].Capacity
	if capacity <= 0 {
		return math.Inf(1)
	}
	return draft.load[target] / capacity
}

// mayLoad says whether the weight store can take one more load now.
func (draft *draft) mayLoad() bool {
	return draft.loading < draft.input.Loads && draft.started < draft.input.Starts
}

func (draft *draft) place(model *Model, target string) {
	draft.spread(model, -1)
	draft.plan.add(target, model.Name)
	draft.replicas[model.Name] = append(draft.replicas[model.Name], target)
	draft.room[target] -= model.Footprint
	draft.spread(model, 1)
	if draft.targets[target].ready(model.Name) {
		return
	}
	draft.loading++
	draft.started++
}

func (draft *draft) evict(model *Model, target string) {
	draft.spread(model, -1)
	draft.plan.remove(target, model.Name)
	kept := draft.replicas[model.Name][:0:0]
	for _, name := range draft.replicas[model.Name] {
		if name != target {
			kept = append(kept, name)
		}
	}
	draft.replicas[model.Name] = kept
	draft.room[target] += model.Footprint
	draft.spread(model, 1)
}

// surplus says whether a replica can go: another one of the model is certain.
func (draft *draft) surplus(model *Model, target string) bool {
	for _, name := range draft.replicas[model.Name] {
		other := draft.targets[name]
		if name != target && other.ready(model.Name) && other.Applied == draft.input.Current.version && draft.input.Current.Has(name, model.Name) {
			return true
		}
	}
	return false
}
