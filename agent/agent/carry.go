package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/agent/internal/engine"
	"endiverill.example/kernel/config"
	"endiverill.example/kernel/lease"
	"endiverill.example/kernel/memory"
	"endiverill.example/kernel/placement"
	"endiverill.example/kernel/wire"
)

// carry brings the engine to the plan until ctx ends: it holds the target's
// lease, asks the engine what it holds, and gives the orders that are due.
func (agent *Agent) carry(ctx context.Context) error {
	if agent.Values().String("agent.kind") == "service" {
		return nil
	}
	agent.Control().Do(func() {
		agent.floor.lease = lease.New(lease.Plan{
			Holder: agent.Name() + "/" + formatIncarnation(agent.Incarnation()), Duration: agent.Values().Duration("agent.lease"), Drift: leaseDrift,
		})
	})
	for ctx.Err() == nil {
		agent.tickLease(ctx)
		agent.askEngine()
		agent.giveOrders(ctx)
		select {
		case <-agent.Clock().After(agent.Values().Duration("agent.state_interval")):
		case <-agent.hurry:
		case <-ctx.Done():
		}
	}
	return nil
}

const leaseDrift = 0.001

func (agent *Agent) leaseKey() string {
	return "targets/" + agent.Values().String("site") + "/" + agent.target
}

func (agent *Agent) tickLease(ctx context.Context) {
	var effects []lease.Effect
	agent.Control().Do(func() { effects = agent.floor.lease.Tick(agent.Clock().Now()) })
	driver := lease.Driver{Store: agent.Store(), Key: agent.leaseKey(), Timeout: agent.storeTimeout(), Step: agent.stepLease}
	driver.CarryOut(ctx, effects)
}

func (agent *Agent) stepLease(step func(held *lease.Lease, now time.Time) []lease.Effect) []lease.Effect {
	var effects []lease.Effect
	agent.Control().Do(func() { effects = step(agent.floor.lease, agent.Clock().Now()) })
	return effects
}

// releaseLease lets the next agent of the target start without a wait for the
// lease's end.
func (agent *Agent) releaseLease(ctx context.Context) {
	if agent.Values().String("agent.kind") == "service" {
		return
	}
	effects := agent.stepLease(func(held *lease.Lease, now time.Time) []lease.Effect { return held.Release(now) })
	driver := lease.Driver{Store: agent.Store(), Key: agent.leaseKey(), Timeout: agent.storeTimeout(), Step: agent.stepLease}
	driver.CarryOut(ctx, effects)
}

// askEngine takes what the engine holds into the account.
func (agent *Agent) askEngine() {
	asked := agent.Clock().Now()
	state, err := agent.client.State()
	if err != nil {
		agent.Metrics().Add("engine.state_errors", 1)
		agent.Control().Do(func() {
			if agent.floor.ledger != nil {
				agent.floor.ledger.Silent(agent.Clock().Now())
			}
		})
		return
	}
	agent.slots.Store(int64(state.Slots()))
	agent.Control().Do(func() {
		agent.openLedger()
		if agent.floor.ledger != nil {
			agent.floor.ledger.Sync(holdings(state), asked)
		}
		agent.takeResident(state)
	})
}

func holdings(state *engine.State) []memory.Holding {
	held := make([]memory.Holding, 0, len(state.Resident()))
	for _, resident := range state.Resident() {
		held = append(held, memory.Holding{
			Name: resident.Name(), Model: resident.Model(), Footprint: resident.Footprint(),
			Ready: resident.Ready(), Leaving: resident.Unloading(),
		})
	}
	return held
}

// openLedger begins an account under a new lease. Orders of an earlier holder
// may arrive for a while longer, so that the account opens only after that.
func (agent *Agent) openLedger() {
	now := agent.Clock().Now()
	fence, held := agent.floor.lease.Held(now)
	document := agent.Follower().Document()
	if !held || document == nil || agent.floor.ledger != nil && fence == agent.floor.fence {
		return
	}
	target, declared := document.Target(agent.target)
	if !declared {
		return
	}
	window := agent.Values().Duration("agent.order_window")
	openAt := now.Add(-time.Nanosecond)
	if fence > 1 {
		openAt = now.Add(window)
	}
	agent.floor.fence = fence
	agent.floor.ledger = memory.New(target.Memory(), window, openAt)
	agent.floor.carrier = placement.NewCarrier(agent.target, agent.floor.ledger)
	agent.log.Infof("holds the target's lease, fence %d", fence)
	if assigned := agent.floor.assigned; assigned != nil {
		agent.floor.carrier.Assigned(assigned.Version, assigned.Models)
	}
}

// takeResident tells entries what can serve: what the engine has ready and is
// not being unloaded.
func (agent *Agent) takeResident(state *engine.State) {
	var ready []string
	for _, resident := range state.Resident() {
		if !resident.Ready() {
			continue
		}
		if agent.floor.ledger != nil {
			if item := agent.floor.ledger.Item(resident.Name()); item != nil && item.Leaving() {
				continue
			}
		}
		ready = append(ready, resident.Name())
	}
	agent.resident.Store(&ready)
}

