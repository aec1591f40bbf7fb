// Package clock gives the rest of the system its notion of time, so that tests
// can move it by hand.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time and wakes its callers.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the machine's clock.
type System struct{}

// Now returns the machine's time.
func (system System) Now() time.Time { return time.Now() }

// After wakes the caller once d has passed on the machine's clock.
func (system System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Fake is a clock that stands still until a test advances it.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	alarms []alarm
}

type alarm struct {
	at time.Time
	ch chan time.Time
}

// NewFake returns a fake clock that shows start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time the fake clock shows.
func (fake *Fake) Now() time.Time {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	return fake.now
}

// After returns a channel that fires when Advance reaches the alarm.
func (fake *Fake) After(d time.Duration) <-chan time.Time {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	ch := make(chan time.Time, 1)
	fake.alarms = append(fake.alarms, alarm{at: fake.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock forward by d and fires the alarms that fall due.
func (fake *Fake) Advance(d time.Duration) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.now = fake.now.Add(d)
	waiting := fake.alarms[:0]
	for _, alarm := range fake.alarms {
		if alarm.at.After(fake.now) {
			waiting = append(waiting, alarm)
			continue
		}
		alarm.ch <- fake.now
	}
	fake.alarms = waiting
}
