// Package store is a stand-in for the platform's versioned object API, with
// faults that can be switched while it runs.
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

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

const deletedKept = 4096 // deleted objects that watches still learn of

// Faults are the ways in which the object API can fail.
type Faults struct {
	Down       bool          `json:"down"`         // no call has an effect or an answer
	LoseAnswer float64       `json:"lose_answer"`  // share of writes whose answer is lost after taking effect
	Delay      time.Duration `json:"delay"`        // added to each call
	WriteRate  float64       `json:"write_rate"`   // writes a second, 0 for any
	ReadRate   float64       `json:"read_rate"`    // reads a second, 0 for any
	StaleReads bool          `json:"stale_reads"`  // reads show the object before its last write
	DenyPeers  []string      `json:"denied_peers"` // callers, by header, that are cut off
}

// Store holds the objects in memory.
type Store struct {
	mu       sync.Mutex
	objects  map[string]object.Object
	previous map[string]object.Object
	deleted  []object.Object
	version  uint64
	changed  chan struct{}
	faults   Faults
	random   *rand.Rand
	writes   *rate.Limiter
	reads    *rate.Limiter
	counts   Counts
}

// Counts are the calls that the store has served.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// New returns an empty store whose faults are drawn from seed.
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

// SetFaults switches the faults.
func (store *Store) SetFaults(faults Faults) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.faults = faults
	store.writes = limiter(faults.WriteRate)
	store.reads = limiter(faults.ReadRate)
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

// Counts returns the calls served so far.
func (store *Store) Counts() Counts {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.counts
}

// enter counts a call and returns the fault that it meets.
func (store *Store) enter(write bool) error {
	store.mu.Lock()
	faults := store.faults
	budget := store.reads
	if write {
		budget = store.writes
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
	if !budget.Allow() {
		return object.ErrRefused
	}
	return nil
}

// Get returns one object.
func (store *Store) Get(_ context.Context, _, key string) (object.Object, error) {
	if err := store.enter(false); err != nil {
		return object.Object{}, err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	found, ok := store.objects[key]
	if store.faults.StaleReads {
		if old, older := store.previous[key]; older {
			return old, nil
		}
	}
	if !ok {
		return object.Object{}, object.ErrNotFound
	}
	return found, nil
}

// List returns the objects whose keys start with prefix.
func (store *Store) List(_ context.Context, _, prefix string) ([]object.Object, error) {
	if err := store.enter(false); err != nil {
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

// Create writes an object that must not exist.
func (store *Store) Create(ctx context.Context, purpose, key string, value []byte) (uint64, error) {
	return store.Update(ctx, purpose, key, value, 0)
}

// Update writes an object that must have version; zero says it must not exist.
func (store *Store) Update(_ context.Context, _, key string, value []byte, version uint64) (uint64, error) {
	if err := store.enter(true); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, object.ErrRefused
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	old, exists := store.objects[key]
	if old.Version() != version {
		return 0, object.ErrConflict
	}
	if exists {
		store.previous[key] = old
	}
	store.version++
	store.objects[key] = object.NewObject(key, append([]byte{}, value...), store.version)
	store.announce()
	if store.faults.LoseAnswer > 0 && store.random.Float64() < store.faults.LoseAnswer {
		return 0, object.ErrUnknown
	}
	return store.version, nil
}

// Delete removes an object that must have version.
func (store *Store) Delete(_ context.Context, _, key string, version uint64) error {
	if err := store.enter(true); err != nil {
		return err
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	old, exists := store.objects[key]
	if !exists {
		return object.ErrNotFound
	}
	if old.Version() != version {
		return object.ErrConflict
	}
	store.version++
	delete(store.objects, key)
	delete(store.previous, key)
	store.deleted = append(store.deleted, object.NewObject(key, nil, store.version))
	if len(store.deleted) > deletedKept {
		store.deleted = store.deleted[1:]
	}
	store.announce()
	return nil
}

func (store *Store) announce() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// Watch waits up to wait for changes under prefix after version.
func (store *Store) Watch(ctx context.Context, _, prefix string, after uint64, wait time.Duration) ([]object.Object, uint64, error) {
	if err := store.enter(false); err != nil {
		return nil, after, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		objects, version, changed, down := store.since(prefix, after)
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

func (store *Store) since(prefix string, after uint64) (objects []object.Object, version uint64, changed chan struct{}, down bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for key, object := range store.objects {
		if strings.HasPrefix(key, prefix) && object.Version() > after {
			objects = append(objects, object)
		}
	}
	for _, object := range store.deleted {
		if strings.HasPrefix(object.Key(), prefix) && object.Version() > after {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version() < objects[j].Version() })
	return objects, store.version, store.changed, store.faults.Down
}
