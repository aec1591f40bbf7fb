package directory

import "time"

// Vintage tracks how fresh an instance's copy of a document is and when to read
// the document again. The leader reads it at a short interval and notifies the
// other instances, so that the load on the platform does not grow with the number
// of instances. The others read it themselves if they have not been notified for
// too long.
type Vintage struct {
	leaderInterval time.Duration // between two readings by the leader
	maxAge         time.Duration // age at which any instance reads
	known          bool          // there is a copy
	number         uint64        // version of the copy; rises with each change of the document
	confirmed      time.Time     // when the copy was last known to be the newest
	failedAt       time.Time     // last reading that failed
}

// NewVintage returns the state of a document that has not been read yet. The
// leader reads it every leaderInterval, other instances once their copy has not
// been confirmed for maxAge.
func NewVintage(leaderInterval, maxAge time.Duration) *Vintage {
	return &Vintage{leaderInterval: leaderInterval, maxAge: maxAge}
}

// Number returns the version number of the copy, 0 if there is none.
func (vintage *Vintage) Number() uint64 { return vintage.number }

// Age returns how long ago the copy was last known to be the newest; known is
// false if there is no copy.
func (vintage *Vintage) Age(now time.Time) (age time.Duration, known bool) {
	return max(now.Sub(vintage.confirmed), 0), vintage.known
}

// Read records that a reading returned the document with this version number, the
// newest one at the time at.
func (vintage *Vintage) Read(number uint64, at time.Time) {
	if vintage.known && number < vintage.number {
		return // a late answer, a newer copy has been read since
	}
	vintage.known, vintage.number = true, number
	if at.After(vintage.confirmed) {
		vintage.confirmed = at
	}
}

// Failed records a reading that failed.
func (vintage *Vintage) Failed(now time.Time) { vintage.failedAt = now }

// Observe records the version number and age of another instance's copy. It
// reports whether that copy is newer than this instance's and should be fetched.
func (vintage *Vintage) Observe(number uint64, age time.Duration, now time.Time) (newer bool) {
	if number == 0 {
		return false
	}
	if !vintage.known || number > vintage.number {
		return true
	}
	if number == vintage.number {
		vintage.Read(number, now.Add(-age))
	}
	return false
}

// Due reports whether the instance should read the document now.
func (vintage *Vintage) Due(leader bool, now time.Time) bool {
	if now.Sub(vintage.failedAt) < readRetryInterval {
		return false
	}
	age, known := vintage.Age(now)
	if !known {
		return true
	}
	if leader {
		return age >= vintage.leaderInterval
	}
	return age >= vintage.maxAge
}

// readRetryInterval is the pause after a reading that failed.
const readRetryInterval = 200 * time.Millisecond
