package wire

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// MaxDatagramBytes bounds one datagram between two processes.
const MaxDatagramBytes = 60 << 10

// Total is a figure under a name.
type Total struct {
	Name  string
	Value float64
}

// EntryState is what an entry tells other entries and agents, several times a
// second.
type EntryState struct {
	Name         string
	Incarnation  uint64
	Version      uint64 // configuration in force
	Leaving      bool
	Spent        []Total       // cost units since the start, by customer
	Levels       []Total       // cost units left in the buckets, by customer
	Wanted       []Total       // tokens asked for since the start, by model
	Used         []AdapterUse  // adapters used since the last message, at the agent's target
	PlanFence    uint64        // of the planner that the entry is, 0 when it is none
	VersionAge   time.Duration // since the version was known to be the newest
	List         uint64        // number of the list of targets, 0 without one
	ListAge      time.Duration // since the list was known to be the newest
	Entries      []string      // addresses of some entries that sent a message lately
	ModelMissing bool          // requests ask for a model that no target holds
	Holding      uint64        // to an agent: number of the last change of its target's holding that the entry knows
}

// AdapterUse names an adapter that requests use.
type AdapterUse struct {
	Model   string
	Adapter string
}

// ResidentState is a model that a target holds.
type ResidentState struct {
	Model    string
	Adapters []string
}

// TargetState is what an agent tells entries of its target.
type TargetState struct {
	Target    string
	Born      int64 // Unix milliseconds of the target's start
	Number    uint64
	Running   int
	Waiting   int
	Starting  int
	Busy      bool
	Draining  bool
	Leaves    time.Duration // until the target is gone, 0 for none
	Sequence  uint64
	UsedKV    int
	TotalKV   int
	Models    []ResidentState
	Pending   []string      // adapters on their way, as MODEL/ADAPTER
	Host      []string      // models with a copy in host memory
	Disk      []string      // models with a copy on disk
	Begun     []Total       // loads from the weight store of the last seconds: model and age in ms
	Loading   string        // model being loaded, empty for none
	BusyFor   time.Duration // until the order under way should end
	Able      bool          // the agent may give orders
	PlanFence uint64        // highest fence of the planners that have sent commands
	Entries   []string      // addresses of the subscribed entries
	Full      bool          // the message holds the fields that TakeHolding takes over
	Holding   uint64        // number of the last change of these fields
}

// TakeHolding takes over what a target holds from an earlier full message.
func (targetState *TargetState) TakeHolding(full *TargetState) {
	targetState.TotalKV = full.TotalKV
	targetState.Models = full.Models
	targetState.Pending = full.Pending
	targetState.Host = full.Host
	targetState.Disk = full.Disk
	targetState.Begun = full.Begun
	targetState.Loading = full.Loading
	targetState.Able = full.Able
	targetState.PlanFence = full.PlanFence
	targetState.Entries = full.Entries
}

// LoadOnly returns a copy without what the target holds, for messages between
// two changes of it.
func (targetState *TargetState) LoadOnly() *TargetState {
	short := *targetState
	short.TakeHolding(&TargetState{})
	short.Full = false
	return &short
}

// Command asks an agent for a change of what its target holds.
type Command struct {
	ID      uint64
	Target  string
	Fence   uint64 // of the planner; 0 for adapters
	Unload  []string
	Load    string        // model
	Adapter string        // of Load; empty for the model itself
	Latest  time.Duration // the command is void after this, counted from its arrival
}

// Result answers a command.
type Result struct {
	ID     uint64
	Done   bool
	Reason string // of a refusal
}

// The first byte of a datagram names its message.
const (
	datagramEntry byte = iota + 1
	datagramTarget
	datagramCommand
	datagramResult
)

