package wire

import "google.golang.org/protobuf/encoding/protowire"

// EvidenceNotice carries what an entry has seen of requests under which targets ended to
// another one.
type EvidenceNotice struct {
	Entry    string // address at which the sender accepts calls of its peers
	Suspects []PartEvidence
}

func (evidenceNotice *EvidenceNotice) appendTo(writer *writer) {
	writer.string(1, evidenceNotice.Entry)
	for index := range evidenceNotice.Suspects {
		writer.message(2, &evidenceNotice.Suspects[index])
	}
}

func (evidenceNotice *EvidenceNotice) setField(number protowire.Number, value fieldValue) {
	switch number {
	case 1:
		evidenceNotice.Entry = value.string()
	case 2:
		var evidence PartEvidence
		if parse(value.bytes, &evidence) == nil {
			evidenceNotice.Suspects = append(evidenceNotice.Suspects, evidence)
		}
	}
}
