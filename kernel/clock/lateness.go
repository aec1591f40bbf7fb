package clock

import (
	"slices"
	"sync"
	"time"
)

// pauseRetention is how long a pause is remembered after its end.
const pauseRetention = time.Minute

// Lateness holds when a process did not run for a while, such as one with a small share of a
// processor. What arrived during such a pause is still unread when the process goes on, so
// the time of the pause is no sign that others were silent. A loop that should run once per
// interval calls Tick. Before the first call, and if it is nil, a Lateness knows of no pauses.
// It is safe for concurrent use, starts no goroutine and reads no clock.
type Lateness struct {
	interval  time.Duration // between two calls of Tick of a process that runs in time
	tolerance time.Duration // later calls than by that show a pause
	mu        sync.Mutex    // guards the fields below
	tickedAt  time.Time     // of the last call of Tick, zero before the first one
	pauses    []pause       // in order of time
}

type pause struct{ from, until time.Time }

// NewLateness returns the Lateness of a process of which no pause is known.
func NewLateness(interval, tolerance time.Duration) *Lateness {
	return &Lateness{interval: interval, tolerance: tolerance}
}

// Tick records that the loop runs now.
func (lateness *Lateness) Tick(now time.Time) {
	lateness.mu.Lock()
	defer lateness.mu.Unlock()
	if ended, late := lateness.openPause(now); late {
		lateness.pauses = slices.DeleteFunc(lateness.pauses, func(old pause) bool {
			return now.Sub(old.until) > pauseRetention
		})
		lateness.pauses = append(lateness.pauses, ended)
	}
	if now.After(lateness.tickedAt) {
		lateness.tickedAt = now
	}
}

// openPause returns the pause that a late call of Tick at now would end. Of the time since the
// last call, one interval does not belong to it, so that a process that is always late still
// counts some time.
func (lateness *Lateness) openPause(now time.Time) (open pause, late bool) {
	open = pause{from: lateness.tickedAt.Add(lateness.interval), until: now}
	return open, !lateness.tickedAt.IsZero() && now.Sub(open.from) > lateness.tolerance
}

// Since returns the end of the last pause, which is now while the loop is late, and the zero
// time if there was none lately.
func (lateness *Lateness) Since(now time.Time) time.Time {
	if lateness == nil {
		return time.Time{}
	}
	lateness.mu.Lock()
	defer lateness.mu.Unlock()
	if _, late := lateness.openPause(now); late {
		return now
	}
	if len(lateness.pauses) == 0 {
		return time.Time{}
	}
	return lateness.pauses[len(lateness.pauses)-1].until
}

// Elapsed returns how much of the time between from and now the process ran.
func (lateness *Lateness) Elapsed(from, now time.Time) time.Duration {
	elapsed := now.Sub(from)
	if lateness == nil || elapsed <= 0 {
		return elapsed
	}
	lateness.mu.Lock()
	defer lateness.mu.Unlock()
	if open, late := lateness.openPause(now); late {
		elapsed -= open.within(from, now)
	}
	for index := len(lateness.pauses) - 1; index >= 0 && lateness.pauses[index].until.After(from); index-- {
		elapsed -= lateness.pauses[index].within(from, now)
	}
	return elapsed
}

// within returns how much of the pause lies between from and until.
func (pause pause) within(from, until time.Time) time.Duration {
	if pause.from.After(from) {
		from = pause.from
	}
	if pause.until.Before(until) {
		until = pause.until
	}
	return max(until.Sub(from), 0)
}
