package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// PartEvidence is what an entry has seen of a part of prompts, or of a whole request, under
// which targets ended.
type PartEvidence struct {
	Part   uint64        // see quarantine.Part
	Ends   int           // of targets, since an answer under the part last began
	Age    time.Duration // of the latest end
	Begun  bool          // an answer under the part has begun lately
	Since  time.Duration // since then
	With   []uint64      // the other parts of the request under which the latest end came
	Trying bool          // the entry is trying the part
	Ended  []uint32      // hashes of the ends, for a whole request; see package quarantine
}

func (partEvidence *PartEvidence) appendTo(writer *writer) {
	writer.varint(1, partEvidence.Part)
	writer.int(2, partEvidence.Ends)
	writer.duration(3, partEvidence.Age)
	writer.bool(4, partEvidence.Begun)
	writer.duration(5, partEvidence.Since)
	writer.packed(6, partEvidence.With)
	writer.bool(7, partEvidence.Trying)
	writer.keys(8, partEvidence.Ended)
}

func (partEvidence *PartEvidence) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		partEvidence.Part = value.varint
	case 2:
		partEvidence.Ends = value.int()
	case 3:
		partEvidence.Age = value.duration()
	case 4:
		partEvidence.Begun = value.bool()
	case 5:
		partEvidence.Since = value.duration()
	case 6:
		partEvidence.With = value.packed()
	case 7:
		partEvidence.Trying = value.bool()
	case 8:
		partEvidence.Ended = value.keys()
	}
}
