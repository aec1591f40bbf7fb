package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/proptest"
)

func TestStepOfWallClockMovesNoTimeToAnotherSlice(t *testing.T) {
	const step = 3 * time.Second
	epoch := System{}.Now()
	at := epoch.Add(1250 * time.Millisecond)
	stepped := proptest.StepWallClock(at, step)
	assert.Equal(t, time.Duration(stepped.UnixNano()-at.UnixNano()), step)
	assert.Equal(t, stepped.Sub(at), time.Duration(0))
	slices := NewSlices(epoch, 100*time.Millisecond)
	assert.Equal(t, slices.Number(stepped), int64(12))
	assert.Equal(t, slices.Elapsed(stepped), 50*time.Millisecond)
}

func TestSlicesBeforeTheEpochHaveNegativeNumbers(t *testing.T) {
	epoch := time.Unix(1000, 0)
	slices := NewSlices(epoch, time.Second)
	for _, step := range []struct {
		at      time.Duration
		number  int64
		elapsed time.Duration
	}{
		{-1500 * time.Millisecond, -2, 500 * time.Millisecond},
		{-time.Second, -1, 0},
		{0, 0, 0},
		{1999 * time.Millisecond, 1, 999 * time.Millisecond},
	} {
		assert.Equal(t, slices.Number(epoch.Add(step.at)), step.number)
		assert.Equal(t, slices.Elapsed(epoch.Add(step.at)), step.elapsed)
	}
}