// EncodeDatagram returns a message as one datagram.
func EncodeDatagram(message Message) ([]byte, error) {
	kind := byte(0)
	switch message.(type) {
	case *EntryState:
		kind = datagramEntry
	case *TargetState:
		kind = datagramTarget
	case *Command:
		kind = datagramCommand
	case *Result:
		kind = datagramResult
	default:
		return nil, errors.Newf("message of type %T is not sent as a datagram", message)
	}
	writer := &writer{buf: []byte{kind}}
	message.appendTo(writer)
	if len(writer.buf) > MaxDatagramBytes {
		return nil, errors.Newf("datagram of %d bytes is over %d", len(writer.buf), MaxDatagramBytes)
	}
	return writer.buf, nil
}

// DecodeDatagram reads a message.
func DecodeDatagram(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, errors.New("datagram is empty")
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
		message = &Result{}
	default:
		return nil, errors.Newf("datagram of kind %d is unknown", data[0])
	}
	return message, parse(data[1:], message)
}

func (total *Total) appendTo(writer *writer) {
	writer.text(1, total.Name)
	writer.varint(2, math.Float64bits(total.Value))
}

func (total *Total) field(number protowire.Number, value value) {
	switch number {
	case 1:
		total.Name = value.text()
	case 2:
		total.Value = math.Float64frombits(value.number)
	}
}

func (writer *writer) totals(number protowire.Number, totals []Total) {
	for index := range totals {
		writer.message(number, &totals[index])
	}
}

func appendTotal(totals []Total, data []byte) []Total {
	var total Total
	if parse(data, &total) != nil {
		return totals
	}
	return append(totals, total)
}

func (entryState *EntryState) appendTo(writer *writer) {
	writer.text(1, entryState.Name)
	writer.varint(2, entryState.Incarnation)
	writer.varint(3, entryState.Version)
	writer.flag(4, entryState.Leaving)
	writer.totals(5, entryState.Spent)
	writer.totals(6, entryState.Wanted)
	writer.totals(7, entryState.Levels)
	for index := range entryState.Used {
		writer.message(8, &entryState.Used[index])
	}
	writer.varint(9, entryState.PlanFence)
	writer.duration(10, entryState.VersionAge)
	writer.varint(11, entryState.List)
	writer.duration(12, entryState.ListAge)
	writer.texts(13, entryState.Entries)
	writer.flag(14, entryState.ModelMissing)
	writer.varint(15, entryState.Holding)
}

func (entryState *EntryState) field(number protowire.Number, value value) {
	switch number {
	case 1:
		entryState.Name = value.text()
	case 2:
		entryState.Incarnation = value.number
	case 3:
		entryState.Version = value.number
	case 4:
		entryState.Leaving = value.flag()
	case 5:
		entryState.Spent = appendTotal(entryState.Spent, value.bytes)
	case 6:
		entryState.Wanted = appendTotal(entryState.Wanted, value.bytes)
	case 7:
		entryState.Levels = appendTotal(entryState.Levels, value.bytes)
	case 8:
		var use AdapterUse
		if parse(value.bytes, &use) == nil {
			entryState.Used = append(entryState.Used, use)
		}
	case 9:
		entryState.PlanFence = value.number
	case 10:
		entryState.VersionAge = value.duration()
	case 11:
		entryState.List = value.number
	case 12:
		entryState.ListAge = value.duration()
	case 13:
		entryState.Entries = append(entryState.Entries, value.text())
	case 14:
		entryState.ModelMissing = value.flag()
	case 15:
		entryState.Holding = value.number
	}
}

func (adapterUse *AdapterUse) appendTo(writer *writer) {
	writer.text(1, adapterUse.Model)
	writer.text(2, adapterUse.Adapter)
}

func (adapterUse *AdapterUse) field(number protowire.Number, value value) {
	switch number {
	case 1:
		adapterUse.Model = value.text()
	case 2:
		adapterUse.Adapter = value.text()
	}
}

func (residentState *ResidentState) appendTo(writer *writer) {
	writer.text(1, residentState.Model)
	writer.texts(2, residentState.Adapters)
}

func (residentState *ResidentState) field(number protowire.Number, value value) {
	switch number {
	case 1:
		residentState.Model = value.text()
	case 2:
		residentState.Adapters = append(residentState.Adapters, value.text())
	}
}

