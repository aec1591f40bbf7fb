package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// BrokenTarget is a target to which a connection of an entry has broken.
type BrokenTarget struct {
	Target    string
	StartedAt int64         // start of the target, in Unix milliseconds
	Age       time.Duration // since then
	All       bool          // all connections of the entry to the target broke
}

func (brokenTarget *BrokenTarget) appendTo(writer *writer) {
	writer.string(1, brokenTarget.Target)
	writer.varint(2, uint64(brokenTarget.StartedAt))
	writer.duration(3, brokenTarget.Age)
	writer.bool(4, brokenTarget.All)
}

func (brokenTarget *BrokenTarget) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		brokenTarget.Target = value.string()
	case 2:
		brokenTarget.StartedAt = int64(value.varint)
	case 3:
		brokenTarget.Age = value.duration()
	case 4:
		brokenTarget.All = value.bool()
	}
}
