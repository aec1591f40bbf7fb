// Package weight simulates the store from which engines load model weights. It
// limits how many loads start per second and slows loads down when too many run
// at once; it transfers no data.
package weight

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Store is a weight store with a limited start rate. If a load brings the number of
// active loads above the number that the store serves at full speed, it takes
// longer by the ratio of the two.
type Store struct {
	mu             sync.Mutex
	startLimiter   *rate.Limiter
	fullSpeedLoads int
	active         int // loads in progress
	peak           int // largest value of active
	fetches        int // loads started
}

// New returns a store that starts at most perSecond loads per second and serves
// up to fullSpeedLoads concurrent loads at full speed.
func New(perSecond float64, fullSpeedLoads int) *Store {
	return &Store{startLimiter: rate.NewLimiter(rate.Limit(perSecond), 1), fullSpeedLoads: fullSpeedLoads}
}

// Fetch blocks for the duration of one load, which takes fullSpeedDuration when
// the store is not overloaded. The slowdown is set when the load starts and does
// not change afterwards. Fetch returns an error when ctx ends first.
func (store *Store) Fetch(ctx context.Context, fullSpeedDuration time.Duration) error {
	if err := store.startLimiter.Wait(ctx); err != nil {
		return err
	}
	store.mu.Lock()
	store.active++
	store.fetches++
	store.peak = max(store.peak, store.active)
	slowdown := max(1, float64(store.active)/float64(store.fullSpeedLoads))
	store.mu.Unlock()
	defer func() {
		store.mu.Lock()
		store.active--
		store.mu.Unlock()
	}()
	timer := time.NewTimer(time.Duration(float64(fullSpeedDuration) * slowdown))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Peak returns the largest number of loads that were active at once.
func (store *Store) Peak() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.peak
}

// Fetches returns the number of loads that have started.
func (store *Store) Fetches() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.fetches
}
