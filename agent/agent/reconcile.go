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

// reconcile reconciles the engine with the plan until ctx ends: it renews the
// target's lease, reads the engine's state, and gives the orders that are due. It
// returns at once for a plain service, which has no lease. It does not wait for the
// object API: calls to it run beside the loop.
func (agent *Agent) reconcile(ctx context.Context) error {
	if agent.Values().String("agent.kind") == "service" {
		return nil
	}
	agent.Control().Do(func() {
		agent.state.lease = lease.New(lease.Params{
			Holder: agent.Name() + "/" + formatIncarnation(agent.Incarnation()), Duration: agent.Values().Duration("agent.lease"), Drift: maxClockDrift,
		})
	})
	for ctx.Err() == nil {
		agent.maintainLease(ctx)
		agent.syncEngine()
		agent.giveOrders(ctx)
		select {
		case <-agent.Clock().After(agent.Values().Duration("agent.state_interval")):
		case <-agent.wake:
		case <-ctx.Done():
		}
	}
	return nil
}

// maxClockDrift bounds the difference in speed of two clocks, as a fraction.
const maxClockDrift = 0.001

func (agent *Agent) leaseKey() string {
	return "targets/" + agent.Values().String("site") + "/" + agent.target
}

// maintainLease begins to take or renew the lease when that is due.
func (agent *Agent) maintainLease(ctx context.Context) {
	effects := agent.withLease(func(targetLease *lease.Lease, now time.Time) []lease.Effect { return targetLease.Tick(now) })
	if len(effects) == 0 {
		return
	}
	go func() {
		agent.leaseDriver().Execute(ctx, effects)
		agent.wakeReconcile()
	}()
}

func (agent *Agent) leaseDriver() lease.Driver {
	return lease.Driver{Store: agent.Store(), Key: agent.leaseKey(), Timeout: agent.storeTimeout(), WithLease: agent.withLease}
}

// withLease calls step with the lease in the control goroutine, if the agent competes for it.
func (agent *Agent) withLease(step func(targetLease *lease.Lease, now time.Time) []lease.Effect) []lease.Effect {
	var effects []lease.Effect
	agent.Control().Do(func() {
		if agent.state.lease != nil {
			effects = step(agent.state.lease, agent.Clock().Now())
		}
	})
	return effects
}

// releaseLease gives the lease up, so that the next agent of the target need not
// wait until it expires. It returns once the object API has taken this, or after the
// longest wait for an answer of it; a renewal may be in flight.
func (agent *Agent) releaseLease(ctx context.Context) {
	if agent.Values().String("agent.kind") == "service" {
		return
	}
	effects := agent.withLease(func(targetLease *lease.Lease, now time.Time) []lease.Effect { return targetLease.Release(now) })
	ctx, cancel := context.WithTimeout(ctx, agent.storeTimeout())
	defer cancel()
	agent.leaseDriver().Execute(ctx, effects)
	for !agent.leaseGivenUp() {
		select {
		case <-agent.Clock().After(releasePollInterval):
		case <-ctx.Done():
			agent.log.Warnf("the lease is left to expire, the object API has not answered: %v", ctx.Err())
			return
		}
	}
}

const releasePollInterval = 10 * time.Millisecond

func (agent *Agent) leaseGivenUp() bool {
	givenUp := false
	agent.Control().Do(func() { givenUp = agent.state.lease == nil || agent.state.lease.GivenUp() })
	return givenUp
}

// syncEngine reads the engine's state and updates the ledger from it.
func (agent *Agent) syncEngine() {
	queriedAt := agent.Clock().Now()
	state, err := agent.client.State()
	if err != nil {
		agent.Metrics().Add("engine.state_errors", 1)
		agent.Control().Do(func() {
			if agent.state.ledger != nil {
				agent.state.ledger.QueryUnanswered(agent.Clock().Now())
			}
		})
		return
	}
	agent.slots.Store(int64(state.Slots()))
	agent.Control().Do(func() {
		agent.openLedger()
		if agent.state.ledger != nil {
			agent.state.ledger.Sync(engineItems(state), queriedAt)
		}
		agent.updateResident(state)
	})
}

