package instance

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// NewIncarnation returns a random number other than 0 that identifies one start
// of a process.
func NewIncarnation() uint64 { return xxhash.Sum64String(uuid.NewString()) | 1 }
