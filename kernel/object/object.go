// Package object defines the client interface to the platform's versioned object
// API and implements it over HTTP as the store plug-in rest. What the objects hold
// is up to the packages that read and write them.
package object

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of calls to the object API. After ErrUnknown the call may have taken
// effect or may still do so later; after any other error it has no effect.
// ErrRefused also stands for a call that was not sent because its context had ended.
var (
	ErrNotFound = errors.New("the object does not exist")
	ErrConflict = errors.New("the object does not have the expected version")
	ErrRefused  = errors.New("the object API refused the call")
	ErrUnknown  = errors.New("the outcome of the call to the object API is unknown")
)

// Object is a key and its value with the version of the last write. Versions
// increase across the whole store, not for each key.
type Object struct {
	key     string
	value   []byte
	version uint64
}

// NewObject returns an object; a nil value marks a deleted object.
func NewObject(key string, value []byte, version uint64) Object {
	return Object{key: key, value: value, version: version}
}

// Key returns the key of the object.
func (object Object) Key() string { return object.key }

// Value returns the value of the object, or nil if the object was deleted.
func (object Object) Value() []byte { return object.value }

// Version returns the version of the last write.
func (object Object) Version() uint64 { return object.version }

// Store is a client of the platform's object API. The purpose of a call names what
// it is for; calls are counted by purpose.
type Store interface {
	// Get returns the object at key, or ErrNotFound.
	Get(ctx context.Context, purpose, key string) (Object, error)
	// List returns the objects whose keys start with prefix, sorted by key.
	List(ctx context.Context, purpose, prefix string) ([]Object, error)
	// Create writes a new object and returns its version, or ErrConflict if the
	// object exists.
	Create(ctx context.Context, purpose, key string, value []byte) (uint64, error)
	// Update replaces the object if it has the given version, where zero means that
	// it must not exist, and returns its new version. It returns ErrConflict if the
	// object has another version.
	Update(ctx context.Context, purpose, key string, value []byte, version uint64) (uint64, error)
	// Delete removes the object if it has the given version. It returns ErrConflict
	// if the object has another version and ErrNotFound if it does not exist.
	Delete(ctx context.Context, purpose, key string, version uint64) error
	// Watch waits at most wait for changes to objects under prefix that are newer
	// than the version after. It returns the changes in order and the version to
	// pass as after in the next call.
	Watch(ctx context.Context, purpose, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
}

// Opener returns a client of the store at address, which calls count with the
// purpose of each call that it sends. A store plug-in registers an Opener.
type Opener func(address string, count func(purpose string)) Store
