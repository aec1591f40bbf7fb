// Package placement decides which models are resident on which targets. Plans
// follow one another in one object of the platform's object API; each keeps, for
// every declared model, a replica that the plan before also had and that was
// seen ready. The package does no I/O.
package placement

import (
	"encoding/json"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
)

// Plan says which models each target is to hold.
type Plan struct {
	version uint64 // of the object, zero for no plan
	fence   uint64 // of the planner's lease
	targets map[string][]string
}

// NewPlan returns a plan that has not been written yet.
func NewPlan(fence uint64, targets map[string][]string) *Plan {
	return &Plan{fence: fence, targets: targets}
}

// Version returns the version of the plan's object, zero before the first.
func (plan *Plan) Version() uint64 { return plan.version }

// Fence returns the fencing number of the planner that made the plan.
func (plan *Plan) Fence() uint64 { return plan.fence }

// Models returns the models that a target is to hold, sorted.
func (plan *Plan) Models(target string) []string { return plan.targets[target] }

// Targets returns the names of the targets with models, sorted.
func (plan *Plan) Targets() []string {
	names := make([]string, 0, len(plan.targets))
	for name := range plan.targets {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Has says whether a target is to hold a model.
func (plan *Plan) Has(target, model string) bool {
	_, found := slices.BinarySearch(plan.targets[target], model)
	return found
}

// Equal says whether two plans place the same.
func (plan *Plan) Equal(other *Plan) bool {
	for _, name := range append(plan.Targets(), other.Targets()...) {
		if !slices.Equal(plan.targets[name], other.targets[name]) {
			return false
		}
	}
	return true
}

// clone returns a copy of the plan that can be changed.
func (plan *Plan) clone(fence uint64) *Plan {
	targets := make(map[string][]string, len(plan.targets))
	for name, models := range plan.targets {
		targets[name] = slices.Clone(models)
	}
	return &Plan{fence: fence, targets: targets}
}

func (plan *Plan) add(target, model string) {
	index, found := slices.BinarySearch(plan.targets[target], model)
	if !found {
		plan.targets[target] = slices.Insert(plan.targets[target], index, model)
	}
}

func (plan *Plan) remove(target, model string) {
	index, found := slices.BinarySearch(plan.targets[target], model)
	if found {
		plan.targets[target] = slices.Delete(plan.targets[target], index, index+1)
	}
}

type wirePlan struct {
	Fence   uint64              `json:"fence"`
	Targets map[string][]string `json:"targets"`
}

// Marshal returns the plan as it is stored.
func (plan *Plan) Marshal() ([]byte, error) {
	return json.Marshal(wirePlan{Fence: plan.fence, Targets: plan.targets})
}

// ParsePlan reads a stored plan of an object version.
func ParsePlan(data []byte, version uint64) (*Plan, error) {
	var wire wirePlan
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, errors.Wrap(err, "placement plan")
	}
	plan := &Plan{version: version, fence: wire.Fence, targets: map[string][]string{}}
	for name, models := range wire.Targets {
		slices.Sort(models)
		plan.targets[name] = slices.Compact(models)
	}
	return plan, nil
}

// Key returns the object key of a site's plan.
func Key(site string) string { return "placement/" + site + "/plan" }

// PlannerKey returns the object key of a site's planner lease.
func PlannerKey(site string) string { return "placement/" + site + "/planner" }

// Written returns the plan as the object API holds it under a version.
func (plan *Plan) Written(version uint64) *Plan {
	return &Plan{version: version, fence: plan.fence, targets: plan.targets}
}

// Empty returns the plan before the first.
func Empty() *Plan { return &Plan{targets: map[string][]string{}} }

// Target is what the planner believes of a target.
type Target struct {
	Name       string
	DataCentre string
	Memory     int64    // bytes
	Capacity   float64  // places for requests
	Live       bool     // its agent answers
	Applied    uint64   // version of the plan that its agent goes by
	Ready      []string // models that can serve, sorted
	Pinned     []string // models that operators pin to it
}

// ready says whether the target can serve a model now.
func (target *Target) ready(model string) bool {
	_, found := slices.BinarySearch(target.Ready, model)
	return target.Live && found
}

// Model is a declared model with the demand to plan for.
type Model struct {
	Name      string
	Footprint int64   // bytes of a replica
	Demand    float64 // places that its requests take
	Wanted    bool    // requests wait for it now
}

// Input is everything that a policy goes by.
type Input struct {
	Targets []*Target // ordered by name
	Models  []*Model  // ordered by name
	Current *Plan
	Fence   uint64
	Loads   int // loads that may be under way at once
	Starts  int // loads that may start now
}

// Policy makes the next plan. Plug-ins implement it.
type Policy interface {
	Decide(input *Input) *Plan
}

// Next returns the plan that the policy wants, less what would take away the
// last replica that is certain of any declared model.
func Next(policy Policy, input *Input) *Plan {
	next := policy.Decide(input)
	// OnDemand reaches a model by loading it; it is a baseline.
	if _, onDemand := policy.(*OnDemand); !onDemand {
		guard(input, next)
	}
	return next
}

// guard puts back every replica whose removal is not certain to leave another.
func guard(input *Input, next *Plan) {
	declared := map[string]bool{}
	for _, model := range input.Models {
		declared[model.Name] = true
	}
	kept := keepers(input, next)
	for _, target := range input.Current.Targets() {
		for _, model := range input.Current.Models(target) {
			if declared[model] && !next.Has(target, model) && !kept[model] {
				next.add(target, model)
			}
		}
	}
}

// keepers returns the models that some target serves now, was to hold by the
// plan that its agent goes by, and is to hold by the next plan.
func keepers(input *Input, next *Plan) map[string]bool {
	kept := map[string]bool{}
	for _, target := range input.Targets {
		if target.Applied != input.Current.version {
			continue
		}
		for _, model := range next.Models(target.Name) {
			if target.ready(model) && input.Current.Has(target.Name, model) {
				kept[model] = true
			}
		}
	}
	return kept
}
