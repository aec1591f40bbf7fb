package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// CallSnapshot asks an entry for its configuration and its list of targets.
const CallSnapshot = "/peer/snapshot"

// SnapshotRequest asks for the configuration and the list of targets, each only if it
// is newer than the requester's.
type SnapshotRequest struct {
	Version     uint64 // version of the requester's configuration, 0 without one
	ListVersion uint64 // version of the requester's list of targets, 0 without one
}

// Snapshot contains the documents of the platform's API as the entry last read them.
type Snapshot struct {
	Config      []byte        // the configuration; empty when the requester's is not older
	Targets     []byte        // the list of targets; empty when the requester's is not older
	VersionAge  time.Duration // time since Config was last confirmed to be the newest
	ListVersion uint64        // version of Targets
	ListAge     time.Duration // time since Targets was last confirmed to be the newest
}

func (snapshotRequest *SnapshotRequest) appendTo(writer *writer) {
	writer.varint(1, snapshotRequest.Version)
	writer.varint(2, snapshotRequest.ListVersion)
}

func (snapshotRequest *SnapshotRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		snapshotRequest.Version = value.varint
	case 2:
		snapshotRequest.ListVersion = value.varint
	}
}

func (snapshot *Snapshot) appendTo(writer *writer) {
	writer.bytes(1, snapshot.Config)
	writer.bytes(2, snapshot.Targets)
	writer.duration(3, snapshot.VersionAge)
	writer.varint(4, snapshot.ListVersion)
	writer.duration(5, snapshot.ListAge)
}

func (snapshot *Snapshot) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		snapshot.Config = value.clone()
	case 2:
		snapshot.Targets = value.clone()
	case 3:
		snapshot.VersionAge = value.duration()
	case 4:
		snapshot.ListVersion = value.varint
	case 5:
		snapshot.ListAge = value.duration()
	}
}
