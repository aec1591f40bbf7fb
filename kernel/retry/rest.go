package retry

import (
	"sync/atomic"
	"time"
)

// Rest is the time for which a target has asked for no requests. The zero value is no
// rest. It is safe for concurrent use.
type Rest struct {
	until atomic.Pointer[time.Time]
}

// Extend lengthens the rest to the given time. An earlier end changes nothing.
func (rest *Rest) Extend(until time.Time) {
	for {
		before := rest.until.Load()
		if before != nil && !until.After(*before) || rest.until.CompareAndSwap(before, &until) {
			return
		}
	}
}

// Left returns how long the rest still lasts, 0 if there is none.
func (rest *Rest) Left(now time.Time) time.Duration {
	until := rest.until.Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}