// engineItems converts the items that an engine reports for the ledger.
func engineItems(state *engine.State) []memory.EngineItem {
	items := make([]memory.EngineItem, 0, len(state.Resident()))
	for _, resident := range state.Resident() {
		items = append(items, memory.EngineItem{
			Name: resident.Name(), Model: resident.Model(), Footprint: resident.Footprint(),
			Ready: resident.Ready(), Unloading: resident.Unloading(),
		})
	}
	return items
}

// openLedger creates the ledger and the reconciler when the lease is held under a
// new fence and the configuration declares the target. Orders of an earlier holder
// may still arrive within the order window, so the ledger opens only after it. A
// holder with fence 1 has no predecessor.
func (agent *Agent) openLedger() {
	now := agent.Clock().Now()
	fence, held := agent.state.lease.Held(now)
	document := agent.Follower().Document()
	if !held || document == nil || agent.state.ledger != nil && fence == agent.state.fence {
		return
	}
	target, declared := document.Target(agent.target)
	if !declared {
		return
	}
	window := agent.Values().Duration("agent.order_window")
	openAt := now.Add(-time.Nanosecond) // the ledger is open after openAt, not at it
	if fence > 1 {
		openAt = now.Add(window)
	}
	agent.state.fence = fence
	agent.state.ledger = memory.New(target.Memory(), window, openAt)
	agent.state.reconciler = placement.NewReconciler(agent.target, agent.state.ledger)
	agent.log.Infof("acquired the target's lease, fence %d", fence)
	if assigned := agent.state.lastAssignment; assigned != nil {
		agent.state.reconciler.SetAssignment(assigned.Version, assigned.Models)
	}
}

// updateResident updates the models and adapters reported to entries: those that
// the engine has ready and that are not being unloaded.
func (agent *Agent) updateResident(state *engine.State) {
	var ready []string
	for _, resident := range state.Resident() {
		if !resident.Ready() {
			continue
		}
		if agent.state.ledger != nil {
			if item := agent.state.ledger.Item(resident.Name()); item != nil && item.Unloading() {
				continue
			}
		}
		ready = append(ready, resident.Name())
	}
	agent.resident.Store(&ready)
}

// giveOrders gives the orders that the reconciler requests, if mayOrder allows it.
func (agent *Agent) giveOrders(ctx context.Context) {
	var effects []placement.ReconcilerEffect
	agent.Control().Do(func() {
		if agent.mayOrder() {
			effects = agent.state.reconciler.Step(agent.Clock().Now(), agent.footprint)
		}
	})
	agent.carryOutEffects(ctx, effects)
}

// mayOrder reports whether there is a reconciler and the lease lasts for as long
// as an order may take to reach the engine.
func (agent *Agent) mayOrder() bool {
	now := agent.Clock().Now()
	_, held := agent.state.lease.Held(now.Add(agent.Values().Duration("agent.order_window")))
	return held && agent.state.reconciler != nil
}

// footprint returns the size of a model in bytes, and false if the configuration does
// not declare the model.
func (agent *Agent) footprint(name string) (int64, bool) {
	model, ok := agent.Follower().Document().Model(name)
	return model.Footprint(), ok
}

// carryOutEffects carries out the effects of the reconciler. It cancels the reservation
// for a load that the engine refused or has not received.
func (agent *Agent) carryOutEffects(ctx context.Context, effects []placement.ReconcilerEffect) {
	if len(effects) == 0 {
		return
	}
	fence := uint64(0)
	agent.Control().Do(func() { fence = agent.state.fence })
	for _, effect := range effects {
		switch effect := effect.(type) {
		case placement.ReadStoredPlan:
			go agent.readStoredPlan(ctx)
		case placement.OrderLoad:
			agent.Metrics().Add("orders.load", 1)
			if effect.Model == "" {
				agent.log.Infof("loads model %s", effect.Name)
				agent.Metrics().Add("moves", 1)
			}
			err := agent.client.Load(fence, effect.Name, effect.Model, effect.Footprint)
			if errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrStaleFence) {
				agent.Control().Do(func() { agent.state.ledger.CancelReservation(effect.Name) })
			}
			agent.recordOrderError(effect.Name, err)
		case placement.OrderUnload:
			agent.Metrics().Add("orders.unload", 1)
			agent.log.Infof("unloads model or adapter %s", effect.Name)
			// The reservation stays, whatever the outcome: a load may still arrive.
			agent.recordOrderError(effect.Name, agent.client.Unload(fence, effect.Name))
		}
	}
}

