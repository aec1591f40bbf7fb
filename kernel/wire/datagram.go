package wire

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// MaxDatagramBytes is the largest datagram that is sent or received.
const MaxDatagramBytes = 60 << 10

// SubscriptionTTL is how long an agent sends its state to an entry that has sent it no
// message, and lists that entry in TargetState.Entries.
const SubscriptionTTL = 3 * time.Second

// NamedValue is a number with a name, such as a counter of one customer or model.
type NamedValue struct {
	Name  string
	Value float64
}

// EntryState is the state that an entry sends to other entries and to agents,
// several times a second. Its counters run from the entry's start and receivers take
// differences, so that the next message makes up for a lost one.
type EntryState struct {
	Name             string
	Incarnation      uint64
	Version          uint64 // version of the configuration in force
	Leaving          bool
	Spent            []NamedValue   // cost units spent since the entry started, less refunds, by customer
	Refunds          []NamedValue   // cost units refunded since the entry started, by customer
	RefundAges       []NamedValue   // sum of the refunds, each times the seconds since its charge, by customer
	RateLeft         []NamedValue   // cost units that the fleet may still spend within the window, by customer
	Demand           []NamedValue   // tokens requested since the entry started, by model; used by the planner
	UsedAdapters     []AdapterUse   // sent to an agent: the adapters used at its target since the last message
	PlanFence        uint64         // fence of the planner that this entry runs, 0 when it runs none
	VersionAge       time.Duration  // time since the sender itself last read the configuration
	ListVersion      uint64         // version of the list of targets, 0 without one
	ListAge          time.Duration  // time since the sender itself last read the list
	Entries          []string       // addresses of some entries that sent a message recently
	ModelMissing     bool           // requests wait for a model that is resident on no target
	ReportRequested  bool           // the receiver is to send its state to the sender without delay
	InventoryVersion uint64         // sent to an agent: the last TargetState.InventoryVersion received from it
	Suspects         []PartEvidence // of parts of prompts under which targets have ended
	Limits           []TargetLimit  // that targets have named to the sender
	Broken           []BrokenTarget // to which a connection of the sender has just broken
	Admitted         []uint64       // sent by the planner: origins of the software versions at which streams may begin
	HoldsOrders      bool           // sent by the planner to an agent: the planner gives the orders to the agent's target
	AnswersGrants    bool           // the sender answers a GrantRequest
	GrantsNothing    bool           // the sender has resigned as an owner of customers' rates
}

// AdapterUse names an adapter that requests used, and its base model.
type AdapterUse struct {
	Model   string
	Adapter string
}

// ResidentState is a model that is resident on a target, with its adapters.
type ResidentState struct {
	Model    string
	Adapters []string
}

// Command asks an agent to load or unload models or adapters on its target.
type Command struct {
	ID       uint64
	Target   string
	Fence    uint64        // fence of the planner; 0 for adapter loads, which entries request themselves
	Unload   []string      // models
	Load     string        // model
	Adapter  string        // adapter of the model Load; empty to load the model itself
	ValidFor time.Duration // validity, counted from arrival; the agent drops the command after it
}

// CommandResult is the answer to the Command, RetryRequest, PermitRequest, OriginRequest or
// GrantRequest with the same ID.
type CommandResult struct {
	ID         uint64
	Done       bool
	Reason     string        // why the command was refused or failed
	RetryAfter time.Duration // of a refused RetryRequest: time within which another is refused too; see also PermitRequest and GrantRequest
	Origin     uint64        // of the stream of an OriginRequest, if Done
	Excess     bool          // of a GrantRequest, if Done: the customer spends more than its rate and burst
}

// The first byte of a datagram is its message kind.
const (
	datagramEntry byte = iota + 1
	datagramTarget
	datagramCommand
	datagramResult
	datagramPrompt
	datagramRetry
	datagramPermit
	datagramOrigins
	datagramOriginRequest
	datagramBroken
	datagramPlannerNotice
	datagramOrderClaim
	datagramAdaptersUsed
	datagramGrant
)

// datagramKinds names the message kinds, for metrics.
var datagramKinds = map[byte]string{
	datagramEntry: "entry", datagramTarget: "target", datagramCommand: "command", datagramResult: "result", datagramPrompt: "prompt",
	datagramRetry: "retry", datagramPermit: "permit", datagramOrigins: "origins", datagramOriginRequest: "origin-request",
	datagramBroken: "broken", datagramPlannerNotice: "planner-notice",
	datagramOrderClaim: "order-claim", datagramAdaptersUsed: "adapters-used", datagramGrant: "grant",
}

// DatagramKind returns the name of the message kind of an encoded datagram, for metrics.
func DatagramKind(data []byte) string {
	if len(data) == 0 || datagramKinds[data[0]] == "" {
		return "unknown"
	}
	return datagramKinds[data[0]]
}

