package placement

import (
	"cmp"
	"slices"

	"endiverill.example/kernel/plugin"
)

func init() {
	plugin.Register(plugin.Placement, "static", func() Policy { return Static{} })
	plugin.Register(plugin.Placement, "on-demand", func() Policy { return &OnDemand{} })
	plugin.Register(plugin.Placement, "adaptive", func() Policy { return Adaptive{} })
}

// NewPolicy returns a fresh policy of a registered name.
func NewPolicy(name string) (Policy, error) {
	build, err := plugin.Lookup[func() Policy](plugin.Placement, name)
	if err != nil {
		return nil, err
	}
	return build(), nil
}

// Static places every model once, where operators pin it or else where it fits,
// and moves nothing for demand.
type Static struct{}

// Decide places the models that have no replica.
func (static Static) Decide(input *Input) *Plan {
	draft := newDraft(input)
	placePinned(draft)
	placeMissing(draft, false)
	return draft.plan
}

func placePinned(draft *draft) {
	for _, target := range draft.input.Targets {
		for _, name := range target.Pinned {
			model := draft.models[name]
			if model != nil && target.Live && !draft.plan.Has(target.Name, name) && draft.room[target.Name] >= model.Footprint {
				draft.place(model, target.Name)
			}
		}
	}
}

// OnDemand loads a model when requests wait for it and evicts the one that was
// wanted longest ago.
type OnDemand struct {
	round  uint64
	wanted map[string]uint64 // round in which a model was wanted last
}

// Decide places wanted models that have no replica.
func (onDemand *OnDemand) Decide(input *Input) *Plan {
	if onDemand.wanted == nil {
		onDemand.wanted = map[string]uint64{}
	}
	onDemand.round++
	draft := newDraft(input)
	for _, model := range input.Models {
		if model.Wanted || model.Demand > 0 {
			onDemand.wanted[model.Name] = onDemand.round
		}
	}
	for _, model := range input.Models {
		if len(draft.replicas[model.Name]) == 0 && model.Wanted && draft.mayLoad() {
			onDemand.makeRoom(draft, model)
		}
	}
	return draft.plan
}

// makeRoom places a model on the target whose eviction hurts the oldest models.
func (onDemand *OnDemand) makeRoom(draft *draft, model *Model) {
	var best string
	oldest := ^uint64(0)
	for _, target := range draft.input.Targets {
		if !target.Live || target.Memory < model.Footprint {
			continue
		}
		newest := uint64(0)
		room := draft.room[target.Name]
		for _, name := range onDemand.byAge(draft.plan.Models(target.Name)) {
			if room >= model.Footprint {
				break
			}
			room += draft.models[name].Footprint
			newest = onDemand.wanted[name]
		}
		if room >= model.Footprint && newest < oldest {
			best, oldest = target.Name, newest
		}
	}
	if best == "" {
		return
	}
	for _, name := range onDemand.byAge(draft.plan.Models(best)) {
		if draft.room[best] >= model.Footprint {
			break
		}
		draft.evict(draft.models[name], best)
	}
	draft.place(model, best)
}

func (onDemand *OnDemand) byAge(names []string) []string {
	sorted := slices.Clone(names)
	slices.SortStableFunc(sorted, func(left, right string) int {
		return cmp.Compare(onDemand.wanted[left], onDemand.wanted[right])
	})
	return sorted
}

const (
	highWater = 0.7  // busy part of a target above which a model gets another replica
	lowWater  = 0.45 // busy part that a target must stay under to take a replica
	moveGain  = 0.15 // fall in the busiest replica's load that a move must bring
	maxRounds = 64   // replicas that one plan adds at most
)

// Adaptive keeps every model resident, gives busy models more replicas on idle
// targets, and evicts a replica only where its room is needed and its demand is
// least. It moves nothing that does not gain enough.
type Adaptive struct{}

// Decide places what is missing, then relieves the busiest models.
func (adaptive Adaptive) Decide(input *Input) *Plan {
	draft := newDraft(input)
	placePinned(draft)
	placeMissing(draft, true)
	for range maxRounds {
		if !draft.mayLoad() || !adaptive.relieve(draft) {
			break
		}
	}
	return draft.plan
}

// placeMissing gives every model without a live replica one, the most wanted
// first.
func placeMissing(draft *draft, evicting bool) {
	var missing []*Model
	for _, model := range draft.input.Models {
		if len(draft.replicas[model.Name]) == 0 {
			missing = append(missing, model)
		}
	}
	slices.SortStableFunc(missing, func(left, right *Model) int {
		if order := cmp.Compare(right.Demand, left.Demand); order != 0 {
			return order
		}
		return cmp.Compare(right.Footprint, left.Footprint)
	})
	for _, model := range missing {
		if !draft.mayLoad() {
			return
		}
		if target := roomiest(draft, model, evicting); target != "" {
			makeRoom(draft, model, target)
			draft.place(model, target)
		}
	}
}

