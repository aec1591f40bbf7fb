// Package transfer decides how a document moves from one instance to another, so that one
// of any size arrives over any link that still carries something: it is sent in parts, what
// has arrived is kept when a part fails, and an instance serves a few others at a time,
// while those that have the document serve the rest. It does no I/O.
package transfer

import "time"

const (
	maxPartBytes     = 32 << 10 // 26 ms of a link with 10 Mbit/s
	minPartBytes     = 2 << 10
	maxDocumentBytes = 16 << 20 // announced sizes above it are refused
)

// Part is a part of a document.
type Part struct {
	Digest uint64 // of the whole document
	Size   int    // of the whole document, in bytes
	Offset int    // of Data in the document
	Data   []byte
}

// Download assembles one document at a time from its parts. The zero value has none.
type Download struct {
	digest    uint64
	data      []byte // what has arrived, from the start of the document
	size      int
	began     time.Time // when the first part of the document arrived
	lastAt    time.Time // when the latest part arrived
	partBytes int       // to ask for
}

// Next returns what to ask for next: the digest of the document that has begun to arrive,
// 0 if there is none, and the offset and the largest size of its next part.
func (download *Download) Next() (digest uint64, offset, partBytes int) {
	if download.partBytes == 0 {
		download.partBytes = maxPartBytes
	}
	return download.digest, len(download.data), download.partBytes
}

// Add adds a part that has arrived. A part of another document replaces what has arrived
// of the previous one. It returns the document if it is complete, and whether the part was
// of use.
func (download *Download) Add(part Part, now time.Time) (document []byte, useful bool) {
	if part.Size <= 0 || part.Size > maxDocumentBytes || len(part.Data) == 0 {
		return nil, false
	}
	if part.Digest != download.digest || part.Size != download.size {
		if part.Offset != 0 {
			return nil, false
		}
		download.digest, download.size, download.data, download.began = part.Digest, part.Size, nil, now
	}
	if part.Offset != len(download.data) || part.Offset+len(part.Data) > part.Size {
		return nil, false
	}
	download.data = append(download.data, part.Data...)
	download.lastAt = now
	download.partBytes = min(2*max(download.partBytes, minPartBytes), maxPartBytes)
	if len(download.data) < download.size {
		return nil, true
	}
	document = download.data
	*download = Download{partBytes: download.partBytes}
	return document, true
}

// Fail records that a part did not arrive in time. The next one is smaller, so that it
// fits a slower link.
func (download *Download) Fail() {
	download.partBytes = max(download.partBytes/2, minPartBytes)
}

// Expect returns when the document will be complete if the rest arrives as fast as what has
// arrived; ok is false if no document is arriving.
func (download *Download) Expect(now time.Time) (end time.Time, ok bool) {
	if len(download.data) == 0 || now.Sub(download.lastAt) > stalledAfter {
		return time.Time{}, false
	}
	elapsed := now.Sub(download.began)
	rest := float64(download.size-len(download.data)) / float64(len(download.data))
	return now.Add(time.Duration(float64(elapsed) * rest)), true
}

// stalledAfter is the time without a part after which a document is not expected any more.
const stalledAfter = 400 * time.Millisecond
