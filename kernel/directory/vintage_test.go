package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	testOften = 500 * time.Millisecond
	testMost  = time.Second
)

func TestOnlyTheLeaderReadsWhileItSends(t *testing.T) {
	now := time.Unix(1000, 0)
	leader, other := NewVintage(testOften, testMost), NewVintage(testOften, testMost)
	leader.Read(7, now)
	other.Read(7, now)
	reads := 0
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		if leader.Due(true, now) {
			leader.Read(7, now)
			reads++
		}
		age, known := leader.Age(now)
		assert.Assert(t, known)
		assert.Assert(t, !other.Observe(7, age, now))
		assert.Assert(t, !other.Due(false, now))
	}
	assert.Equal(t, reads, 20)
	now = now.Add(testMost)
	assert.Assert(t, other.Due(false, now), "the leader has not been received")
}

func TestNewerCopyIsFetchedAndOlderOneIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	vintage := NewVintage(testOften, testMost)
	assert.Assert(t, !vintage.Observe(0, 0, now), "the other has none either")
	assert.Assert(t, vintage.Observe(7, time.Hour, now), "any copy is better than none")
	vintage.Read(7, now.Add(-time.Hour))
	assert.Assert(t, vintage.Due(false, now), "a copy that was old when it came is read anew")
	assert.Assert(t, vintage.Observe(8, 0, now))
	vintage.Read(8, now)
	assert.Assert(t, !vintage.Observe(7, 0, now))
	assert.Equal(t, vintage.Number(), uint64(8))
}

func TestFailedReadingIsRepeatedAfterAPause(t *testing.T) {
	now := time.Unix(1000, 0)
	vintage := NewVintage(testOften, testMost)
	assert.Assert(t, vintage.Due(false, now))
	vintage.Failed(now)
	assert.Assert(t, !vintage.Due(false, now.Add(readRetry/2)))
	assert.Assert(t, vintage.Due(false, now.Add(readRetry)))
}

// TestCopyIsNeverOlderThanItSays plays a fleet that reads, tells and loses
// messages, and holds that a copy is as new as its age says: the document did
// not change between the copy's number and the time at which it was confirmed.
func TestCopyIsNeverOlderThanItSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		number := uint64(1)
		changed := map[uint64]time.Time{1: now}
		fleet := []*Vintage{}
		for range 4 {
			fleet = append(fleet, NewVintage(testOften, testMost))
		}
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			index := rapid.IntRange(0, 3).Draw(t, "instance")
			one := fleet[index]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				number++
				changed[number] = now
			case 1:
				if one.Due(index == 0, now) {
					one.Read(number, now)
				}
			default:
				other := fleet[rapid.IntRange(0, 3).Draw(t, "other")]
				age, known := other.Age(now)
				if known && one.Observe(other.Number(), age, now) {
					one.Read(other.Number(), now.Add(-age))
				}
			}
			for _, one := range fleet {
				age, known := one.Age(now)
				if next, later := changed[one.Number()+1]; known && later {
					assert.Assert(t, !now.Add(-age).After(next), "copy %d says it is %v old, changed %v ago", one.Number(), age, now.Sub(next))
				}
			}
		}
	})
}
