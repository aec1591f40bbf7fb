package directory

import "time"

// Vintage tells how new an instance's copy of a document is, and when to read
// the document anew. The instance that leads reads often and tells the others,
// so that the platform is asked as often however many instances there are; the
// others read by themselves once they have not been told for too long.
type Vintage struct {
	often     time.Duration // between two readings of the instance that leads
	most      time.Duration // age at which any instance reads
	known     bool
	number    uint64    // rises with each change of the document
	confirmed time.Time // the copy was the newest then
	tried     time.Time // last reading that failed
}

// NewVintage returns the vintage of a document that has not been read.
func NewVintage(often, most time.Duration) *Vintage { return &Vintage{often: often, most: most} }

// Number returns the number of the copy, 0 while there is none.
func (vintage *Vintage) Number() uint64 { return vintage.number }

// Age returns how long ago the copy was known to be the newest; known is false
// while there is none.
func (vintage *Vintage) Age(now time.Time) (age time.Duration, known bool) {
	return max(now.Sub(vintage.confirmed), 0), vintage.known
}

// Read records a reading that showed the document with that number at a time.
func (vintage *Vintage) Read(number uint64, at time.Time) {
	if vintage.known && number < vintage.number {
		return // an answer that was overtaken
	}
	vintage.known, vintage.number = true, number
	if at.After(vintage.confirmed) {
		vintage.confirmed = at
	}
}

// Failed records a reading without an answer.
func (vintage *Vintage) Failed(now time.Time) { vintage.tried = now }

// Observe records what another instance says of its copy. It returns whether that
// copy is newer than the own one, so that it should be fetched.
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

// Due says whether the instance should read the document now.
func (vintage *Vintage) Due(leads bool, now time.Time) bool {
	if now.Sub(vintage.tried) < readRetry {
		return false
	}
	age, known := vintage.Age(now)
	if !known {
		return true
	}
	if leads {
		return age >= vintage.often
	}
	return age >= vintage.most
}

// readRetry is the pause after a reading that failed.
const readRetry = 200 * time.Millisecond
