package instance

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// NewIncarnation returns a number that no other start of a process has; never 0.
func NewIncarnation() uint64 { return xxhash.Sum64String(uuid.NewString()) | 1 }
