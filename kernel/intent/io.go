package intent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
)

// Write writes a request's record under its base version and says what the
// write came to. It is for the drivers of the machines.
func Write(store object.Store, timeout time.Duration, key string, record Record, base uint64) (WriteResult, uint64) {
	data, err := record.Marshal()
	if err != nil {
		return NotWritten, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	version, err := store.Update(ctx, "request", key, data, base)
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

// Read reads a request's record. It is for the drivers of the machines.
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
