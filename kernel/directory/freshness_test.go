package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/proptest"
)

// An entry that was out of step and has the newest list again must know that it has missed some.
func TestListsMissedByEntryOutOfStepAreForgottenWithNextConfirmation(t *testing.T) {
	const interval, pause = 200 * time.Millisecond, 5 * time.Second
	for name, test := range map[string]struct{ steady, suspended time.Duration }{
		"in time":            {interval, 0},
		"stood still":        {pause, 0},
		"suspended":          {interval, pause},
		"time of day is set": {pause, -time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			freshness := NewFreshness(interval, time.Second)
			freshness.RecordRead(1, now)
			later := proptest.StepWallClock(now.Add(test.steady), test.suspended)
			missed := test.steady+max(test.suspended, 0) >= pause
			age, _ := freshness.LongestAge(later)
			assert.Equal(t, age >= pause, missed, "%v old", age)
			freshness.RecordRead(2, later)
			freshness.ObserveCopy(2, 0, later.Add(interval))
			age, _ = freshness.LongestAge(later.Add(interval))
			assert.Assert(t, age < time.Second)
			assert.Equal(t, freshness.LongestGap() >= pause, missed, "a gap of %v", freshness.LongestGap())
			freshness.ResetGap()
			assert.Equal(t, freshness.LongestGap(), time.Duration(0))
		})
	}
}
