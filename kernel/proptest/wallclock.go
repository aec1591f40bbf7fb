package proptest

import (
	"time"
	"unsafe"
)

// StepWallClock returns the time that the system's clock would give if its wall clock had
// been set forward by the step, a multiple of a second, since the process started. The time
// must come from the system's clock.
func StepWallClock(at time.Time, step time.Duration) time.Time {
	const secondsBit = 30 // position of the seconds in the first field of time.Time
	*(*uint64)(unsafe.Pointer(&at)) += uint64(step/time.Second) << secondsBit
	return at
}
