package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/proptest"
	"pgregory.net/rapid"
)

const (
	testLeaderInterval = 500 * time.Millisecond
	testMaxAge         = time.Second
)

func TestOnlyLeaderReadsWhileItsNotificationsArrive(t *testing.T) {
	now := time.Unix(1000, 0)
	leader, other := NewFreshness(testLeaderInterval, testMaxAge), NewFreshness(testLeaderInterval, testMaxAge)
	leader.RecordRead(7, now)
	other.RecordRead(7, now)
	reads := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if leader.Due(true, now) {
			leader.RecordRead(7, now)
			reads++
		}
		age, known := leader.Age(now)
		assert.Assert(t, known)
		assert.Assert(t, !other.ObserveCopy(7, age, now))
		assert.Assert(t, !other.Due(false, now))
	}
	assert.Equal(t, reads, 20)
	now = now.Add(testMaxAge)
	assert.Assert(t, other.Due(false, now), "no notification of the leader has arrived for the maximum age")
}

func TestObserveCopyReportsOnlyNewerCopyAsNewer(t *testing.T) {
	now := time.Unix(1000, 0)
	freshness := NewFreshness(testLeaderInterval, testMaxAge)
	assert.Assert(t, !freshness.ObserveCopy(0, 0, now), "the other instance has no copy")
	assert.Assert(t, freshness.ObserveCopy(7, time.Hour, now), "any copy is better than none")
	freshness.RecordRead(7, now.Add(-time.Hour))
	assert.Assert(t, freshness.Due(false, now), "a copy that was already old when it was fetched is read again")
	assert.Assert(t, freshness.ObserveCopy(8, 0, now))
	freshness.RecordRead(8, now)
	assert.Assert(t, !freshness.ObserveCopy(7, 0, now))
	assert.Equal(t, freshness.Version(), uint64(8))
}

func TestDueAfterFailedReadingWaitsForRetryInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	freshness := NewFreshness(testLeaderInterval, testMaxAge)
	assert.Assert(t, freshness.Due(false, now))
	freshness.RecordFailure(now)
	assert.Assert(t, !freshness.Due(false, now.Add(readRetryInterval/2)))
	assert.Assert(t, freshness.Due(false, now.Add(readRetryInterval)))
}

// Simulates instances that read the document and notify each other, with some
// notifications lost. Checks that the age of a copy is never too low: the time at
// which a copy counts as confirmed is not after the document's next change.
func TestAgeOfCopyIsNeverUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		version := uint64(1)
		changed := map[uint64]time.Time{1: now}
		fleet := []*Freshness{}
		for range 4 {
			fleet = append(fleet, NewFreshness(testLeaderInterval, testMaxAge))
		}
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			index := rapid.IntRange(0, 3).Draw(t, "instance")
			instance := fleet[index]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				version++
				changed[version] = now
			case 1:
				if instance.Due(index == 0, now) {
					instance.RecordRead(version, now)
				}
			default:
				other := fleet[rapid.IntRange(0, 3).Draw(t, "other")]
				age, known := other.Age(now)
				if known && instance.ObserveCopy(other.Version(), age, now) {
					instance.RecordRead(other.Version(), now.Add(-age))
				}
			}
			for _, instance := range fleet {
				age, known := instance.Age(now)
				if next, later := changed[instance.Version()+1]; known && later {
					assert.Assert(t, !now.Add(-age).After(next), "copy %d has age %v, but the document changed %v ago", instance.Version(), age, now.Sub(next))
				}
			}
		}
	})
}

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
