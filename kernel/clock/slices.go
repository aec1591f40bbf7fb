package clock

import "time"

// Slices divides time into slices of equal length and numbers them from an epoch on. A
// change of the wall clock moves no time from one slice to another, as long as the epoch
// and the times come from the same Clock.
type Slices struct {
	epoch  time.Time
	length time.Duration
}

// NewSlices returns slices of the given length, of which number 0 begins at epoch.
func NewSlices(epoch time.Time, length time.Duration) Slices {
	return Slices{epoch: epoch, length: max(length, 1)}
}

// Length returns the length of a slice.
func (slices Slices) Length() time.Duration { return slices.length }

// Number returns the number of the slice that contains a time, negative before the epoch.
func (slices Slices) Number(at time.Time) int64 {
	elapsed := at.Sub(slices.epoch)
	number := int64(elapsed / slices.length)
	if elapsed%slices.length < 0 {
		number--
	}
	return number
}

// Elapsed returns the time since the start of the slice that contains a time.
func (slices Slices) Elapsed(at time.Time) time.Duration {
	return at.Sub(slices.epoch) - time.Duration(slices.Number(at))*slices.length
}
