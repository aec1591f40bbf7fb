package entry

import (
	"context"
	"time"

	"endiverill.example/kernel/config"
	"endiverill.example/kernel/placement"
	"endiverill.example/kernel/wire"
)

const (
	wantedTime = 3 * time.Second
	maxCredit  = 4.0 // loads that may start at once after a quiet time
)

// input is what the policy goes by in this round.
func (planner *planner) input(document *config.Document) *placement.Input {
	now := planner.entry.Clock().Now()
	weights := document.Weights()
	if !planner.credited.IsZero() {
		planner.credit = min(planner.credit+weights.LoadsPerSecond()*now.Sub(planner.credited).Seconds(), maxCredit)
	}
	planner.credited = now
	input := &placement.Input{
		Current: planner.plan, Fence: planner.fence,
		MaxLoads: weights.LoadsAtOnce(), MaxStarts: int(planner.credit),
	}
	for _, model := range document.Models() {
		planner.forecast.Observe(model.Name(), planner.demand[model.Name()], now)
		input.Models = append(input.Models, &placement.Model{
			Name: model.Name(), Footprint: model.Footprint(),
			Demand: planner.forecast.Demand(model.Name()), Requested: planner.isWanted(model.Name(), now),
		})
	}
	for _, target := range document.Targets() {
		if target.Kind() == config.Engine {
			input.Targets = append(input.Targets, planner.target(target))
		}
	}
	return input
}

func (planner *planner) target(target config.Target) *placement.Target {
	seen := planner.seen[target.Name()]
	return &placement.Target{
		Name: target.Name(), DataCentre: target.DataCentre(), Memory: target.Memory(), Capacity: float64(seen.slots),
		Live: seen.live, AppliedVersion: seen.applied, Ready: seen.ready, Pinned: target.Models(),
	}
}

// send tells the agents that go by another plan what their targets are to hold.
func (planner *planner) send(ctx context.Context, document *config.Document) {
	if planner.plan == nil || planner.plan.Version() == 0 {
		return
	}
	plan := planner.plan
	for _, target := range document.Targets() {
		seen := planner.seen[target.Name()]
		if target.Kind() != config.Engine || seen == nil || seen.applied == planner.plan.Version() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			request := &wire.AssignRequest{Version: plan.Version(), Models: plan.Models(target.Name())}
			if err := planner.entry.Links().Invoke(ctx, target.Agent(), wire.CallAssign, request, &wire.Empty{}); err != nil {
				planner.entry.Metrics().Add("placement.send_errors", 1)
			}
		}()
	}
}

// explain returns the targets that are to hold a model and its demand in places,
// if this entry plans.
func (planner *planner) explain(model string) (targets []string, demand float64) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	return planner.placed[model], planner.demands[model]
}

// publish keeps what explanations show of a round.
func (planner *planner) publish(input *placement.Input) {
	placed, demands := map[string][]string{}, map[string]float64{}
	if planner.plan != nil {
		for _, target := range planner.plan.Targets() {
			for _, model := range planner.plan.Models(target) {
				placed[model] = append(placed[model], target)
			}
		}
	}
	for _, model := range input.Models {
		demands[model.Name] = model.Demand
	}
	planner.mu.Lock()
	defer planner.mu.Unlock()
	planner.placed, planner.demands = placed, demands
}

// want notes that requests wait for a model that no target holds.
func (planner *planner) want(models []string) {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	for _, model := range models {
		planner.wanted[model] = planner.entry.Clock().Now()
	}
}

func (planner *planner) isWanted(model string, now time.Time) bool {
	planner.mu.Lock()
	defer planner.mu.Unlock()
	at, found := planner.wanted[model]
	return found && now.Sub(at) < wantedTime
}

func (entry *Entry) handleWanted(_ context.Context, request *wire.WantedRequest) (*wire.Empty, error) {
	entry.planner.want(request.Models)
	return &wire.Empty{}, nil
}

// wantModel tells the planner that requests wait for a model.
func (entry *Entry) wantModel(model string) {
	entry.planner.want([]string{model})
	address := entry.planner.address()
	if address == "" || address == entry.peerAddress {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		defer cancel()
		request := &wire.WantedRequest{Models: []string{model}}
		if err := entry.Links().Invoke(ctx, address, wire.CallWanted, request, &wire.Empty{}); err != nil {
			entry.Metrics().Add("placement.send_errors", 1)
		}
	}()
}
