package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// CallSnapshot asks an entry for the documents that it serves by.
const CallSnapshot = "/peer/snapshot"

// SnapshotRequest asks for the documents that are newer than the asker's.
type SnapshotRequest struct {
	Version uint64 // of the asker's configuration, 0 without one
	List    uint64 // number of the asker's list of targets, 0 without one
}

// Snapshot holds the platform's documents as an entry last read them.
type Snapshot struct {
	Config     []byte        // empty when the entry knows no newer one
	Targets    []byte        // empty when the entry knows no newer one
	VersionAge time.Duration // since Config was known to be the newest
	List       uint64        // number of Targets
	ListAge    time.Duration // since Targets was known to be the newest
}

func (snapshotRequest *SnapshotRequest) appendTo(writer *writer) {
	writer.varint(1, snapshotRequest.Version)
	writer.varint(2, snapshotRequest.List)
}

func (snapshotRequest *SnapshotRequest) field(number protowire.Number, value value) {
	switch number {
	case 1:
		snapshotRequest.Version = value.number
	case 2:
		snapshotRequest.List = value.number
	}
}

func (snapshot *Snapshot) appendTo(writer *writer) {
	writer.bytes(1, snapshot.Config)
	writer.bytes(2, snapshot.Targets)
	writer.duration(3, snapshot.VersionAge)
	writer.varint(4, snapshot.List)
	writer.duration(5, snapshot.ListAge)
}

func (snapshot *Snapshot) field(number protowire.Number, value value) {
	switch number {
	case 1:
		snapshot.Config = value.copied()
	case 2:
		snapshot.Targets = value.copied()
	case 3:
		snapshot.VersionAge = value.duration()
	case 4:
		snapshot.List = value.number
	case 5:
		snapshot.ListAge = value.duration()
	}
}
