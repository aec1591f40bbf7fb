package placement

import (
	"slices"
	"time"

	"endiverill.example/kernel/memory"
)

// Carrier is the agent's machine that brings its engine to the plan. It loads
// what the plan adds, and unloads only what the plan in the object API, read
// anew, no longer gives to its target.
type Carrier struct {
	target     string
	ledger     *memory.Ledger
	version    uint64
	models     []string
	confirmed  uint64
	confirming bool
	assigned   bool
}

// CarrierEffect is what a Carrier wants done.
type CarrierEffect interface{ carrierEffect() }

type (
	// ConfirmPlan asks for a read of the plan and a Confirmed or a NotConfirmed.
	ConfirmPlan struct{}
	// OrderLoad asks for an order to load; its room is reserved.
	OrderLoad struct {
		Name      string
		Model     string // below an adapter
		Footprint int64
	}
	// OrderUnload asks for an order to unload.
	OrderUnload struct{ Name string }
)

func (ConfirmPlan) carrierEffect() {}
func (OrderLoad) carrierEffect()   {}
func (OrderUnload) carrierEffect() {}

// NewCarrier returns the machine of a target over its ledger.
func NewCarrier(target string, ledger *memory.Ledger) *Carrier {
	return &Carrier{target: target, ledger: ledger}
}

// Assigned takes what a planner sent: the models of the target by a plan's
// version. Older versions are passed over.
func (carrier *Carrier) Assigned(version uint64, models []string) {
	if version < carrier.version || version == carrier.version && carrier.assigned {
		return
	}
	carrier.version, carrier.models, carrier.assigned = version, slices.Clone(models), true
}

// Confirmed takes the plan as read from the object API.
func (carrier *Carrier) Confirmed(plan *Plan) {
	carrier.confirming = false
	if plan.version < carrier.version {
		return
	}
	carrier.Assigned(plan.version, plan.Models(carrier.target))
	carrier.confirmed = plan.version
}

// NotConfirmed says that the plan could not be read.
func (carrier *Carrier) NotConfirmed() { carrier.confirming = false }

// Applied returns the version of the plan that the agent goes by, for planners
// that count on its replicas. It is zero while orders of an earlier incarnation
// may still arrive, since they may take a replica away.
func (carrier *Carrier) Applied(now time.Time) uint64 {
	if !carrier.ledger.Open(now) {
		return 0
	}
	return carrier.version
}

// Step returns what is to be ordered now. Footprints names the bytes of a
// declared model.
func (carrier *Carrier) Step(now time.Time, footprints func(name string) (int64, bool)) []CarrierEffect {
	if !carrier.assigned || !carrier.ledger.Open(now) {
		return nil
	}
	effects := carrier.unloads(now)
	for _, name := range carrier.models {
		if carrier.ledger.Item(name) != nil {
			continue
		}
		footprint, declared := footprints(name)
		if !declared {
			continue
		}
		effects = append(effects, carrier.load(name, "", footprint, now)...)
	}
	return effects
}

func (carrier *Carrier) unloads(now time.Time) []CarrierEffect {
	var effects []CarrierEffect
	for _, item := range carrier.ledger.Items() {
		if item.Model() != "" || item.Leaving() || slices.Contains(carrier.models, item.Name()) {
			continue
		}
		if carrier.confirmed != carrier.version {
			return append(effects, carrier.confirm()...)
		}
		if carrier.ledger.Unload(item.Name(), now) == nil {
			effects = append(effects, OrderUnload{Name: item.Name()})
		}
	}
	return effects
}

func (carrier *Carrier) confirm() []CarrierEffect {
	if carrier.confirming {
		return nil
	}
	carrier.confirming = true
	return []CarrierEffect{ConfirmPlan{}}
}

// Adapter returns the orders that make an adapter resident, none when it is or
// has no room now.
func (carrier *Carrier) Adapter(name, model string, footprint int64, now time.Time) []CarrierEffect {
	if carrier.ledger.Item(name) != nil || !carrier.ledger.Open(now) {
		return nil
	}
	return carrier.load(name, model, footprint, now)
}

// load reserves room, and frees that of idle adapters when there is none.
func (carrier *Carrier) load(name, model string, footprint int64, now time.Time) []CarrierEffect {
	if carrier.ledger.Reserve(name, model, footprint, now) == nil {
		return []CarrierEffect{OrderLoad{Name: name, Model: model, Footprint: footprint}}
	}
	var oldest *memory.Item
	for _, item := range carrier.ledger.Items() {
		if item.Model() == "" || item.Leaving() || now.Sub(item.Used()) < adapterIdle {
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

// adapterIdle is how long an adapter must be unused before it is evicted.
const adapterIdle = 5 * time.Second