// roomiest returns the least busy target that can take a model, preferring one
// where nothing must go.
func roomiest(draft *draft, model *Model, evicting bool) string {
	best, bestBusy, bestFits := "", 0.0, false
	for _, target := range draft.input.Targets {
		if !target.Live || draft.plan.Has(target.Name, model.Name) {
			continue
		}
		fits := draft.room[target.Name] >= model.Footprint
		if !fits && (!evicting || draft.room[target.Name]+reclaimable(draft, target.Name) < model.Footprint) {
			continue
		}
		busy := draft.busy(target.Name)
		if best == "" || fits && !bestFits || fits == bestFits && busy < bestBusy {
			best, bestBusy, bestFits = target.Name, busy, fits
		}
	}
	return best
}

// reclaimable returns the bytes of the replicas on a target that can go.
func reclaimable(draft *draft, target string) int64 {
	bytes := int64(0)
	for _, name := range draft.plan.Models(target) {
		if model := draft.models[name]; draft.surplus(model, target) {
			bytes += model.Footprint
		}
	}
	return bytes
}

// makeRoom evicts the surplus replicas with the least demand until a model fits.
func makeRoom(draft *draft, model *Model, target string) {
	for draft.room[target] < model.Footprint {
		var least *Model
		for _, name := range draft.plan.Models(target) {
			candidate := draft.models[name]
			if draft.surplus(candidate, target) && (least == nil || share(draft, candidate) < share(draft, least)) {
				least = candidate
			}
		}
		if least == nil {
			return
		}
		draft.evict(least, target)
	}
}

// share returns the demand that one replica of a model takes.
func share(draft *draft, model *Model) float64 {
	return model.Demand / float64(max(len(draft.replicas[model.Name]), 1))
}

// relieve adds a replica of the model that suffers most, if that gains enough.
func (adaptive Adaptive) relieve(draft *draft) bool {
	var busiest *Model
	worst := highWater
	for _, model := range draft.input.Models {
		if busy := adaptive.pressure(draft, model); busy > worst {
			if adaptive.site(draft, model) != "" {
				busiest, worst = model, busy
			}
		}
	}
	if busiest == nil {
		return false
	}
	target := adaptive.site(draft, busiest)
	makeRoom(draft, busiest, target)
	draft.place(busiest, target)
	return true
}

// pressure returns how busy the least busy replica of a model is: requests can
// go there.
func (adaptive Adaptive) pressure(draft *draft, model *Model) float64 {
	least := 0.0
	for index, target := range draft.replicas[model.Name] {
		if busy := draft.busy(target); index == 0 || busy < least {
			least = busy
		}
	}
	if model.Demand == 0 {
		return 0
	}
	return least
}

// site returns the target for another replica of a model: the least busy one
// with room, in another data centre when that is as good.
func (adaptive Adaptive) site(draft *draft, model *Model) string {
	best, bestBusy := "", lowWater
	pressure := adaptive.pressure(draft, model)
	for _, target := range draft.input.Targets {
		if !target.Live || draft.plan.Has(target.Name, model.Name) {
			continue
		}
		busy := draft.busy(target.Name)
		if adaptive.near(draft, model, target) {
			busy += moveGain / 4
		}
		if busy >= bestBusy || pressure-busy < moveGain {
			continue
		}
		if draft.room[target.Name] < model.Footprint && !adaptive.worthClearing(draft, model, target.Name) {
			continue
		}
		best, bestBusy = target.Name, busy
	}
	return best
}

func (adaptive Adaptive) near(draft *draft, model *Model, target *Target) bool {
	for _, name := range draft.replicas[model.Name] {
		if draft.targets[name].DataCentre == target.DataCentre {
			return true
		}
	}
	return false
}

// worthClearing says whether the replicas that must go for a model have less
// demand than it brings.
func (adaptive Adaptive) worthClearing(draft *draft, model *Model, target string) bool {
	room := draft.room[target]
	lost := 0.0
	for _, name := range draft.plan.Models(target) {
		candidate := draft.models[name]
		if draft.surplus(candidate, target) {
			room += candidate.Footprint
			lost += share(draft, candidate)
		}
	}
	return room >= model.Footprint && lost < share(draft, model)/2
}
