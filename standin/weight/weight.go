// Package weight is a stand-in for the rate-limited store of model weights.
package weight

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Store hands out weights at a limited rate; more loads at once than it serves
// at full speed take longer in proportion.
type Store struct {
	mu        sync.Mutex
	starts    *rate.Limiter
	fullSpeed int
	active    int
	peak      int
	fetches   int
}

// New returns a store that starts perSecond loads a second and serves fullSpeed
// of them at once at full speed.
func New(perSecond float64, fullSpeed int) *Store {
	return &Store{starts: rate.NewLimiter(rate.Limit(perSecond), 1), fullSpeed: fullSpeed}
}

// Fetch takes as long as a load that needs base at full speed.
func (store *Store) Fetch(ctx context.Context, base time.Duration) error {
	if err := store.starts.Wait(ctx); err != nil {
		return err
	}
	store.mu.Lock()
	store.active++
	store.fetches++
	store.peak = max(store.peak, store.active)
	slowdown := max(1, float64(store.active)/float64(store.fullSpeed))
	store.mu.Unlock()
	defer func() {
		store.mu.Lock()
		store.active--
		store.mu.Unlock()
	}()
	timer := time.NewTimer(time.Duration(float64(base) * slowdown))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Peak returns the most loads that were under way at once, and Fetches how many
// there were.
func (store *Store) Peak() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.peak
}

// Fetches returns how many loads the store has served.
func (store *Store) Fetches() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.fetches
}
