// Package listing simulates the platform's list of instances. A change of an
// instance's state becomes visible in the list only after a fixed delay.
package listing

import (
	"sort"
	"sync"
	"time"

	"endiverill.example/kernel/clock"
)

// State is the lifecycle state that the platform reports for an instance.
type State string

// The states of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving" // is shutting down
	Gone    State = "gone"
)

// change is a state change that becomes visible at the time at.
type change struct {
	at    time.Time
	name  string
	state State
}

// Listing holds the visible state of each instance and the changes that are not
// visible yet.
type Listing struct {
	mu      sync.Mutex
	clock   clock.Clock
	delay   time.Duration
	visible map[string]State
	pending []change
}

// New returns an empty list that shows each change after delay.
func New(clock clock.Clock, delay time.Duration) *Listing {
	return &Listing{clock: clock, delay: delay, visible: map[string]State{}}
}

// Set records the state of an instance; Names shows it after the delay.
func (listing *Listing) Set(name string, state State) {
	listing.mu.Lock()
	defer listing.mu.Unlock()
	listing.pending = append(listing.pending, change{at: listing.clock.Now().Add(listing.delay), name: name, state: state})
}

// Names returns the sorted names of the instances whose visible state is state.
func (listing *Listing) Names(state State) []string {
	listing.mu.Lock()
	defer listing.mu.Unlock()
	now := listing.clock.Now()
	for len(listing.pending) > 0 && !listing.pending[0].at.After(now) {
		listing.visible[listing.pending[0].name] = listing.pending[0].state
		listing.pending = listing.pending[1:]
	}
	var names []string
	for name, current := range listing.visible {
		if current == state {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