// EncodeDatagram encodes a message as one datagram. It fails when the message has no
// datagram kind or exceeds MaxDatagramBytes.
func EncodeDatagram(message Message) ([]byte, error) {
	kind := byte(0)
	switch message.(type) {
	case *EntryState:
		kind = datagramEntry
	case *TargetState:
		kind = datagramTarget
	case *Command:
		kind = datagramCommand
	case *CommandResult:
		kind = datagramResult
	case *SentPrompt:
		kind = datagramPrompt
	case *RetryRequest:
		kind = datagramRetry
	case *PermitRequest:
		kind = datagramPermit
	case *StreamOrigins:
		kind = datagramOrigins
	case *OriginRequest:
		kind = datagramOriginRequest
	case *BrokenTarget:
		kind = datagramBroken
	case *PlannerNotice:
		kind = datagramPlannerNotice
	case *OrderClaim:
		kind = datagramOrderClaim
	case *AdaptersUsed:
		kind = datagramAdaptersUsed
	case *GrantRequest:
		kind = datagramGrant
	default:
		return nil, errors.Newf("message of type %T cannot be sent as a datagram", message)
	}
	writer := &writer{buf: []byte{kind}}
	message.appendTo(writer)
	if len(writer.buf) > MaxDatagramBytes {
		return nil, errors.Newf("datagram of %d bytes exceeds the limit of %d bytes", len(writer.buf), MaxDatagramBytes)
	}
	return writer.buf, nil
}

// DecodeDatagram decodes the message in a datagram. It fails when the datagram is
// empty or malformed, or of an unknown kind.
func DecodeDatagram(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, errors.New("datagram is empty, want a message kind and fields")
	}
	var message Message
	switch data[0] {
	case datagramEntry:
		message = &EntryState{}
	case datagramTarget:
		message = &TargetState{}
	case datagramCommand:
		message = &Command{}
	case datagramResult:
		message = &CommandResult{}
	case datagramPrompt:
		message = &SentPrompt{}
	case datagramRetry:
		message = &RetryRequest{}
	case datagramPermit:
		message = &PermitRequest{}
	case datagramOrigins:
		message = &StreamOrigins{}
	case datagramOriginRequest:
		message = &OriginRequest{}
	case datagramBroken:
		message = &BrokenTarget{}
	case datagramPlannerNotice:
		message = &PlannerNotice{}
	case datagramOrderClaim:
		message = &OrderClaim{}
	case datagramAdaptersUsed:
		message = &AdaptersUsed{}
	case datagramGrant:
		message = &GrantRequest{}
	default:
		return nil, errors.Newf("datagram is of unknown message kind %d, want 1 to %d", data[0], datagramGrant)
	}
	return message, parse(data[1:], message)
}

func (namedValue *NamedValue) appendTo(writer *writer) {
	writer.string(1, namedValue.Name)
	writer.varint(2, math.Float64bits(namedValue.Value))
}

func (namedValue *NamedValue) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		namedValue.Name = value.string()
	case 2:
		namedValue.Value = math.Float64frombits(value.varint)
	}
}

func (writer *writer) namedValues(number protowire.Number, namedValues []NamedValue) {
	for index := range namedValues {
		writer.message(number, &namedValues[index])
	}
}

// appendNamedValue appends the NamedValue encoded in data, and ignores a malformed one.
func appendNamedValue(namedValues []NamedValue, data []byte) []NamedValue {
	var namedValue NamedValue
	if parse(data, &namedValue) != nil {
		return namedValues
	}
	return append(namedValues, namedValue)
}

func (entryState *EntryState) appendTo(writer *writer) {
	writer.string(1, entryState.Name)
	writer.varint(2, entryState.Incarnation)
	writer.varint(3, entryState.Version)
	writer.bool(4, entryState.Leaving)
	writer.namedValues(5, entryState.Spent)
	writer.namedValues(6, entryState.Demand)
	writer.namedValues(7, entryState.RateLeft)
	for index := range entryState.UsedAdapters {
		writer.message(8, &entryState.UsedAdapters[index])
	}
	writer.varint(9, entryState.PlanFence)
	writer.duration(10, entryState.VersionAge)
	writer.varint(11, entryState.ListVersion)
	writer.duration(12, entryState.ListAge)
	writer.strings(13, entryState.Entries)
	writer.bool(14, entryState.ModelMissing)
	writer.varint(15, entryState.InventoryVersion)
	writer.bool(16, entryState.ReportRequested)
	writer.namedValues(17, entryState.Refunds)
	writer.namedValues(18, entryState.RefundAges)
	for index := range entryState.Suspects {
		writer.message(19, &entryState.Suspects[index])
	}
	for index := range entryState.Limits {
		writer.message(20, &entryState.Limits[index])
	}
	for index := range entryState.Broken {
		writer.message(21, &entryState.Broken[index])
	}
	for _, origin := range entryState.Admitted {
		writer.varint(22, origin)
	}
	writer.bool(23, entryState.HoldsOrders)
	writer.bool(24, entryState.AnswersGrants)
	writer.bool(25, entryState.GrantsNothing)
}

