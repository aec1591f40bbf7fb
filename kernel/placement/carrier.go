package placement

import (
	"slices"
	"time"

	"endiverill.example/kernel/memory"
)

// Carrier is the agent's state machine that reconciles its engine with the plan. It
// loads the models that the plan assigns to its target. It unloads a model only after
// it has read the stored plan again and that no longer assigns the model, because a
// plan received from a planner may be outdated.
type Carrier struct {
	target           string
	ledger           *memory.Ledger
	planVersion      uint64   // of the latest plan received or read
	models           []string // of the target by that plan
	confirmedVersion uint64   // of the plan last read from the object API
	readPending      bool     // a read of the plan is in progress
	hasPlan          bool     // a plan is known
}

// CarrierEffect is an action that a Carrier asks its driver for.
type CarrierEffect interface{ carrierEffect() }

type (
	// ConfirmPlan asks to read the stored plan and then call Confirmed or NotConfirmed.
	ConfirmPlan struct{}
	// OrderLoad asks to order a load; the ledger holds its reservation.
	OrderLoad struct {
		Name      string
		Model     string // base model of an adapter, empty for a model
		Footprint int64  // bytes
	}
	// OrderUnload asks to order an unload.
	OrderUnload struct{ Name string }
)

func (ConfirmPlan) carrierEffect() {}
func (OrderLoad) carrierEffect()   {}
func (OrderUnload) carrierEffect() {}

// NewCarrier returns the carrier of a target whose memory is tracked by ledger.
func NewCarrier(target string, ledger *memory.Ledger) *Carrier {
	return &Carrier{target: target, ledger: ledger}
}

// Assigned records the models that a plan version assigns to the target, as sent by
// a planner. Versions that are not newer than the known one are ignored.
func (carrier *Carrier) Assigned(version uint64, models []string) {
	if version < carrier.planVersion || version == carrier.planVersion && carrier.hasPlan {
		return
	}
	carrier.planVersion, carrier.models, carrier.hasPlan = version, slices.Clone(models), true
}

// Confirmed records the plan as read from the object API. One that is older than the
// known plan confirms nothing.
func (carrier *Carrier) Confirmed(plan *Plan) {
	carrier.readPending = false
	if plan.version < carrier.planVersion {
		return
	}
	carrier.Assigned(plan.version, plan.Models(carrier.target))
	carrier.confirmedVersion = plan.version
}

// NotConfirmed records that the plan could not be read.
func (carrier *Carrier) NotConfirmed() { carrier.readPending = false }

// Applied returns the version of the plan that the agent follows. Planners rely on
// its replicas only while that is the current version. It is zero while orders of an
// earlier incarnation may still arrive, because they may unload a replica.
func (carrier *Carrier) Applied(now time.Time) uint64 {
	if !carrier.ledger.Open(now) {
		return 0
	}
	return carrier.planVersion
}

// Step returns the actions that bring the engine closer to the plan now. Footprints
// returns a model's size in bytes, and false for a model that is not declared.
func (carrier *Carrier) Step(now time.Time, footprints func(name string) (int64, bool)) []CarrierEffect {
	if !carrier.hasPlan || !carrier.ledger.Open(now) {
		return nil
	}
	effects := carrier.unloadUnplanned(now)
	for _, name := range carrier.models {
		if carrier.ledger.Item(name) != nil {
			continue
		}
		footprint, declared := footprints(name)
		if !declared {
			continue
		}
		effects = append(effects, carrier.loadOrEvict(name, "", footprint, now)...)
	}
	return effects
}

// unloadUnplanned orders the unload of models outside the plan. It asks to read the
// stored plan first unless that has confirmed the plan.
func (carrier *Carrier) unloadUnplanned(now time.Time) []CarrierEffect {
	var effects []CarrierEffect
	for _, item := range carrier.ledger.Items() {
		if item.Model() != "" || item.Leaving() || slices.Contains(carrier.models, item.Name()) {
			continue
		}
		if carrier.confirmedVersion != carrier.planVersion {
			return append(effects, carrier.requestPlan()...)
		}
		if carrier.ledger.Unload(item.Name(), now) == nil {
			effects = append(effects, OrderUnload{Name: item.Name()})
		}
	}
	return effects
}

// requestPlan asks to read the stored plan unless a read is in progress.
func (carrier *Carrier) requestPlan() []CarrierEffect {
	if carrier.readPending {
		return nil
	}
	carrier.readPending = true
	return []CarrierEffect{ConfirmPlan{}}
}

// Adapter returns the next order towards a resident adapter: its load, or the
// eviction of an idle adapter. It returns none when the adapter has a reservation, or
// no memory can be freed now.
func (carrier *Carrier) Adapter(name, model string, footprint int64, now time.Time) []CarrierEffect {
	if carrier.ledger.Item(name) != nil || !carrier.ledger.Open(now) {
		return nil
	}
	return carrier.loadOrEvict(name, model, footprint, now)
}

// loadOrEvict reserves memory and orders the load, or else orders the unload of the
// least recently used idle adapter.
func (carrier *Carrier) loadOrEvict(name, model string, footprint int64, now time.Time) []CarrierEffect {
	if carrier.ledger.Reserve(name, model, footprint, now) == nil {
		return []CarrierEffect{OrderLoad{Name: name, Model: model, Footprint: footprint}}
	}
	var oldest *memory.Item
	for _, item := range carrier.ledger.Items() {
		if item.Model() == "" || item.Leaving() || now.Sub(item.Used()) < minAdapterIdle {
			continue
		}
		if oldest == nil || item.Used().Before(oldest.Used()) {
			oldest = item
		}
	}
	if oldest == nil || carrier.ledger.Unload(oldest.Name(), now) != nil {
		return nil
	}
	return []CarrierEffect{OrderUnload{Name: oldest.Name()}}
}

// minAdapterIdle is how long an adapter must be unused before it may be evicted.
const minAdapterIdle = 5 * time.Second
