// Package placement decides which models are resident on which targets. A planner
// computes each plan from the current one, the targets' state and the forecast demand,
// and stores it as a new version of one object in the platform's object API. For every
// declared model, the new plan keeps at least one replica of the current plan that is
// known to be ready, or else all replicas of the current plan; only the policy OnDemand
// is exempt. Agents run a Reconciler, which orders loads and unloads so that the engine
// follows the plan. Package memory decides whether a load fits into an engine, and
// package lease which entry is the planner. Apart from ReadPlan, the package does no
// I/O.
package placement

import (
	"encoding/json"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
)

// Plan assigns models to targets.
type Plan struct {
	version uint64              // of the stored object, zero for none
	fence   uint64              // of the planner's lease
	targets map[string][]string // sorted models by target
}

// NewPlan returns a plan that is not stored yet. The models of each target must be
// sorted.
func NewPlan(fence uint64, targets map[string][]string) *Plan {
	return &Plan{fence: fence, targets: targets}
}

// Version returns the version of the stored object, zero for a plan that is not
// stored.
func (plan *Plan) Version() uint64 { return plan.version }

// Fence returns the fencing number of the planner that made the plan.
func (plan *Plan) Fence() uint64 { return plan.fence }

// Models returns the models assigned to a target, sorted.
func (plan *Plan) Models(target string) []string { return plan.targets[target] }

// Targets returns the names of the plan's targets, sorted.
func (plan *Plan) Targets() []string {
	names := make([]string, 0, len(plan.targets))
	for name := range plan.targets {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Has reports whether a model is assigned to a target.
func (plan *Plan) Has(target, model string) bool {
	_, found := slices.BinarySearch(plan.targets[target], model)
	return found
}

// Equal reports whether two plans assign the same models.
func (plan *Plan) Equal(other *Plan) bool {
	for _, name := range append(plan.Targets(), other.Targets()...) {
		if !slices.Equal(plan.targets[name], other.targets[name]) {
			return false
		}
	}
	return true
}

// clone returns an unstored deep copy of the plan with the given fencing number.
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

// storedPlan is the stored form of a plan.
type storedPlan struct {
	Fence   uint64              `json:"fence"`
	Targets map[string][]string `json:"targets"`
}

// Marshal returns the stored form of the plan.
func (plan *Plan) Marshal() ([]byte, error) {
	return json.Marshal(storedPlan{Fence: plan.fence, Targets: plan.targets})
}

// ParsePlan decodes the plan stored as the given version of its object.
func ParsePlan(data []byte, version uint64) (*Plan, error) {
	var stored storedPlan
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, errors.Wrap(err, "decoding the placement plan")
	}
	plan := &Plan{version: version, fence: stored.Fence, targets: map[string][]string{}}
	for name, models := range stored.Targets {
		slices.Sort(models)
		plan.targets[name] = slices.Compact(models)
	}
	return plan, nil
}

// Key returns the object key of a site's plan.
func Key(site string) string { return "placement/" + site + "/plan" }

// PlannerKey returns the object key of a site's planner lease.
func PlannerKey(site string) string { return "placement/" + site + "/planner" }

// WithVersion returns the plan as stored under a version.
func (plan *Plan) WithVersion(version uint64) *Plan {
	return &Plan{version: version, fence: plan.fence, targets: plan.targets}
}

// EmptyPlan returns the plan without targets, in force before the first is stored.
func EmptyPlan() *Plan { return &Plan{targets: map[string][]string{}} }

// Target is the last state of a target that the planner knows.
type Target struct {
	Name           string
	DataCentre     string
	Memory         int64    // bytes
	Capacity       float64  // request slots
	Live           bool     // its agent answers status queries
	AppliedVersion uint64   // version of the plan that its agent follows
	Ready          []string // models that can serve requests, sorted
	Pinned         []string // models that the configuration pins to it
}

// ready reports whether the target can serve a model now.
func (target *Target) ready(model string) bool {
	_, found := slices.BinarySearch(target.Ready, model)
	return target.Live && found
}

// Model is a declared model and the demand to plan for.
type Model struct {
	Name      string
	Footprint int64   // bytes of a replica
	Demand    float64 // request slots
	Requested bool    // requests are waiting for it
}

// Input is what a policy computes the next plan from.
type Input struct {
	Targets   []*Target // ordered by name
	Models    []*Model  // ordered by name
	Current   *Plan     // as last stored
	Fence     uint64    // of the planner's lease
	MaxLoads  int       // limit on loads in progress
	MaxStarts int       // limit on loads that start with the next plan
}

// Policy computes the next plan. Plug-ins implement it.
type Policy interface {
	Decide(input *Input) *Plan
}

// Next returns the plan that the policy computes. Where that plan could leave a
// declared model without a replica, Next adds the model's current replicas again.
func Next(policy Policy, input *Input) *Plan {
	next := policy.Decide(input)
	// OnDemand, a baseline for comparison, may leave a model without a replica: it loads
	// the model when requests wait for it.
	if _, onDemand := policy.(*OnDemand); !onDemand {
		keepLastReplicas(input, next)
	}
	return next
}

// keepLastReplicas adds to the next plan the current replicas of every declared model
// that retainedModels does not return.
func keepLastReplicas(input *Input, next *Plan) {
	declared := map[string]bool{}
	for _, model := range input.Models {
		declared[model.Name] = true
	}
	retained := retainedModels(input, next)
	for _, target := range input.Current.Targets() {
		for _, model := range input.Current.Models(target) {
			if declared[model] && !next.Has(target, model) && !retained[model] {
				next.add(target, model)
			}
		}
	}
}

// retainedModels returns the models that are certain to keep a replica under the next
// plan: one that is ready on a target whose agent follows the current plan, and that
// both the current and the next plan assign to that target.
func retainedModels(input *Input, next *Plan) map[string]bool {
	retained := map[string]bool{}
	for _, target := range input.Targets {
		if target.AppliedVersion != input.Current.version {
			continue
		}
		for _, model := range next.Models(target.Name) {
			if target.ready(model) && input.Current.Has(target.Name, model) {
				retained[model] = true
			}
		}
	}
	return retained
}
