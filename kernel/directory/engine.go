package directory

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Order asks an engine to load or unload a model or one of its adapters.
type Order struct {
	Load     bool // false to unload
	Model    string
	Adapter  string // empty for the model itself
	Target   string // ID of the incarnation that the order is for
	Sequence uint64 // number of orders that the target must have accepted so far
	Holder   string // lease holder that gives the order
	Fence    uint64 // fencing number of the lease
}

// OrderOutcome is an engine's answer to an order.
type OrderOutcome int

// The outcomes. The zero value means that the order may still be carried out.
const (
	OrderUnknown     OrderOutcome = iota
	OrderAccepted                 // the order is being carried out
	OrderAlreadyDone              // the state that the order asks for is reached already
	OrderBusy                     // another order is in progress, or the sequence differs
	OrderFenced                   // the engine has seen a higher fencing number
	OrderRefused                  // the order cannot be carried out, or is for another incarnation
)

// String returns the outcome's name.
func (orderOutcome OrderOutcome) String() string {
	names := []string{"unknown", "accepted", "holds", "busy", "fenced", "refused"}
	if int(orderOutcome) < len(names) {
		return names[orderOutcome]
	}
	return "invalid"
}

// RestError reports that a target has turned a call away and asks its caller for no
// further ones for some time.
type RestError struct{ rest time.Duration }

// NewRestError returns the error for a rest.
func NewRestError(rest time.Duration) *RestError { return &RestError{rest: rest} }

// Rest returns for how long the target asks for no calls.
func (restError *RestError) Rest() time.Duration { return restError.rest }

// Error describes the rest.
func (restError *RestError) Error() string {
	return fmt.Sprintf("the target asks for a rest of %v", restError.rest)
}

// ErrAnswered marks the error of a call that the target has answered, though not as it should.
var ErrAnswered = errors.New("the target answered in an unexpected way")

// Engine is a client of a target that takes orders. Its errors wrap a RestError if the
// target asks for a rest; the user makes no calls meanwhile.
type Engine interface {
	// Report returns the target's report of itself. It leaves At and BusyFor to the
	// caller. Its error is marked with ErrAnswered if the target is not silent.
	Report(ctx context.Context) (Report, error)
	// Identify returns the ID of the target's current incarnation.
	Identify(ctx context.Context) (string, error)
	// Order gives an order to the target and returns its answer. It returns
	// OrderUnknown if the order may still be carried out.
	Order(ctx context.Context, order Order) (OrderOutcome, error)
}
