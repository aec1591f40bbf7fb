package config

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// MaxPatchBytes bounds the patch that a head carries, so that a head stays
// small enough for every instance to watch.
const MaxPatchBytes = 64 << 10

// Head names the configuration in force. Its generation only rises. The patch
// leads from the generation before to this one and may be missing.
type Head struct {
	generation uint64
	hash       string
	operator   string
	patch      []byte
}

// NewHead returns the head of a configuration that operator applied; a patch
// over MaxPatchBytes is left out.
func NewHead(generation uint64, hash, operator string, patch []byte) Head {
	if len(patch) > MaxPatchBytes {
		patch = nil
	}
	return Head{generation: generation, hash: hash, operator: operator, patch: patch}
}

// Generation returns the number of the configuration in force.
func (head Head) Generation() uint64 { return head.generation }

// Hash returns the content hash of the configuration in force.
func (head Head) Hash() string { return head.hash }

// Operator returns who applied the configuration.
func (head Head) Operator() string { return head.operator }

// Patch returns the merge patch from the generation before, nil when missing.
func (head Head) Patch() []byte { return head.patch }

// HeadKey returns the object key of a site's head.
func HeadKey(site string) string { return "config/" + site + "/head" }

// DocumentKey returns the object key of a rendered document of a site.
func DocumentKey(site, hash string) string { return "config/" + site + "/documents/" + hash }

type wireHead struct {
	Generation uint64          `json:"generation"`
	Hash       string          `json:"hash"`
	Operator   string          `json:"operator"`
	Patch      json.RawMessage `json:"patch,omitempty"`
}

// Marshal returns the head as it is stored.
func (head Head) Marshal() []byte {
	data, err := json.Marshal(wireHead{Generation: head.generation, Hash: head.hash, Operator: head.operator, Patch: head.patch})
	if err != nil {
		panic(fmt.Sprintf("encode configuration head: %v", err))
	}
	return data
}

// ParseHead reads a stored head.
func ParseHead(data []byte) (Head, error) {
	var wire wireHead
	if err := json.Unmarshal(data, &wire); err != nil {
		return Head{}, errors.Wrap(err, "configuration head")
	}
	return NewHead(wire.Generation, wire.Hash, wire.Operator, wire.Patch), nil
}