func (entryState *EntryState) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		entryState.Name = value.string()
	case 2:
		entryState.Incarnation = value.varint
	case 3:
		entryState.Version = value.varint
	case 4:
		entryState.Leaving = value.bool()
	case 5:
		entryState.Spent = appendNamedValue(entryState.Spent, value.bytes)
	case 6:
		entryState.Demand = appendNamedValue(entryState.Demand, value.bytes)
	case 7:
		entryState.RateLeft = appendNamedValue(entryState.RateLeft, value.bytes)
	case 8:
		var use AdapterUse
		if parse(value.bytes, &use) == nil {
			entryState.UsedAdapters = append(entryState.UsedAdapters, use)
		}
	case 9:
		entryState.PlanFence = value.varint
	case 10:
		entryState.VersionAge = value.duration()
	case 11:
		entryState.ListVersion = value.varint
	case 12:
		entryState.ListAge = value.duration()
	case 13:
		entryState.Entries = append(entryState.Entries, value.string())
	case 14:
		entryState.ModelMissing = value.bool()
	case 15:
		entryState.InventoryVersion = value.varint
	case 16:
		entryState.ReportRequested = value.bool()
	case 17:
		entryState.Refunds = appendNamedValue(entryState.Refunds, value.bytes)
	case 18:
		entryState.RefundAges = appendNamedValue(entryState.RefundAges, value.bytes)
	case 19:
		var evidence PartEvidence
		if parse(value.bytes, &evidence) == nil {
			entryState.Suspects = append(entryState.Suspects, evidence)
		}
	case 20:
		var limit TargetLimit
		if parse(value.bytes, &limit) == nil {
			entryState.Limits = append(entryState.Limits, limit)
		}
	case 21:
		var broken BrokenTarget
		if parse(value.bytes, &broken) == nil {
			entryState.Broken = append(entryState.Broken, broken)
		}
	case 22:
		entryState.Admitted = append(entryState.Admitted, value.varint)
	case 23:
		entryState.HoldsOrders = value.bool()
	case 24:
		entryState.AnswersGrants = value.bool()
	case 25:
		entryState.GrantsNothing = value.bool()
	}
}

func (adapterUse *AdapterUse) appendTo(writer *writer) {
	writer.string(1, adapterUse.Model)
	writer.string(2, adapterUse.Adapter)
}

func (adapterUse *AdapterUse) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		adapterUse.Model = value.string()
	case 2:
		adapterUse.Adapter = value.string()
	}
}

func (residentState *ResidentState) appendTo(writer *writer) {
	writer.string(1, residentState.Model)
	writer.strings(2, residentState.Adapters)
}

func (residentState *ResidentState) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		residentState.Model = value.string()
	case 2:
		residentState.Adapters = append(residentState.Adapters, value.string())
	}
}

func (writer *writer) strings(number protowire.Number, values []string) {
	for _, value := range values {
		writer.string(number, value)
	}
}

func (command *Command) appendTo(writer *writer) {
	writer.varint(1, command.ID)
	writer.string(2, command.Target)
	writer.varint(3, command.Fence)
	writer.strings(4, command.Unload)
	writer.string(5, command.Load)
	writer.string(6, command.Adapter)
	writer.duration(7, command.ValidFor)
}

func (command *Command) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		command.ID = value.varint
	case 2:
		command.Target = value.string()
	case 3:
		command.Fence = value.varint
	case 4:
		command.Unload = append(command.Unload, value.string())
	case 5:
		command.Load = value.string()
	case 6:
		command.Adapter = value.string()
	case 7:
		command.ValidFor = value.duration()
	}
}

func (commandResult *CommandResult) appendTo(writer *writer) {
	writer.varint(1, commandResult.ID)
	writer.bool(2, commandResult.Done)
	writer.string(3, commandResult.Reason)
	writer.duration(4, commandResult.RetryAfter)
	writer.varint(5, commandResult.Origin)
	writer.bool(6, commandResult.Excess)
}

func (commandResult *CommandResult) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		commandResult.ID = value.varint
	case 2:
		commandResult.Done = value.bool()
	case 3:
		commandResult.Reason = value.string()
	case 4:
		commandResult.RetryAfter = value.duration()
	case 5:
		commandResult.Origin = value.varint
	case 6:
		commandResult.Excess = value.bool()
	}
}
