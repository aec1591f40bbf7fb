// Package object speaks to the platform's versioned object API.
package object

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// The ways in which a call can fail. After ErrUnknown the call may or may not
// have taken effect, now or later; after any other error it has not.
var (
	ErrNotFound = errors.New("the object does not exist")
	ErrConflict = errors.New("the object has another version")
	ErrRefused  = errors.New("the object API refused the call")
	ErrUnknown  = errors.New("the object API gave no answer")
)

// Object is a value with the version that its last write gave it. Versions
// rise over the whole store.
type Object struct {
	key     string
	value   []byte
	version uint64
}

// NewObject returns an object; a nil value marks a deleted one.
func NewObject(key string, value []byte, version uint64) Object {
	return Object{key: key, value: value, version: version}
}

// Key returns the object's name.
func (object Object) Key() string { return object.key }

// Value returns the object's bytes, nil when it was deleted.
func (object Object) Value() []byte { return object.value }

// Version returns the version of the last write.
func (object Object) Version() uint64 { return object.version }

// Store is the platform's object API. Purposes name what a call is for and are
// counted.
type Store interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, purpose, key string) (Object, error)
	// List returns the objects whose keys start with prefix.
	List(ctx context.Context, purpose, prefix string) ([]Object, error)
	// Create writes an object that must not exist, or returns ErrConflict.
	Create(ctx context.Context, purpose, key string, value []byte) (uint64, error)
	// Update writes an object that must have version, or returns ErrConflict.
	Update(ctx context.Context, purpose, key string, value []byte, version uint64) (uint64, error)
	// Delete removes an object that must have version, or returns ErrConflict.
	Delete(ctx context.Context, purpose, key string, version uint64) error
	// Watch waits up to wait for changes under prefix after version and
	// returns them in order with the version to watch from next.
	Watch(ctx context.Context, purpose, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error)
}

// Opener makes a store from its address; store plug-ins register one.
type Opener func(address string, count func(purpose string)) Store
