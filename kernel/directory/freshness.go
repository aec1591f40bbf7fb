package directory

import (
	"time"

	"endiverill.example/kernel/clock"
)

// Freshness tracks how fresh an instance's copy of a document is and when to read
// the document again. The leader reads it at a short interval and notifies the
// other instances, so that the load on the platform does not grow with the number
// of instances. The others read it themselves if they have not been notified for
// too long.
type Freshness struct {
	leaderInterval time.Duration // between two readings by the leader
	maxAge         time.Duration // age at which any instance reads
	known          bool          // there is a copy
	version        uint64        // version of the copy; rises with each change of the document
	confirmed      time.Time     // when the copy was last known to be the newest version
	ownReadAt      time.Time     // when this instance last read the document itself
	failedAt       time.Time     // last reading that failed
	longestGap     time.Duration // between two confirmations since ResetGap, with the time of a suspension
}

// NewFreshness returns the state of a document that has not been read yet. The
// leader reads it every leaderInterval, other instances once their copy has not
// been confirmed for maxAge.
func NewFreshness(leaderInterval, maxAge time.Duration) *Freshness {
	return &Freshness{leaderInterval: leaderInterval, maxAge: maxAge}
}

// Version returns the version of the copy, 0 if there is none.
func (freshness *Freshness) Version() uint64 { return freshness.version }

// Age returns how long ago the copy was last known to be the newest; known is
// false if there is no copy.
func (freshness *Freshness) Age(now time.Time) (age time.Duration, known bool) {
	return max(now.Sub(freshness.confirmed), 0), freshness.known
}

// LongestAge is Age with the time for which the machine was suspended.
func (freshness *Freshness) LongestAge(now time.Time) (age time.Duration, known bool) {
	return max(clock.Elapsed(freshness.confirmed, now), 0), freshness.known
}

// LongestGap returns the longest time between two confirmations since ResetGap, in which versions of
// the document may have come and gone that this instance has not seen.
func (freshness *Freshness) LongestGap() time.Duration { return freshness.longestGap }

// ResetGap records that it is known what the document held in all gaps so far.
func (freshness *Freshness) ResetGap() { freshness.longestGap = 0 }

// OwnReadAge returns how long ago this instance last read the document itself, which is the
// age that it reports to others. Age would let two instances confirm each other's copies
// again and again, later each time by the delay of a message.
func (freshness *Freshness) OwnReadAge(now time.Time) time.Duration {
	return max(now.Sub(freshness.ownReadAt), 0)
}

// RecordOwnRead records, besides RecordRead, that this instance itself read the document at
// the time at.
func (freshness *Freshness) RecordOwnRead(version uint64, at time.Time) {
	freshness.RecordRead(version, at)
	if at.After(freshness.ownReadAt) {
		freshness.ownReadAt = at
	}
}

// RecordRead records that a reading returned this version of the document, the
// newest one at the time at.
func (freshness *Freshness) RecordRead(version uint64, at time.Time) {
	if freshness.known && version < freshness.version {
		return // a late answer; a newer copy has been read since
	}
	if freshness.known {
		freshness.longestGap = max(freshness.longestGap, clock.Elapsed(freshness.confirmed, at))
	}
	freshness.known, freshness.version = true, version
	if at.After(freshness.confirmed) {
		freshness.confirmed = at
	}
}

// RecordFailure records a reading that failed.
func (freshness *Freshness) RecordFailure(now time.Time) { freshness.failedAt = now }

// ObserveCopy records the version and OwnReadAge of another instance's copy. It
// reports whether that copy is newer than this instance's and should be fetched.
func (freshness *Freshness) ObserveCopy(version uint64, age time.Duration, now time.Time) (newer bool) {
	if version == 0 {
		return false
	}
	if !freshness.known || version > freshness.version {
		return true
	}
	if version == freshness.version {
		freshness.RecordRead(version, now.Add(-age))
	}
	return false
}

// Due reports whether the instance should read the document now.
func (freshness *Freshness) Due(leader bool, now time.Time) bool {
	if now.Sub(freshness.failedAt) < readRetryInterval {
		return false
	}
	age, known := freshness.Age(now)
	if !known {
		return true
	}
	if leader {
		return age >= freshness.leaderInterval
	}
	return age >= freshness.maxAge
}

// readRetryInterval is the pause after a reading that failed.
const readRetryInterval = 200 * time.Millisecond
