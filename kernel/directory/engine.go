package directory

import "context"

// Order asks an engine to load or unload a model or one of its adapters.
type Order struct {
	Load     bool
	Model    string
	Adapter  string // empty for the model itself
	Target   string // ID of the start that is meant
	Sequence uint64 // orders that the target must have accepted so far
	Holder   string
	Fence    uint64
}

// OrderOutcome is what an engine answered to an order.
type OrderOutcome int

// The outcomes. The zero value says that the order may be carried out yet.
const (
	OrderUnknown  OrderOutcome = iota
	OrderAccepted              // it is being carried out
	OrderHolds                 // nothing was left to do, or it is done already
	OrderBusy                  // another order is under way, or the sequence differs
	OrderFenced                // a holder with a higher fence has been seen
	OrderRefused               // it cannot be carried out, or went to another start
)

// String returns the outcome's name.
func (orderOutcome OrderOutcome) String() string {
	names := []string{"unknown", "accepted", "holds", "busy", "fenced", "refused"}
	if int(orderOutcome) < len(names) {
		return names[orderOutcome]
	}
	return "invalid"
}

// Engine is one target that takes orders.
type Engine interface {
	// Report returns what the target says of itself; At is not set.
	Report(ctx context.Context) (Report, error)
	// Identify returns the ID of the target's present start.
	Identify(ctx context.Context) (string, error)
	// Order gives an order.
	Order(ctx context.Context, order Order) (OrderOutcome, error)
}
