package directory

import (
	"context"
	"time"
)

// Cursor is a position in the history of a source, in all epochs of its store; the zero value
// is its start. It is a version of package object.
type Cursor uint64

// Source provides the configuration and the list of targets. Documents are
// opaque, so that instances can pass them on to each other unchanged.
type Source interface {
	// Configuration returns the newest configuration, at once if after is 0 and
	// otherwise as soon as it changes; document is nil if it did not change within
	// wait. The next call passes next as after.
	Configuration(ctx context.Context, after Cursor, wait time.Duration) (document []byte, next Cursor, err error)
	// Targets returns the current list of targets and its position in the history.
	// The document leaves out what changes with every heartbeat of a target.
	Targets(ctx context.Context) (document []byte, at Cursor, err error)
	// ParseConfiguration parses a document returned by Configuration.
	ParseConfiguration(document []byte) (*Directory, error)
	// ParseTargets parses a document returned by Targets. It leaves out malformed
	// entries and returns their number in skipped.
	ParseTargets(document []byte) (targets []*Target, skipped int, err error)
}
