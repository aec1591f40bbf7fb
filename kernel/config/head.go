package config

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
)

// MaxPatchBytes limits the size of the patch in a head, because every instance
// watches the head and reads each version of it.
const MaxPatchBytes = 64 << 10

// Head identifies the configuration in force at a site. The generation of a
// site's head never decreases. The patch turns the document of the previous
// generation into that of this one; it is optional.
type Head struct {
	generation uint64
	hash       string
	operator   string
	patch      []byte
}

// NewHead returns the head of a configuration that operator applied. It drops a
// patch larger than MaxPatchBytes.
func NewHead(generation uint64, hash, operator string, patch []byte) Head {
	if len(patch) > MaxPatchBytes {
		patch = nil
	}
	return Head{generation: generation, hash: hash, operator: operator, patch: patch}
}

// Generation returns the generation of the configuration in force.
func (head Head) Generation() uint64 { return head.generation }

// Hash returns the content hash of the configuration in force.
func (head Head) Hash() string { return head.hash }

// Operator returns who applied the configuration.
func (head Head) Operator() string { return head.operator }

// Patch returns the merge patch from the previous generation, nil if there is none.
func (head Head) Patch() []byte { return head.patch }

// HeadKey returns the key of a site's head in the object API.
func HeadKey(site string) string { return "config/" + site + "/head" }

// DocumentKey returns the key in the object API of the site's document with the given
// content hash.
func DocumentKey(site, hash string) string { return "config/" + site + "/documents/" + hash }

type wireHead struct {
	Generation uint64          `json:"generation"`
	Hash       string          `json:"hash"`
	Operator   string          `json:"operator"`
	Patch      json.RawMessage `json:"patch,omitempty"`
}

// Marshal returns the JSON encoding of the head.
func (head Head) Marshal() []byte {
	data, err := json.Marshal(wireHead{Generation: head.generation, Hash: head.hash, Operator: head.operator, Patch: head.patch})
	if err != nil {
		panic(fmt.Sprintf("encode configuration head: %v", err))
	}
	return data
}

// ParseHead decodes a head from JSON.
func ParseHead(data []byte) (Head, error) {
	var wire wireHead
	if err := json.Unmarshal(data, &wire); err != nil {
		return Head{}, errors.Wrap(err, "decode the configuration head")
	}
	return NewHead(wire.Generation, wire.Hash, wire.Operator, wire.Patch), nil
}
