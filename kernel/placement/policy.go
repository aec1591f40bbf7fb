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

// NewPolicy returns a new policy by its registered name, and an error for an unknown
// name.
func NewPolicy(name string) (Policy, error) {
	build, err := plugin.Lookup[func() Policy](plugin.Placement, name)
	if err != nil {
		return nil, err
	}
	return build(), nil
}

// Static places each model on the targets that it is pinned to, or else on one target
// where it fits, and does not react to demand.
type Static struct{}

// Decide adds missing pinned replicas and a replica of each model that has none.
func (static Static) Decide(input *Input) *Plan {
	draft := newDraft(input)
	placePinned(draft)
	placeMissing(draft, false)
	return draft.plan
}

// placePinned places pinned models on live targets with enough memory.
func placePinned(draft *draft) {
	for _, target := range draft.input.Targets {
		for _, name := range target.Pinned {
			model := draft.models[name]
			if model != nil && target.Live && !draft.plan.Has(target.Name, name) && draft.freeBytes[target.Name] >= model.Footprint {
				draft.addReplica(model, target.Name)
			}
		}
	}
}

// OnDemand loads a model when requests wait for it and evicts the models that were
// least recently in demand.
type OnDemand struct {
	round           uint64            // number of plans computed
	lastDemandRound map[string]uint64 // last round in which a model was in demand, by model
}

// Decide places the models that have no replica and that requests wait for.
func (onDemand *OnDemand) Decide(input *Input) *Plan {
	if onDemand.lastDemandRound == nil {
		onDemand.lastDemandRound = map[string]uint64{}
	}
	onDemand.round++
	draft := newDraft(input)
	for _, model := range input.Models {
		if model.Requested || model.Demand > 0 {
			onDemand.lastDemandRound[model.Name] = onDemand.round
		}
	}
	for _, model := range input.Models {
		if len(draft.replicas[model.Name]) == 0 && model.Requested && draft.canLoad() {
			onDemand.placeWithEviction(draft, model)
		}
	}
	return draft.plan
}

// placeWithEviction places a model on a target and evicts other models there until it
// fits, those first that were least recently in demand. Of the targets where it fits, it
// chooses the one where the last model to evict has been without demand the longest. A
// target where nothing has to be evicted ranks like one where the last model to evict was
// never in demand.
func (onDemand *OnDemand) placeWithEviction(draft *draft, model *Model) {
	var best string
	bestRound := ^uint64(0)
	for _, target := range draft.input.Targets {
		if !target.Live || target.Memory < model.Footprint {
			continue
		}
		lastEvictedRound := uint64(0)
		freeBytes := draft.freeBytes[target.Name]
		for _, name := range onDemand.byLastDemand(draft.plan.Models(target.Name)) {
			if freeBytes >= model.Footprint {
				break
			}
			freeBytes += draft.models[name].Footprint
			lastEvictedRound = onDemand.lastDemandRound[name]
		}
		if freeBytes >= model.Footprint && lastEvictedRound < bestRound {
			best, bestRound = target.Name, lastEvictedRound
		}
	}
	if best == "" {
		return
	}
	for _, name := range onDemand.byLastDemand(draft.plan.Models(best)) {
		if draft.freeBytes[best] >= model.Footprint {
			break
		}
		draft.evict(draft.models[name], best)
	}
	draft.addReplica(model, best)
}

// byLastDemand returns models sorted by the round in which they were last in demand, the
// earliest first.
func (onDemand *OnDemand) byLastDemand(names []string) []string {
	sorted := slices.Clone(names)
	slices.SortStableFunc(sorted, func(left, right string) int {
		return cmp.Compare(onDemand.lastDemandRound[left], onDemand.lastDemandRound[right])
	})
	return sorted
}

const (
	// A model gets another replica only if the utilization of all targets with a replica
	// is higher.
	highUtilization = 0.7
	// Only a target with a lower utilization takes another replica.
	lowUtilization = 0.45
	// The utilization of the target for another replica must be lower by at least this
	// much than that of each target with a replica.
	minUtilizationGain = 0.15
	// Added to the utilization of targets in a data centre that has a replica already, so
	// that other data centres are preferred.
	sameDataCentrePenalty = minUtilizationGain / 4
	// Limit on the replicas that one plan adds for demand.
	maxAddedReplicas = 64
)

// Adaptive keeps every model resident and adds replicas of busy models on less busy
// targets. It evicts only redundant replicas, and only where their memory is needed,
// those with the least demand first. It adds a replica only where the target is less
// busy than the targets with a replica by minUtilizationGain.
type Adaptive struct{}

// Decide places pinned and missing models, then adds replicas of the busiest models.
func (adaptive Adaptive) Decide(input *Input) *Plan {
	draft := newDraft(input)
	placePinned(draft)
	placeMissing(draft, true)
	for range maxAddedReplicas {
		if !draft.canLoad() || !adaptive.addBusiest(draft) {
			break
		}
	}
	return draft.plan
}

// placeMissing places the models without a live replica, as far as the limits on loads
// allow. Models with more demand come first, and larger ones before smaller ones with
// the same demand. With mayEvict, it evicts redundant replicas where a model does not
// fit otherwise.
func placeMissing(draft *draft, mayEvict bool) {
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
		if !draft.canLoad() {
			return
		}
		if target := leastBusyTarget(draft, model, mayEvict); target != "" {
			evictRedundant(draft, model, target)
			draft.addReplica(model, target)
		}
	}
}