// recordOrderError counts and logs an order that failed; a nil error is ignored.
func (agent *Agent) recordOrderError(name string, err error) {
	if err == nil {
		return
	}
	agent.Metrics().Add("orders.failed", 1)
	agent.log.Warnf("order for model or adapter %s failed: %v", name, err)
}

// readStoredPlan reads the plan from the object API and passes it to the reconciler.
func (agent *Agent) readStoredPlan(ctx context.Context) {
	plan, err := placement.ReadPlan(ctx, agent.Store(), agent.storeTimeout(), agent.Values().String("site"))
	agent.Control().Do(func() {
		if err != nil {
			agent.state.reconciler.PlanReadFailed()
			return
		}
		agent.state.reconciler.PlanRead(plan)
	})
}

// handleAssign handles a planner's assignment of models to the target.
func (agent *Agent) handleAssign(_ context.Context, request *wire.AssignRequest) (*wire.Empty, error) {
	agent.Control().Do(func() {
		agent.state.lastAssignment = request
		if agent.state.reconciler != nil {
			agent.state.reconciler.SetAssignment(request.Version, request.Models)
		}
	})
	agent.wakeReconcile()
	return &wire.Empty{}, nil
}

// wakeReconcile starts the next round of the reconcile loop at once.
func (agent *Agent) wakeReconcile() {
	select {
	case agent.wake <- struct{}{}:
	default:
	}
}

// addPlannerDetail adds the fields for planners to a load report. It runs in the
// control goroutine.
func (agent *Agent) addPlannerDetail(load *wire.Load) {
	if agent.state.reconciler != nil {
		load.PlanVersion = agent.state.reconciler.AppliedVersion(agent.Clock().Now())
	}
	for model, work := range agent.state.demand {
		load.Offered = append(load.Offered, wire.ModelWork{Model: model, Work: work})
	}
}

const (
	adapterPollInterval = 3 * time.Millisecond
	adapterTimeout      = 5 * time.Second // longest wait of a request for its adapter
)

// ensureAdapter orders the load of a request's adapter, waits up to adapterTimeout
// until the model and the adapter are resident, and reports whether they are.
func (agent *Agent) ensureAdapter(ctx context.Context, request *wire.Request) bool {
	document := agent.Follower().Document()
	if document == nil {
		return false
	}
	adapter, declared := document.Adapter(request.Adapter)
	if !declared || adapter.Model() != request.Model {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, min(adapterTimeout, request.Timeout))
	defer cancel()
	for ctx.Err() == nil {
		agent.orderAdapter(ctx, document, adapter)
		if agent.holds(request) {
			return true
		}
		agent.wakeReconcile()
		select {
		case <-agent.Clock().After(adapterPollInterval):
		case <-ctx.Done():
		}
	}
	return false
}

// orderAdapter orders the load of an adapter, or the unload of another to free memory.
// It gives no order if mayOrder forbids it, or if loadingAdapters has reached
// maxLoadingAdapters.
func (agent *Agent) orderAdapter(ctx context.Context, document *config.Document, adapter config.Adapter) {
	var effects []placement.ReconcilerEffect
	agent.Control().Do(func() {
		if !agent.mayOrder() || agent.loadingAdapters() >= agent.maxLoadingAdapters(document) {
			return
		}
		effects = agent.state.reconciler.LoadAdapter(adapter.Name(), adapter.Model(), adapter.Memory(), agent.Clock().Now())
	})
	agent.carryOutEffects(ctx, effects)
}

// loadingAdapters counts the adapters that are being loaded, and those that are being
// unloaded, whose memory is still reserved. It runs in the control goroutine.
func (agent *Agent) loadingAdapters() int {
	loading := 0
	for _, item := range agent.state.ledger.Items() {
		if item.Model() != "" && !item.Ready() {
			loading++
		}
	}
	return loading
}

// maxLoadingAdapters returns how many adapters the target may load at once: the
// fleet's limit divided by the number of engines, and at least one.
func (agent *Agent) maxLoadingAdapters(document *config.Document) int {
	engines := 0
	for _, target := range document.Targets() {
		if target.Kind() == config.Engine {
			engines++
		}
	}
	return max(document.LoadLimits().MaxConcurrentAdapterLoads()/max(engines, 1), 1)
}
