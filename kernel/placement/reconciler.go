package placement

import (
	"slices"
	"time"

	"endiverill.example/kernel/memory"
)

// Reconciler is the agent's state machine that reconciles its engine with the plan. It
// loads the models that the plan assigns to its target. It unloads a model only after
// it has read the stored plan again and that no longer assigns the model, because a
// plan received from a planner may be outdated.
type Reconciler struct {
	target        string
	ledger        *memory.Ledger
	planVersion   uint64   // of the latest plan received or read
	models        []string // of the target by that plan
	storedVersion uint64   // of the plan last read from the object API
	readPending   bool     // a read of the plan is in progress
	hasPlan       bool     // a plan is known
}

// ReconcilerEffect is an action that a Reconciler asks its driver for.
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
// on its replicas only while that is the current version. It is zero while orders of
// an earlier incarnation may still arrive, because they may unload a replica.
func (reconciler *Reconciler) AppliedVersion(now time.Time) uint64 {
	if !reconciler.ledger.Open(now) {
		return 0
	}
	return reconciler.planVersion
}

// Step returns the actions that bring the engine closer to the plan now. Footprints
// returns a model's size in bytes, and false for a model that is not declared.
func (reconciler *Reconciler) Step(now time.Time, footprints func(name string) (int64, bool)) []ReconcilerEffect {
	if !reconciler.hasPlan || !reconciler.ledger.Open(now) {
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

// unloadUnplanned orders the unload of models outside the plan. It asks to read the
// stored plan first unless the plan is the one last read.
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

// LoadAdapter returns the next order towards a resident adapter: its load, or the
// eviction of an idle adapter. It returns none when the adapter has a reservation, or
// no memory can be freed now.
func (reconciler *Reconciler) LoadAdapter(name, model string, footprint int64, now time.Time) []ReconcilerEffect {
	if reconciler.ledger.Item(name) != nil || !reconciler.ledger.Open(now) {
		return nil
	}
	return reconciler.loadOrEvict(name, model, footprint, now)
}

// loadOrEvict reserves memory and orders the load, or else orders the unload of the
// least recently used idle adapter.
func (reconciler *Reconciler) loadOrEvict(name, model string, footprint int64, now time.Time) []ReconcilerEffect {
	if reconciler.ledger.Reserve(name, model, footprint, now) == nil {
		return []ReconcilerEffect{OrderLoad{Name: name, Model: model, Footprint: footprint}}
	}
	var oldest *memory.Item
	for _, item := range reconciler.ledger.Items() {
		if item.Model() == "" || item.Unloading() || now.Sub(item.Used()) < minAdapterIdle {
			continue
		}
		if oldest == nil || item.Used().Before(oldest.Used()) {
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
