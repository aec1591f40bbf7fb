package intent

// WriteResult is the result of a conditional write to the object API.
type WriteResult int

// The results of a conditional write.
const (
	Written      WriteResult = iota + 1 // took effect
	Conflicted                          // the stored record has another version
	NotWritten                          // has not taken effect and never will
	WriteUnknown                        // may have taken effect or may do so later
)

// ReadResult is the result of reading a record.
type ReadResult int

// The results of a read.
const (
	Found ReadResult = iota + 1
	Absent
	ReadFailed
)
