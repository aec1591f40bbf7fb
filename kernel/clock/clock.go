// Package clock abstracts the time source, so that tests can advance time
// explicitly instead of sleeping.
package clock

import (
	"sync"
	"time"
)

// Clock is a source of the current time and of timers.
type Clock interface {
	// Now returns the current time. The difference between two results does not
	// change when the wall clock is set.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time of the operating system's clock.
func (system System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (system System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Elapsed returns the time since then, with that for which the machine was suspended. The steady
// clock does not count it, and the time of day may have been set back.
func Elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// Fake is a clock for tests whose time changes only by calls of Advance.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
}

type timer struct {
	due time.Time
	ch  chan time.Time
}

// NewFake returns a fake clock set to start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the current time of the fake clock.
func (fake *Fake) Now() time.Time {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return fake.now
}

// After returns a channel that receives the time when Advance has moved the clock
// forward by at least d.
func (fake *Fake) After(d time.Duration) <-chan time.Time {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	ch := make(chan time.Time, 1)
	fake.timers = append(fake.timers, timer{due: fake.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock forward by d and fires the timers that are due.
func (fake *Fake) Advance(d time.Duration) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.now = fake.now.Add(d)
	pending := fake.timers[:0]
	for _, timer := range fake.timers {
		if timer.due.After(fake.now) {
			pending = append(pending, timer)
			continue
		}
		timer.ch <- fake.now
	}
	fake.timers = pending
}
