package wire

import "google.golang.org/protobuf/encoding/protowire"

// OrderClaim notifies the agent of a target that the planner looks after the target, since it has
// not heard from the agent. The agent answers with its state.
type OrderClaim struct {
	PlanFence uint64 // fence of the planner
	Fence     uint64 // of the planner's orders to the target, 0 if it gives none so far
}

func (orderClaim *OrderClaim) appendTo(writer *writer) {
	writer.varint(1, orderClaim.PlanFence)
	writer.varint(2, orderClaim.Fence)
}

func (orderClaim *OrderClaim) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		orderClaim.PlanFence = value.varint
	case 2:
		orderClaim.Fence = value.varint
	}
}

// AdaptersUsed names the adapters that requests of an entry used lately at a target without an
// agent, for the entry that gives the target orders.
type AdaptersUsed struct {
	Target string
	Used   []AdapterUse
}

func (adaptersUsed *AdaptersUsed) appendTo(writer *writer) {
	writer.string(1, adaptersUsed.Target)
	for index := range adaptersUsed.Used {
		writer.message(2, &adaptersUsed.Used[index])
	}
}

func (adaptersUsed *AdaptersUsed) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		adaptersUsed.Target = value.string()
	case 2:
		var use AdapterUse
		if parse(value.bytes, &use) == nil {
			adaptersUsed.Used = append(adaptersUsed.Used, use)
		}
	}
}
