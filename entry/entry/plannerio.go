package entry

import (
	"context"
	"time"

	"endiverill.example/kernel/config"
	"endiverill.example/kernel/placement"
	"endiverill.example/kernel/wire"
)

const (
	modelRequestLifetime = 3 * time.Second // how long a model counts as requested
	maxLoadCredit        = 4.0             // loads that may start at once after a time without loads
)

// policyInput returns the input of the placement policy for this round, and updates
// the load credit and the demand forecast.
func (planner *planner) policyInput(document *config.Document) *placement.Input {
	now := planner.entry.Clock().Now()
	loadLimits := document.LoadLimits()
	if !planner.creditedAt.IsZero() {
		planner.loadCredit = min(planner.loadCredit+loadLimits.MaxLoadsPerSecond()*now.Sub(planner.creditedAt).Seconds(), maxLoadCredit)
	}
	planner.creditedAt = now
	input := &placement.Input{
		Current: planner.plan, Fence: planner.fence,
		MaxLoads: loadLimits.MaxConcurrentLoads(), MaxStarts: int(planner.loadCredit),
	}
	for _, model := range document.Models() {
		planner.forecast.Observe(model.Name(), planner.roundDemand[model.Name()], now)
		input.Models = append(input.Models, &placement.Model{
			Name: model.Name(), Footprint: model.Footprint(),
			Demand: planner.forecast.Demand(model.Name()), Requested: planner.isRequested(model.Name(), now),
		})
	}
	for _, target := range document.Targets() {
		if target.Kind() == config.Engine {
			input.Targets = append(input.Targets, planner.targetInput(target))
		}
	}
	return input
}

func (planner *planner) targetInput(target config.Target) *placement.Target {
	agent := planner.agents[target.Name()]
	return &placement.Target{
		Name: target.Name(), DataCentre: target.DataCentre(), Memory: target.Memory(), Capacity: float64(agent.slots),
		Live: agent.live, AppliedVersion: agent.appliedVersion, Ready: agent.loadedModels, Pinned: target.Models(),
	}
}

// sendPlan sends each agent that has not applied the current plan its part of it. A
// plan of version 0 is not stored and is not sent.
func (planner *planner) sendPlan(ctx context.Context, document *config.Document) {
	if planner.plan == nil || planner.plan.Version() == 0 {
		return
	}
	plan := planner.plan
	for _, target := range document.Targets() {
		agent := planner.agents[target.Name()]
		if target.Kind() != config.Engine || agent == nil || agent.appliedVersion == planner.plan.Version() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			request := &wire.AssignRequest{Version: plan.Version(), Models: plan.Models(target.Name())}
			if err := planner.entry.Links().Invoke(ctx, target.Agent(), wire.CallAssign, request, &wire.Empty{}); err != nil {
				planner.entry.Metrics().Add("placement.send_errors", 1)
			}
		}()
	}
}

// explain returns the targets that the plan assigns a model to and its demand in
// request slots, as of this entry's last planning round. Both are empty if it has run
// none.
func (planner *planner) explain(model string) (targets []string, demand float64) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	return planner.targetsByModel[model], planner.demandByModel[model]
}

// publishExplanations stores what explain returns until the next round.
func (planner *planner) publishExplanations(input *placement.Input) {
	targetsByModel, demandByModel := map[string][]string{}, map[string]float64{}
	if planner.plan != nil {
		for _, target := range planner.plan.Targets() {
			for _, model := range planner.plan.Models(target) {
				targetsByModel[model] = append(targetsByModel[model], target)
			}
		}
	}
	for _, model := range input.Models {
		demandByModel[model.Name] = model.Demand
	}
	planner.mu.Lock()
	defer planner.mu.Unlock()
	planner.targetsByModel, planner.demandByModel = targetsByModel, demandByModel
}

// recordMissingModels records that requests for these models found no target.
func (planner *planner) recordMissingModels(models []string) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	for _, model := range models {
		planner.requestedAt[model] = planner.entry.Clock().Now()
	}
}

func (planner *planner) isRequested(model string, now time.Time) bool {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	at, found := planner.requestedAt[model]
	return found && now.Sub(at) < modelRequestLifetime
}

func (entry *Entry) handleMissingModels(_ context.Context, request *wire.MissingModelsRequest) (*wire.Empty, error) {
	entry.planner.recordMissingModels(request.Models)
	return &wire.Empty{}, nil
}

// reportMissingModel notifies the planner, here or at another entry, that a request for
// a model found no target: none holds the model, or all that do are unusable or were
// tried.
func (entry *Entry) reportMissingModel(model string) {
	entry.planner.recordMissingModels([]string{model})
	address := entry.planner.address()
	if address == "" || address == entry.peerAddress {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		request := &wire.MissingModelsRequest{Models: []string{model}}
		if err := entry.Links().Invoke(ctx, address, wire.CallMissingModels, request, &wire.Empty{}); err != nil {
			entry.Metrics().Add("placement.send_errors", 1)
		}
	}()
}
