package intent

// WriteResult is what a conditional write to the object API came to.
type WriteResult int

// The results of a conditional write.
const (
	Written      WriteResult = iota + 1 // took effect
	Conflicted                          // the record has another version
	NotWritten                          // did not take effect and will not
	WriteUnknown                        // may take effect, now or later
)

// ReadResult is what reading a record came to.
type ReadResult int

// The results of a read.
const (
	Found ReadResult = iota + 1
	Absent
	ReadFailed
)
