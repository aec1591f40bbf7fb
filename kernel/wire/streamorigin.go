package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// StreamOrigins announces to an entry which software versions began streams. It is not
// answered.
type StreamOrigins struct {
	Records []StreamOrigin
}

// StreamOrigin is which software version of which service began a stream. Both are hashes,
// see package stream.
type StreamOrigin struct {
	Stream    uint64
	Origin    uint64
	Retention time.Duration // for which the receiver keeps the record, to the millisecond
}

// OriginRequest asks an entry which software version began a stream. It is answered by a
// CommandResult, which is done and holds the origin if the entry knows it.
type OriginRequest struct {
	ID     uint64
	Stream uint64
}

func (streamOrigins *StreamOrigins) appendTo(writer *writer) {
	for index := range streamOrigins.Records {
		writer.message(1, &streamOrigins.Records[index])
	}
}

func (streamOrigins *StreamOrigins) setField(number protowire.Number, value fieldValue) {
	var record StreamOrigin
	if number == 1 && parse(value.bytes, &record) == nil {
		streamOrigins.Records = append(streamOrigins.Records, record)
	}
}

func (streamOrigin *StreamOrigin) appendTo(writer *writer) {
	writer.varint(1, streamOrigin.Stream)
	writer.varint(2, streamOrigin.Origin)
	writer.varint(3, uint64(streamOrigin.Retention.Milliseconds()))
}

func (streamOrigin *StreamOrigin) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		streamOrigin.Stream = value.varint
	case 2:
		streamOrigin.Origin = value.varint
	case 3:
		streamOrigin.Retention = time.Duration(value.varint) * time.Millisecond
	}
}

func (originRequest *OriginRequest) appendTo(writer *writer) {
	writer.varint(1, originRequest.ID)
	writer.varint(2, originRequest.Stream)
}

func (originRequest *OriginRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		originRequest.ID = value.varint
	case 2:
		originRequest.Stream = value.varint
	}
}
