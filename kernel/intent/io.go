package intent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
)

// Write writes a request's record if the stored version is baseVersion, and
// returns the result and the new version. Drivers of Coordinator and Starter use it.
func Write(store object.Store, timeout time.Duration, key string, record Record, baseVersion uint64) (WriteResult, uint64) {
	data, err := record.Marshal()
	if err != nil {
		return NotWritten, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	version, err := store.Update(ctx, "request", key, data, baseVersion)
	switch {
	case err == nil:
		return Written, version
	case errors.Is(err, object.ErrConflict):
		return Conflicted, 0
	case errors.Is(err, object.ErrRefused):
		return NotWritten, 0
	default:
		return WriteUnknown, 0
	}
}

// Read reads a request's record and its version. Drivers of Coordinator and Starter use
// it.
func Read(store object.Store, timeout time.Duration, key string) (ReadResult, Record, uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	found, err := store.Get(ctx, "request", key)
	if errors.Is(err, object.ErrNotFound) {
		return Absent, Record{}, 0
	}
	if err != nil {
		return ReadFailed, Record{}, 0
	}
	record, err := ParseRecord(found.Value())
	if err != nil {
		return ReadFailed, Record{}, 0
	}
	return Found, record, found.Version()
}