// giveOrders carries out what the machine wants, while the lease holds for as
// long as an order may take.
func (agent *Agent) giveOrders(ctx context.Context) {
	var effects []placement.CarrierEffect
	agent.Control().Do(func() {
		if agent.mayOrder() {
			effects = agent.floor.carrier.Step(agent.Clock().Now(), agent.footprint)
		}
	})
	agent.carryOrders(ctx, effects)
}

func (agent *Agent) mayOrder() bool {
	now := agent.Clock().Now()
	_, held := agent.floor.lease.Held(now.Add(agent.Values().Duration("agent.order_window")))
	return held && agent.floor.carrier != nil
}

func (agent *Agent) footprint(name string) (int64, bool) {
	model, ok := agent.Follower().Document().Model(name)
	return model.Footprint(), ok
}

func (agent *Agent) carryOrders(ctx context.Context, effects []placement.CarrierEffect) {
	if len(effects) == 0 {
		return
	}
	fence := uint64(0)
	agent.Control().Do(func() { fence = agent.floor.fence })
	for _, effect := range effects {
		switch effect := effect.(type) {
		case placement.ConfirmPlan:
			agent.confirmPlan(ctx)
		case placement.OrderLoad:
			agent.Metrics().Add("orders.load", 1)
			if effect.Model == "" {
				agent.log.Infof("loads model %s", effect.Name)
				agent.Metrics().Add("moves", 1)
			}
			agent.orderDone(effect.Name, agent.client.Load(fence, effect.Name, effect.Model, effect.Footprint))
		case placement.OrderUnload:
			agent.Metrics().Add("orders.unload", 1)
			agent.log.Infof("unloads %s", effect.Name)
			agent.orderDone(effect.Name, agent.client.Unload(fence, effect.Name))
		}
	}
}

// orderDone takes back a reservation whose order certainly had no effect.
func (agent *Agent) orderDone(name string, err error) {
	if err == nil {
		return
	}
	agent.Metrics().Add("orders.failed", 1)
	if errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrStaleFence) {
		agent.Control().Do(func() { agent.floor.ledger.NeverSent(name) })
	}
	agent.log.Warnf("an order for %s failed: %v", name, err)
}

func (agent *Agent) confirmPlan(ctx context.Context) {
	plan, err := placement.Read(ctx, agent.Store(), agent.storeTimeout(), agent.Values().String("site"))
	agent.Control().Do(func() {
		if err != nil {
			agent.floor.carrier.NotConfirmed()
			return
		}
		agent.floor.carrier.Confirmed(plan)
	})
}

// handleAssign takes what a planner wants the target to hold.
func (agent *Agent) handleAssign(_ context.Context, request *wire.AssignRequest) (*wire.Empty, error) {
	agent.Control().Do(func() {
		agent.floor.assigned = request
		if agent.floor.carrier != nil {
			agent.floor.carrier.Assigned(request.Version, request.Models)
		}
	})
	agent.hasten()
	return &wire.Empty{}, nil
}

// hasten brings the next look at the engine forward.
func (agent *Agent) hasten() {
	select {
	case agent.hurry <- struct{}{}:
	default:
	}
}

// detail adds what planners need to a load report.
func (agent *Agent) detail(load *wire.Load) {
	if agent.floor.carrier != nil {
		load.Applied = agent.floor.carrier.Applied(agent.Clock().Now())
	}
	for model, work := range agent.floor.offered {
		load.Offered = append(load.Offered, wire.ModelCount{Model: model, Work: work})
	}
}

const (
	adapterPoll  = 3 * time.Millisecond
	adapterLimit = 5 * time.Second
)

// ensureAdapter loads a request's adapter when its model is resident and the
// adapter is not, and waits for it.
func (agent *Agent) ensureAdapter(ctx context.Context, request *wire.Request) bool {
	document := agent.Follower().Document()
	if document == nil {
		return false
	}
	adapter, declared := document.Adapter(request.Adapter)
	if !declared || adapter.Model() != request.Model {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, min(adapterLimit, request.Timeout))
	defer cancel()
	for ctx.Err() == nil {
		agent.orderAdapter(ctx, document, adapter)
		if agent.holds(request) {
			return true
		}
		agent.hasten()
		select {
		case <-agent.Clock().After(adapterPoll):
		case <-ctx.Done():
		}
	}
	return false
}

// orderAdapter orders an adapter unless as many are being loaded here as the
// target's part of the fleet's limit allows.
func (agent *Agent) orderAdapter(ctx context.Context, document *config.Document, adapter config.Adapter) {
	var effects []placement.CarrierEffect
	agent.Control().Do(func() {
		if !agent.mayOrder() || agent.loadingAdapters() >= agent.adapterPart(document) {
			return
		}
		effects = agent.floor.carrier.Adapter(adapter.Name(), adapter.Model(), adapter.Memory(), agent.Clock().Now())
	})
	agent.carryOrders(ctx, effects)
}

func (agent *Agent) loadingAdapters() int {
	loading := 0
	for _, item := range agent.floor.ledger.Items() {
		if item.Model() != "" && !item.Ready() {
			loading++
		}
	}
	return loading
}

// adapterPart is the target's fixed part of the adapters that may be under way
// over the fleet.
func (agent *Agent) adapterPart(document *config.Document) int {
	engines := 0
	for _, target := range document.Targets() {
		if target.Kind() == config.Engine {
			engines++
		}
	}
	return max(document.Weights().AdaptersAtOnce()/max(engines, 1), 1)
}
