package config

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"
)

// Diff returns the JSON merge patch (RFC 7396) that turns one rendered document
// into another.
func Diff(from, to []byte) ([]byte, error) {
	var before, after map[string]any
	if err := json.Unmarshal(from, &before); err != nil {
		return nil, errors.Wrap(err, "decode the older document")
	}
	if err := json.Unmarshal(to, &after); err != nil {
		return nil, errors.Wrap(err, "decode the newer document")
	}
	return json.Marshal(diffObjects(before, after))
}

func diffObjects(before, after map[string]any) map[string]any {
	patch := map[string]any{}
	for name := range before {
		if _, kept := after[name]; !kept {
			patch[name] = nil
		}
	}
	for name, value := range after {
		old, existed := before[name]
		if existed && reflect.DeepEqual(old, value) {
			continue
		}
		oldObject, oldOK := old.(map[string]any)
		newObject, newOK := value.(map[string]any)
		if oldOK && newOK {
			patch[name] = diffObjects(oldObject, newObject)
			continue
		}
		patch[name] = value
	}
	return patch
}