func (writer *writer) texts(number protowire.Number, texts []string) {
	for _, text := range texts {
		writer.text(number, text)
	}
}

func (targetState *TargetState) appendTo(writer *writer) {
	writer.text(1, targetState.Target)
	writer.varint(2, uint64(targetState.Born))
	writer.varint(3, targetState.Number)
	writer.int(4, targetState.Running)
	writer.int(5, targetState.Waiting)
	writer.int(6, targetState.Starting)
	writer.flag(7, targetState.Busy)
	writer.flag(8, targetState.Draining)
	writer.duration(9, targetState.Leaves)
	writer.varint(10, targetState.Sequence)
	writer.int(11, targetState.UsedKV)
	writer.int(12, targetState.TotalKV)
	for index := range targetState.Models {
		writer.message(13, &targetState.Models[index])
	}
	writer.texts(14, targetState.Pending)
	writer.texts(15, targetState.Host)
	writer.texts(16, targetState.Disk)
	writer.totals(17, targetState.Begun)
	writer.text(18, targetState.Loading)
	writer.duration(19, targetState.BusyFor)
	writer.flag(20, targetState.Able)
	writer.varint(21, targetState.PlanFence)
	writer.texts(22, targetState.Entries)
	writer.flag(23, targetState.Full)
	writer.varint(24, targetState.Holding)
}

func (targetState *TargetState) field(number protowire.Number, value value) {
	switch number {
	case 1:
		targetState.Target = value.text()
	case 2:
		targetState.Born = int64(value.number)
	case 3:
		targetState.Number = value.number
	case 4:
		targetState.Running = value.int()
	case 5:
		targetState.Waiting = value.int()
	case 6:
		targetState.Starting = value.int()
	case 7:
		targetState.Busy = value.flag()
	case 8:
		targetState.Draining = value.flag()
	case 9:
		targetState.Leaves = value.duration()
	case 10:
		targetState.Sequence = value.number
	default:
		targetState.holdingField(number, value)
	}
}

// holdingField reads the fields on memory and what the target holds.
func (targetState *TargetState) holdingField(number protowire.Number, value value) {
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
		targetState.Pending = append(targetState.Pending, value.text())
	case 15:
		targetState.Host = append(targetState.Host, value.text())
	case 16:
		targetState.Disk = append(targetState.Disk, value.text())
	case 17:
		targetState.Begun = appendTotal(targetState.Begun, value.bytes)
	case 18:
		targetState.Loading = value.text()
	case 19:
		targetState.BusyFor = value.duration()
	case 20:
		targetState.Able = value.flag()
	case 21:
		targetState.PlanFence = value.number
	case 22:
		targetState.Entries = append(targetState.Entries, value.text())
	case 23:
		targetState.Full = value.flag()
	case 24:
		targetState.Holding = value.number
	}
}

func (command *Command) appendTo(writer *writer) {
	writer.varint(1, command.ID)
	writer.text(2, command.Target)
	writer.varint(3, command.Fence)
	writer.texts(4, command.Unload)
	writer.text(5, command.Load)
	writer.text(6, command.Adapter)
	writer.duration(7, command.Latest)
}

func (command *Command) field(number protowire.Number, value value) {
	switch number {
	case 1:
		command.ID = value.number
	case 2:
		command.Target = value.text()
	case 3:
		command.Fence = value.number
	case 4:
		command.Unload = append(command.Unload, value.text())
	case 5:
		command.Load = value.text()
	case 6:
		command.Adapter = value.text()
	case 7:
		command.Latest = value.duration()
	}
}

func (result *Result) appendTo(writer *writer) {
	writer.varint(1, result.ID)
	writer.flag(2, result.Done)
	writer.text(3, result.Reason)
}

func (result *Result) field(number protowire.Number, value value) {
	switch number {
	case 1:
		result.ID = value.number
	case 2:
		result.Done = value.flag()
	case 3:
		result.Reason = value.text()
	}
}
