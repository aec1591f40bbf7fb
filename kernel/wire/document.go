package wire

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// CallDocument asks an entry for a part of one of its documents.
const CallDocument = "/peer/document"

// DocumentKind says which document is meant.
type DocumentKind int

// The documents that entries send to each other.
const (
	DocumentConfig  DocumentKind = 1 // the configuration
	DocumentTargets DocumentKind = 2 // the list of targets
)

// DocumentRequest asks for a part of a document if it is newer than the requester's.
type DocumentRequest struct {
	Kind      DocumentKind
	Version   uint64 // of the requester's copy, 0 without one
	Requester uint64 // the requester's incarnation
	Digest    uint64 // of the compressed document that has begun to arrive, 0 if none has
	Offset    int    // in the document of Digest; a part of any other one begins at 0
	MaxBytes  int    // size of the part
}

// DocumentPart is a part of a document, which is compressed as a whole.
type DocumentPart struct {
	Version  uint64        // of the document; not higher than the requester's if there is no newer one
	Age      time.Duration // since the document was last confirmed to be the newest
	Position uint64        // in the history of the platform's API at which the document was the newest; 0 if unknown
	Busy     bool          // others are being served, and there is no data
	Digest   uint64        // of the whole compressed document
	Size     int           // of the whole compressed document
	Offset   int           // of Data
	Data     []byte
}

func (documentRequest *DocumentRequest) appendTo(writer *writer) {
	writer.int(1, int(documentRequest.Kind))
	writer.varint(2, documentRequest.Version)
	writer.varint(3, documentRequest.Requester)
	writer.varint(4, documentRequest.Digest)
	writer.int(5, documentRequest.Offset)
	writer.int(6, documentRequest.MaxBytes)
}

func (documentRequest *DocumentRequest) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		documentRequest.Kind = DocumentKind(value.int())
	case 2:
		documentRequest.Version = value.varint
	case 3:
		documentRequest.Requester = value.varint
	case 4:
		documentRequest.Digest = value.varint
	case 5:
		documentRequest.Offset = value.int()
	case 6:
		documentRequest.MaxBytes = value.int()
	}
}

func (documentPart *DocumentPart) appendTo(writer *writer) {
	writer.varint(1, documentPart.Version)
	writer.duration(2, documentPart.Age)
	writer.varint(3, documentPart.Position)
	writer.bool(4, documentPart.Busy)
	writer.varint(5, documentPart.Digest)
	writer.int(6, documentPart.Size)
	writer.int(7, documentPart.Offset)
	writer.bytes(8, documentPart.Data)
}

func (documentPart *DocumentPart) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		documentPart.Version = value.varint
	case 2:
		documentPart.Age = value.duration()
	case 3:
		documentPart.Position = value.varint
	case 4:
		documentPart.Busy = value.bool()
	case 5:
		documentPart.Digest = value.varint
	case 6:
		documentPart.Size = value.int()
	case 7:
		documentPart.Offset = value.int()
	case 8:
		documentPart.Data = value.clone()
	}
}
