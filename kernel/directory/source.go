package directory

import (
	"context"
	"time"
)

// Cursor is a place in a source's history; the zero value is its start.
type Cursor uint64

// Source is where an instance learns the configuration and the list of
// targets. The documents stay opaque, so that instances can pass them on.
type Source interface {
	// Configuration returns the newest configuration at once when after is 0,
	// else once it changes; nil when nothing changed within wait.
	Configuration(ctx context.Context, after Cursor, wait time.Duration) (document []byte, next Cursor, err error)
	// Targets returns the list of targets as it is now. Lists that name the same
	// targets are equal documents.
	Targets(ctx context.Context) (document []byte, at Cursor, err error)
	// ParseConfiguration reads a document of Configuration.
	ParseConfiguration(document []byte) (*Directory, error)
	// ParseTargets reads a document of Targets. Entries that cannot be read
	// name no target; skipped counts them.
	ParseTargets(document []byte) (targets []*Target, skipped int, err error)
}