// leastBusyTarget returns the least busy target that can take a model, empty for none.
// A target where the model fits without eviction is preferred to any other.
func leastBusyTarget(draft *draft, model *Model, mayEvict bool) string {
	best, bestUtilization, bestFits := "", 0.0, false
	for _, target := range draft.input.Targets {
		if !target.Live || draft.plan.Has(target.Name, model.Name) {
			continue
		}
		fits := draft.freeBytes[target.Name] >= model.Footprint
		if !fits && (!mayEvict || draft.freeBytes[target.Name]+reclaimableBytes(draft, target.Name) < model.Footprint) {
			continue
		}
		utilization := draft.utilization(target.Name)
		if best == "" || fits && !bestFits || fits == bestFits && utilization < bestUtilization {
			best, bestUtilization, bestFits = target.Name, utilization, fits
		}
	}
	return best
}

// reclaimableBytes returns the size of the redundant replicas on a target.
func reclaimableBytes(draft *draft, target string) int64 {
	bytes := int64(0)
	for _, name := range draft.plan.Models(target) {
		if model := draft.models[name]; draft.redundant(model, target) {
			bytes += model.Footprint
		}
	}
	return bytes
}

// evictRedundant evicts redundant replicas from a target, those with the least demand
// first, until a model fits or none is left.
func evictRedundant(draft *draft, model *Model, target string) {
	for draft.freeBytes[target] < model.Footprint {
		var least *Model
		for _, name := range draft.plan.Models(target) {
			candidate := draft.models[name]
			if draft.redundant(candidate, target) && (least == nil || demandPerReplica(draft, candidate) < demandPerReplica(draft, least)) {
				least = candidate
			}
		}
		if least == nil {
			return
		}
		draft.evict(least, target)
	}
}

// demandPerReplica returns the demand for a model on each of its replicas.
func demandPerReplica(draft *draft, model *Model) float64 {
	return model.Demand / float64(max(len(draft.replicas[model.Name]), 1))
}

// addBusiest adds a replica of the model with the highest minUtilization above
// highUtilization for which replicaTarget finds a target. It reports whether there was
// such a model.
func (adaptive Adaptive) addBusiest(draft *draft) bool {
	var busiest *Model
	highest := highUtilization
	for _, model := range draft.input.Models {
		if utilization := adaptive.minUtilization(draft, model); utilization > highest {
			if adaptive.replicaTarget(draft, model) != "" {
				busiest, highest = model, utilization
			}
		}
	}
	if busiest == nil {
		return false
	}
	target := adaptive.replicaTarget(draft, busiest)
	evictRedundant(draft, busiest, target)
	draft.addReplica(busiest, target)
	return true
}

// minUtilization returns the utilization of the least busy target with a replica of a
// model, and 0 for a model without demand or without replicas.
func (adaptive Adaptive) minUtilization(draft *draft, model *Model) float64 {
	least := 0.0
	for index, target := range draft.replicas[model.Name] {
		if utilization := draft.utilization(target); index == 0 || utilization < least {
			least = utilization
		}
	}
	if model.Demand == 0 {
		return 0
	}
	return least
}

// replicaTarget returns the target for another replica of a model, empty for none. It
// is the one with the lowest utilization, including sameDataCentrePenalty, among those
// that lowUtilization and minUtilizationGain admit and that have enough memory, either
// free or worth evicting redundant replicas for.
func (adaptive Adaptive) replicaTarget(draft *draft, model *Model) string {
	best, bestUtilization := "", lowUtilization
	minUtilization := adaptive.minUtilization(draft, model)
	for _, target := range draft.input.Targets {
		if !target.Live || draft.plan.Has(target.Name, model.Name) {
			continue
		}
		utilization := draft.utilization(target.Name)
		if adaptive.inSameDataCentre(draft, model, target) {
			utilization += sameDataCentrePenalty
		}
		if utilization >= bestUtilization || minUtilization-utilization < minUtilizationGain {
			continue
		}
		if draft.freeBytes[target.Name] < model.Footprint && !adaptive.worthEvicting(draft, model, target.Name) {
			continue
		}
		best, bestUtilization = target.Name, utilization
	}
	return best
}

// inSameDataCentre reports whether the target's data centre has a replica of the model.
func (adaptive Adaptive) inSameDataCentre(draft *draft, model *Model, target *Target) bool {
	for _, name := range draft.replicas[model.Name] {
		if draft.targets[name].DataCentre == target.DataCentre {
			return true
		}
	}
	return false
}

// worthEvicting reports whether a model fits on a target after all redundant replicas
// there are evicted, and whether the demand on these replicas together is less than half
// the demand on each replica of the model.
func (adaptive Adaptive) worthEvicting(draft *draft, model *Model, target string) bool {
	freeBytes := draft.freeBytes[target]
	lostDemand := 0.0
	for _, name := range draft.plan.Models(target) {
		candidate := draft.models[name]
		if draft.redundant(candidate, target) {
			freeBytes += candidate.Footprint
			lostDemand += demandPerReplica(draft, candidate)
		}
	}
	return freeBytes >= model.Footprint && lostDemand < demandPerReplica(draft, model)/2
}
