package transfer

import "time"

const (
	maxUploads = 3                      // requesters that are served at a time
	uploadIdle = 250 * time.Millisecond // a requester that has not asked for so long makes room for another
)

// Uploads decides which requesters an instance sends parts of a document to. A few at a
// time get all of a slow link, so that they soon have the document and serve others.
type Uploads struct {
	lastAsked map[uint64]time.Time // by requester
}

// NewUploads returns the state of an instance that serves nobody yet.
func NewUploads() *Uploads { return &Uploads{lastAsked: map[uint64]time.Time{}} }

// Admit reports whether the requester is served. One that is stays so until End, or until
// it stops asking.
func (uploads *Uploads) Admit(requester uint64, now time.Time) bool {
	for other, at := range uploads.lastAsked {
		if now.Sub(at) > uploadIdle {
			delete(uploads.lastAsked, other)
		}
	}
	if _, served := uploads.lastAsked[requester]; !served && len(uploads.lastAsked) >= maxUploads {
		return false
	}
	uploads.lastAsked[requester] = now
	return true
}

// End records that the requester has been sent the last part.
func (uploads *Uploads) End(requester uint64) { delete(uploads.lastAsked, requester) }
