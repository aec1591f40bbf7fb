package placement

import (
	"slices"
	"time"

	"endiverill.example/kernel/memory"
)

// Reconciler is the agent's state machine that reconciles its engine with the plan. It
// loads the models that the plan assigns to its target. It unloads a model that the plan
// does not assign only after it has read that plan from the object API itself, because a
// plan received from a planner may be outdated.
type Reconciler struct {
	target        string
	ledger        *memory.Ledger
	planVersion   uint64   // of the latest plan received or read
	models        []string // that this plan assigns to the target
	storedVersion uint64   // of the plan last read from the object API
	readPending   bool     // a read of the plan is in progress
	hasPlan       bool     // a plan is known
}

// ReconcilerEffect is an action that a Reconciler asks its driver to carry out.
type ReconcilerEffect interface{ reconcilerEffect() }

type (
	// ReadStoredPlan asks to read the stored plan and then call PlanRead or
	// PlanReadFailed.
	ReadStoredPlan struct{}
	// OrderLoad asks to order a load; the ledger holds its reservation.
	OrderLoad struct {
		Name      string
		Model     string // base model of an adapter, empty for a model
		Footprint int64  // bytes
	}
	// OrderUnload asks to order an unload.
	OrderUnload struct{ Name string }
)

func (ReadStoredPlan) reconcilerEffect() {}
func (OrderLoad) reconcilerEffect()      {}
func (OrderUnload) reconcilerEffect()    {}

// NewReconciler returns the reconciler of a target whose memory is tracked by ledger.
func NewReconciler(target string, ledger *memory.Ledger) *Reconciler {
	return &Reconciler{target: target, ledger: ledger}
}

// SetAssignment records the models that a plan version assigns to the target, as sent
// by a planner. Versions that are not newer than the known one are ignored.
func (reconciler *Reconciler) SetAssignment(version uint64, models []string) {
	if version < reconciler.planVersion || version == reconciler.planVersion && reconciler.hasPlan {
		return
	}
	reconciler.planVersion, reconciler.models, reconciler.hasPlan = version, slices.Clone(models), true
}

// PlanRead records the plan as read from the object API. One that is older than the
// known plan is ignored.
func (reconciler *Reconciler) PlanRead(plan *Plan) {
	reconciler.readPending = false
	if plan.version < reconciler.planVersion {
		return
	}
	reconciler.SetAssignment(plan.version, plan.Models(reconciler.target))
	reconciler.storedVersion = plan.version
}

// PlanReadFailed records that the plan could not be read.
func (reconciler *Reconciler) PlanReadFailed() { reconciler.readPending = false }

// AppliedVersion returns the version of the plan that the agent follows. Planners rely
// on the target's replicas only if this is the version of the current plan. It is zero
// until the ledger is open, because until then orders of an earlier incarnation may
// still arrive and unload a replica.
func (reconciler *Reconciler) AppliedVersion(now time.Time) uint64 {
	if !reconciler.ledger.IsOpen(now) {
		return 0
	}
	return reconciler.planVersion
}

// Step returns the actions that bring the engine closer to the plan now. The function
// footprints returns a model's size in bytes, and false for a model that is not
// declared.
func (reconciler *Reconciler) Step(now time.Time, footprints func(name string) (int64, bool)) []ReconcilerEffect {
	if !reconciler.hasPlan || !reconciler.ledger.IsOpen(now) {
		return nil
	}
	effects := reconciler.unloadUnplanned(now)
	for _, name := range reconciler.models {
		if reconciler.ledger.Item(name) != nil {
			continue
		}
		footprint, declared := footprints(name)
		if !declared {
			continue
		}
		effects = append(effects, reconciler.loadOrEvict(name, "", footprint, now)...)
	}
	return effects
}

// unloadUnplanned orders the unload of models outside the plan. If the plan is not the
// version last read from the object API, it asks to read the stored plan instead.
func (reconciler *Reconciler) unloadUnplanned(now time.Time) []ReconcilerEffect {
	var effects []ReconcilerEffect
	for _, item := range reconciler.ledger.Items() {
		if item.Model() != "" || item.Unloading() || slices.Contains(reconciler.models, item.Name()) {
			continue
		}
		if reconciler.storedVersion != reconciler.planVersion {
			return append(effects, reconciler.requestPlan()...)
		}
		if reconciler.ledger.Unload(item.Name(), now) == nil {
			effects = append(effects, OrderUnload{Name: item.Name()})
		}
	}
	return effects
}

// requestPlan asks to read the stored plan unless a read is in progress.
func (reconciler *Reconciler) requestPlan() []ReconcilerEffect {
	if reconciler.readPending {
		return nil
	}
	reconciler.readPending = true
	return []ReconcilerEffect{ReadStoredPlan{}}
}

// LoadAdapter returns the next order needed to make an adapter resident: its load, or
// the unload of an idle adapter to free memory. It returns none when the adapter already
// has a reservation, when the ledger is not open, or when no adapter can be evicted.
func (reconciler *Reconciler) LoadAdapter(name, model string, footprint int64, now time.Time) []ReconcilerEffect {
	if reconciler.ledger.Item(name) != nil || !reconciler.ledger.IsOpen(now) {
		return nil
	}
	return reconciler.loadOrEvict(name, model, footprint, now)
}

// loadOrEvict reserves memory and orders the load. If the reservation fails, it orders
// the unload of the least recently used idle adapter.
func (reconciler *Reconciler) loadOrEvict(name, model string, footprint int64, now time.Time) []ReconcilerEffect {
	if reconciler.ledger.Reserve(name, model, footprint, now) == nil {
		return []ReconcilerEffect{OrderLoad{Name: name, Model: model, Footprint: footprint}}
	}
	var oldest *memory.Item
	for _, item := range reconciler.ledger.Items() {
		if item.Model() == "" || item.Unloading() || now.Sub(item.LastUsed()) < minAdapterIdle {
			continue
		}
		if oldest == nil || item.LastUsed().Before(oldest.LastUsed()) {
			oldest = item
		}
	}
	if oldest == nil || reconciler.ledger.Unload(oldest.Name(), now) != nil {
		return nil
	}
	return []ReconcilerEffect{OrderUnload{Name: oldest.Name()}}
}

// minAdapterIdle is how long an adapter must be unused before it may be evicted.
const minAdapterIdle = 5 * time.Second
