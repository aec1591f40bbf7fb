// Package store simulates the platform's versioned object API in memory, as Go
// calls and over HTTP, with faults that can be switched while it runs.
package store

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"endiverill.example/kernel/object"
)

// MaxValueBytes is the largest size of an object's value. Larger writes fail with
// object.ErrRefused.
const MaxValueBytes = 1 << 20

// maxTombstones is how many deletions the store remembers for watches. A watch
// that resumes from before the oldest of them misses earlier deletions.
const maxTombstones = 4096

// Faults are the faults that the object API injects.
type Faults struct {
	Down                 bool          `json:"down"`         // calls fail with object.ErrUnknown and have no effect
	LostResponseFraction float64       `json:"lose_answer"`  // fraction of creates and updates that take effect but return object.ErrUnknown
	Delay                time.Duration `json:"delay"`        // delay before each call, in nanoseconds
	WriteRate            float64       `json:"write_rate"`   // writes per second; 0 means unlimited
	ReadRate             float64       `json:"read_rate"`    // reads per second, including lists and watches; 0 means unlimited
	StaleReads           bool          `json:"stale_reads"`  // Get returns the version before an object's last write, if there was one
	DenyPeers            []string      `json:"denied_peers"` // callers to reject; not implemented, has no effect
}

// Store holds the objects in memory. It implements object.Store, but ignores the
// purpose of calls.
type Store struct {
	mu         sync.Mutex
	objects    map[string]object.Object
	previous   map[string]object.Object // each object before its last write
	tombstones []object.Object          // deleted objects, without values, oldest first
	version    uint64                   // of the latest write to any object
	changed    chan struct{}            // closed at the next write
	faults     Faults
	random     *rand.Rand
	writes     *rate.Limiter
	reads      *rate.Limiter
	counts     Counts
}

// Counts are the numbers of calls received, failed ones included. Lists and
// watches count as reads.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// New returns an empty store without faults. The seed determines which writes
// Faults.LostResponseFraction affects.
func New(seed uint64) *Store {
	return &Store{
		objects:  map[string]object.Object{},
		previous: map[string]object.Object{},
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(seed, seed)),
		writes:   rate.NewLimiter(rate.Inf, 1),
		reads:    rate.NewLimiter(rate.Inf, 1),
	}
}

// SetFaults replaces the active faults and resets the rate limits.
func (store *Store) SetFaults(faults Faults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults = faults
	store.writes = newLimiter(faults.WriteRate)
	store.reads = newLimiter(faults.ReadRate)
}

// newLimiter returns a limiter whose burst is about one second's worth of calls.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// Counts returns the numbers of calls received so far.
func (store *Store) Counts() Counts {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.counts
}

// admit counts a call and applies the faults Delay, Down, WriteRate and ReadRate.
// It returns object.ErrUnknown while the store is down and object.ErrRefused when
// the rate limit is exceeded.
func (store *Store) admit(write bool) error {
	store.mu.Lock()
	faults := store.faults
	limiter := store.reads
	if write {
		limiter = store.writes
		store.counts.Writes++
	} else {
		store.counts.Reads++
	}
	store.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Down {
		return object.ErrUnknown
	}
	if !limiter.Allow() {
		return object.ErrRefused
	}
	return nil
}

// Get returns the object with the given key, or object.ErrNotFound.
func (store *Store) Get(_ context.Context, _, key string) (object.Object, error) {
	if err := store.admit(false); err != nil {
		return object.Object{}, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	found, ok := store.objects[key]
	if store.faults.StaleReads {
		if previous, stale := store.previous[key]; stale {
			return previous, nil
		}
	}
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	return found, nil
}

// List returns the objects whose keys start with prefix, sorted by key.
func (store *Store) List(_ context.Context, _, prefix string) ([]object.Object, error) {
	if err := store.admit(false); err != nil {
		return nil, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	var found []object.Object
	for key, object := range store.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key() < found[j].Key() })
	return found, nil
}

// Create writes a new object and returns its version, or object.ErrConflict if
// the key exists.
func (store *Store) Create(ctx context.Context, purpose, key string, value []byte) (uint64, error) {
	return store.Update(ctx, purpose, key, value, 0)
}

// Update writes an object if its current version is version, where zero means
// that it must not exist, and returns the new version. It returns
// object.ErrConflict on a version mismatch and object.ErrRefused for a value
// larger than MaxValueBytes.
func (store *Store) Update(_ context.Context, _, key string, value []byte, version uint64) (uint64, error) {
	if err := store.admit(true); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, object.ErrRefused
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	current, exists := store.objects[key]
	if current.Version() != version {
		return 0, object.ErrConflict
	}
	if exists {
		store.previous[key] = current
	}
	store.version++
	store.objects[key] = object.NewObject(key, append([]byte{}, value...), store.version)
	store.notifyWatchers()
	if store.faults.LostResponseFraction > 0 && store.random.Float64() < store.faults.LostResponseFraction {
		return 0, object.ErrUnknown
	}
	return store.version, nil
}

// Delete removes an object if its current version is version. It returns
// object.ErrNotFound for a missing key and object.ErrConflict on a version
// mismatch.
func (store *Store) Delete(_ context.Context, _, key string, version uint64) error {
	if err := store.admit(true); err != nil {
		return err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	current, exists := store.objects[key]
	if !exists {
		return object.ErrNotFound
	}
	if current.Version() != version {
		return object.ErrConflict
	}
	store.version++
	delete(store.objects, key)
	delete(store.previous, key)
	store.tombstones = append(store.tombstones, object.NewObject(key, nil, store.version))
	if len(store.tombstones) > maxTombstones {
		store.tombstones = store.tombstones[1:]
	}
	store.notifyWatchers()
	return nil
}

// notifyWatchers wakes all waiting watches. The caller holds the lock.
func (store *Store) notifyWatchers() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// Watch returns the objects under prefix that were written or deleted after the
// version after, in order of version, and the version to continue from. If there
// are none, it waits for the first one; if none comes within wait, it returns no
// objects. It returns object.ErrUnknown while the store is down and
// object.ErrRefused when ctx ends. A waiting watch notices that the store is down
// only at the next write.
func (store *Store) Watch(ctx context.Context, _, prefix string, after uint64, wait time.Duration) ([]object.Object, uint64, error) {
	if err := store.admit(false); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		objects, version, changed, down := store.changesSince(prefix, after)
		if down {
			return nil, after, object.ErrUnknown
		}
		if len(objects) > 0 {
			return objects, version, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, after, object.ErrRefused
		}
	}
}

// changesSince returns the objects under prefix that were written or deleted after
// the version after, the store's version, a channel that is closed at the next
// write, and whether the store is down.
func (store *Store) changesSince(prefix string, after uint64) (objects []object.Object, version uint64, changed chan struct{}, down bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for key, object := range store.objects {
		if strings.HasPrefix(key, prefix) && object.Version() > after {
			objects = append(objects, object)
		}
	}
	for _, object := range store.tombstones {
		if strings.HasPrefix(object.Key(), prefix) && object.Version() > after {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version() < objects[j].Version() })
	return objects, store.version, store.changed, store.faults.Down
}
