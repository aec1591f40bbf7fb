package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// CallSnapshot asks an entry for the documents that it serves by.
const CallSnapshot = "/peer/snapshot"

// SnapshotRequest asks for what an instance that cannot reach the platform
// needs.
type SnapshotRequest struct{}

// Snapshot holds the platform's documents as an entry last read them.
type Snapshot struct {
	Config     []byte        // empty when the entry knows none
	Targets    []byte        // empty when the entry knows none
	VersionAge time.Duration // since Config was known to be the newest
	List       uint64        // number of Targets
	ListAge    time.Duration // since Targets was known to be the newest
}

func (snapshotRequest *SnapshotRequest) appendTo(*writer) {}

func (snapshotRequest *SnapshotRequest) field(protowire.Number, value) {}

func (snapshot *Snapshot) appendTo(writer *writer) {
	writer.bytes(1, snapshot.Config)
	writer.bytes(2, snapshot.Targets)
	writer.varint(3, uint64(snapshot.VersionAge))
	writer.varint(4, snapshot.List)
	writer.varint(5, uint64(snapshot.ListAge))
}

func (snapshot *Snapshot) field(number protowire.Number, value value) {
	switch number {
	case 1:
		snapshot.Config = value.copied()
	case 2:
		snapshot.Targets = value.copied()
	case 3:
		snapshot.VersionAge = time.Duration(value.number)
	case 4:
		snapshot.List = value.number
	case 5:
		snapshot.ListAge = time.Duration(value.number)
	}
}
