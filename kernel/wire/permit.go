package wire

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// TargetLimit is what an entry has seen of the limit that a target names.
type TargetLimit struct {
	Target     string
	StartedAt  int64 // start of the target, in Unix milliseconds
	PerSecond  float64
	Named      bool // a response named the limit
	NamedAge   time.Duration
	Cleared    bool          // a response named none
	ClearedAge time.Duration // since the request for it was sent
}

func (targetLimit *TargetLimit) appendTo(writer *writer) {
	writer.string(1, targetLimit.Target)
	writer.varint(2, uint64(targetLimit.StartedAt))
	writer.varint(3, math.Float64bits(targetLimit.PerSecond))
	writer.bool(4, targetLimit.Named)
	writer.duration(5, targetLimit.NamedAge)
	writer.bool(6, targetLimit.Cleared)
	writer.duration(7, targetLimit.ClearedAge)
}

func (targetLimit *TargetLimit) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		targetLimit.Target = value.string()
	case 2:
		targetLimit.StartedAt = int64(value.varint)
	case 3:
		targetLimit.PerSecond = math.Float64frombits(value.varint)
	case 4:
		targetLimit.Named = value.bool()
	case 5:
		targetLimit.NamedAge = value.duration()
	case 6:
		targetLimit.Cleared = value.bool()
	case 7:
		targetLimit.ClearedAge = value.duration()
	}
}

// PermitRequest asks the issuer of a target's permits for one request to the target. It is
// answered by a CommandResult, whose RetryAfter is the wait until a granted permit may be
// used or, if none was granted, until one is free.
type PermitRequest struct {
	ID        uint64
	Target    string
	StartedAt int64         // start of the target, in Unix milliseconds
	PerSecond float64       // the target's limit
	MaxWait   time.Duration // longest wait for which a permit is of use
}

func (permitRequest *PermitRequest) appendTo(writer *writer) {
	writer.varint(1, permitRequest.ID)
	writer.string(2, permitRequest.Target)
	writer.varint(3, uint64(permitRequest.StartedAt))
	writer.varint(4, math.Float64bits(permitRequest.PerSecond))
	writer.duration(5, permitRequest.MaxWait)
}

func (permitRequest *PermitRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		permitRequest.ID = value.varint
	case 2:
		permitRequest.Target = value.string()
	case 3:
		permitRequest.StartedAt = int64(value.varint)
	case 4:
		permitRequest.PerSecond = math.Float64frombits(value.varint)
	case 5:
		permitRequest.MaxWait = value.duration()
	}
}
