package wire

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// GrantRequest asks the owner of a customer's rate to grant the cost of one request. It is answered
// by a CommandResult, whose RetryAfter, if nothing was granted, is the time within which the cost is
// not granted either, 0 if the receiver is not the owner.
type GrantRequest struct {
	ID       uint64
	Customer string
	Cost     float64 // cost units
}

func (grantRequest *GrantRequest) appendTo(writer *writer) {
	writer.varint(1, grantRequest.ID)
	writer.string(2, grantRequest.Customer)
	writer.varint(3, math.Float64bits(grantRequest.Cost))
}

func (grantRequest *GrantRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		grantRequest.ID = value.varint
	case 2:
		grantRequest.Customer = value.string()
	case 3:
		grantRequest.Cost = math.Float64frombits(value.varint)
	}
}
