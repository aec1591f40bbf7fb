package retry

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	maxAfter    = 24 * time.Hour // longer waits are cut to this
	spreadPart  = 4              // a wait is lengthened by up to one of so many parts of it
	maxSpreadBy = time.Second
)

// ParseAfter parses a Retry-After header: a number of seconds, which may have a fraction.
// It returns 0 for anything else, and for a value that is not positive.
func ParseAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxAfter.Seconds()) * float64(time.Second))
}

// Spread lengthens a wait by a fraction, from 0 to 1, of what it may be lengthened by. With
// random fractions, those who were given the same wait do not all come back at its end.
func Spread(wait time.Duration, fraction float64) time.Duration {
	return wait + time.Duration(fraction*float64(min(wait/spreadPart, maxSpreadBy)))
}
