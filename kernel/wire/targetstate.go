package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// TargetState is the state of a target that its agent sends to the subscribed
// entries, or the planner to all entries if the agent is silent.
type TargetState struct {
	Target           string
	StartedAt        int64         // start of the target, in Unix milliseconds
	Number           uint64        // message number, rising from the agent's start
	Running          int           // requests
	Waiting          int           // requests in the target's queue
	Starting         int           // queued or running requests without an event so far
	Busy             bool          // an order is in progress
	Draining         bool          // the target takes no new requests
	RemovedIn        time.Duration // time until the target shuts down, 0 when no shutdown is announced
	Sequence         uint64        // orders accepted since the target's start
	UsedKV           int           // tokens of KV cache that cannot be evicted
	TotalKV          int           // tokens of KV cache
	Models           []ResidentState
	Pending          []string      // adapters being transferred to the target, as MODEL/ADAPTER
	Host             []string      // models with a copy in host memory
	Disk             []string      // models with a copy on disk
	RecentLoads      []NamedValue  // recent loads from the weight store: model, and age in seconds
	Loading          string        // model being loaded, empty for none
	BusyFor          time.Duration // expected time until the current load or unload completes
	CanSendOrders    bool          // the agent holds the fence that it needs to send orders
	PlanFence        uint64        // highest fence of any planner that has sent a command
	Entries          []string      // addresses of the subscribed entries; empty if a full message does not list them
	Full             bool          // the message contains the fields that CopyInventory copies
	InventoryVersion uint64        // version of these fields, raised with every change
	Unread           []uint64      // prompt tokens that the target has yet to read, by urgency
	Cached           []uint32      // keys of shared prompt parts that came into the prefix cache or were used lately
	Evicted          []uint32      // keys of shared prompt parts that left it lately
	Interval         time.Duration // longest time until the next message
	Unreachable      bool          // the target does not answer its agent; the other fields are those of its last answer
	Remote           bool          // the sender is the planner, on another machine than the target; the message is a full one
}

// CopyInventory copies the fields that change rarely, chiefly the models resident on
// the target, from an earlier full message.
func (targetState *TargetState) CopyInventory(full *TargetState) {
	targetState.TotalKV = full.TotalKV
	targetState.Models = full.Models
	targetState.Pending = full.Pending
	targetState.Host = full.Host
	targetState.Disk = full.Disk
	targetState.RecentLoads = full.RecentLoads
	targetState.Loading = full.Loading
	targetState.CanSendOrders = full.CanSendOrders
	targetState.PlanFence = full.PlanFence
	targetState.Entries = full.Entries
}

// WithoutInventory returns a copy without the fields that CopyInventory copies. It is
// sent while these fields do not change, to keep datagrams small.
func (targetState *TargetState) WithoutInventory() *TargetState {
	partial := *targetState
	partial.CopyInventory(&TargetState{})
	partial.Full = false
	return &partial
}

func (targetState *TargetState) appendTo(writer *writer) {
	writer.string(1, targetState.Target)
	writer.varint(2, uint64(targetState.StartedAt))
	writer.varint(3, targetState.Number)
	writer.int(4, targetState.Running)
	writer.int(5, targetState.Waiting)
	writer.int(6, targetState.Starting)
	writer.bool(7, targetState.Busy)
	writer.bool(8, targetState.Draining)
	writer.duration(9, targetState.RemovedIn)
	writer.varint(10, targetState.Sequence)
	writer.int(11, targetState.UsedKV)
	writer.int(12, targetState.TotalKV)
	for index := range targetState.Models {
		writer.message(13, &targetState.Models[index])
	}
	writer.strings(14, targetState.Pending)
	writer.strings(15, targetState.Host)
	writer.strings(16, targetState.Disk)
	writer.namedValues(17, targetState.RecentLoads)
	writer.string(18, targetState.Loading)
	writer.duration(19, targetState.BusyFor)
	writer.bool(20, targetState.CanSendOrders)
	writer.varint(21, targetState.PlanFence)
	writer.strings(22, targetState.Entries)
	writer.bool(23, targetState.Full)
	writer.varint(24, targetState.InventoryVersion)
	writer.packed(25, targetState.Unread)
	writer.keys(26, targetState.Cached)
	writer.keys(27, targetState.Evicted)
	writer.duration(28, targetState.Interval)
	writer.bool(29, targetState.Unreachable)
	writer.bool(30, targetState.Remote)
}

func (targetState *TargetState) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		targetState.Target = value.string()
	case 2:
		targetState.StartedAt = int64(value.varint)
	case 3:
		targetState.Number = value.varint
	case 4:
		targetState.Running = value.int()
	case 5:
		targetState.Waiting = value.int()
	case 6:
		targetState.Starting = value.int()
	case 7:
		targetState.Busy = value.bool()
	case 8:
		targetState.Draining = value.bool()
	case 9:
		targetState.RemovedIn = value.duration()
	case 10:
		targetState.Sequence = value.varint
	default:
		targetState.setLaterField(number, value)
	}
}

// setLaterField decodes fields 11 to 30: memory, resident models, loads, subscribers and
// prompts.
func (targetState *TargetState) setLaterField(number protowire.Number, value fieldValue) {
	switch number {
	case 11:
		targetState.UsedKV = value.int()
	case 12:
		targetState.TotalKV = value.int()
	case 13:
		var resident ResidentState
		if parse(value.bytes, &resident) == nil {
			targetState.Models = append(targetState.Models, resident)
		}
	case 14:
		targetState.Pending = append(targetState.Pending, value.string())
	case 15:
		targetState.Host = append(targetState.Host, value.string())
	case 16:
		targetState.Disk = append(targetState.Disk, value.string())
	case 17:
		targetState.RecentLoads = appendNamedValue(targetState.RecentLoads, value.bytes)
	case 18:
		targetState.Loading = value.string()
	case 19:
		targetState.BusyFor = value.duration()
	case 20:
		targetState.CanSendOrders = value.bool()
	case 21:
		targetState.PlanFence = value.varint
	case 22:
		targetState.Entries = append(targetState.Entries, value.string())
	case 23:
		targetState.Full = value.bool()
	case 24:
		targetState.InventoryVersion = value.varint
	case 25:
		targetState.Unread = value.packed()
	case 26:
		targetState.Cached = value.keys()
	case 27:
		targetState.Evicted = value.keys()
	case 28:
		targetState.Interval = value.duration()
	case 29:
		targetState.Unreachable = value.bool()
	case 30:
		targetState.Remote = value.bool()
	}
}
