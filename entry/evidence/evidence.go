// Package evidence identifies requests, and converts what entries report to each other of
// requests under which targets ended between packages quarantine and wire.
package evidence

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"endiverill.example/kernel/quarantine"
	"endiverill.example/kernel/wire"
)

// Identity returns what requests have in common that are the same in all fields, such as
// caller, path and body. The hash is cryptographic, so that no caller can make up a request
// with the identity of another caller's.
func Identity(fields ...[]byte) quarantine.Part {
	hash := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:]) // a hash returns no errors
		_, _ = hash.Write(field)
	}
	return quarantine.Whole(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

// TargetHash returns the hash of an incarnation of a target.
func TargetHash(id string, incarnation int64) uint32 {
	return uint32(xxhash.Sum64String(id + "/" + strconv.FormatInt(incarnation, 10)))
}

// Encode converts a report for the way to other entries.
func Encode(report []quarantine.Evidence) []wire.PartEvidence {
	encoded := make([]wire.PartEvidence, 0, len(report))
	for _, item := range report {
		part := wire.PartEvidence{Part: uint64(item.Part), Ends: item.Ends, Ended: item.Ended, Age: item.Age, Begun: item.Begun, Since: item.Since, Trying: item.Trying}
		for _, other := range item.With {
			part.With = append(part.With, uint64(other))
		}
		encoded = append(encoded, part)
	}
	return encoded
}

// Decode converts what another entry has sent.
func Decode(encoded []wire.PartEvidence) []quarantine.Evidence {
	report := make([]quarantine.Evidence, 0, len(encoded))
	for _, part := range encoded {
		item := quarantine.Evidence{Part: quarantine.Part(part.Part), Ends: part.Ends, Ended: part.Ended, Age: part.Age, Begun: part.Begun, Since: part.Since, Trying: part.Trying}
		for _, other := range part.With {
			item.With = append(item.With, quarantine.Part(other))
		}
		report = append(report, item)
	}
	return report
}
