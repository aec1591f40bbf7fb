// Package listing is a stand-in for the platform's list of live and leaving
// instances, which lags behind the truth.
package listing

import (
	"sort"
	"sync"
	"time"

	"endiverill.example/kernel/clock"
)

// State is what the platform says of an instance.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

type change struct {
	at    time.Time
	name  string
	state State
}

// Listing holds the instances and shows them lag later.
type Listing struct {
	mu      sync.Mutex
	clock   clock.Clock
	lag     time.Duration
	shown   map[string]State
	pending []change
}

// New returns an empty list that lags by lag.
func New(clock clock.Clock, lag time.Duration) *Listing {
	return &Listing{clock: clock, lag: lag, shown: map[string]State{}}
}

// Set records the state of an instance, to be shown after the lag.
func (listing *Listing) Set(name string, state State) {
	listing.mu.Lock()
	defer listing.mu.Unlock()
	listing.pending = append(listing.pending, change{at: listing.clock.Now().Add(listing.lag), name: name, state: state})
}

// Names returns the instances shown in state, sorted.
func (listing *Listing) Names(state State) []string {
	listing.mu.Lock()
	defer listing.mu.Unlock()
	now := listing.clock.Now()
	for len(listing.pending) > 0 && !listing.pending[0].at.After(now) {
		listing.shown[listing.pending[0].name] = listing.pending[0].state
		listing.pending = listing.pending[1:]
	}
	var names []string
	for name, shown := range listing.shown {
		if shown == state {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
