package permit

import (
	"math"
	"strconv"
	"strings"
)

// MaxPerSecond is the largest limit that is enforced. It is more than any target serves, so
// that a higher one is none.
const MaxPerSecond = 10000.0

// ParseLimit parses a limit: a decimal number of requests a second, which may have a
// fraction. It returns false for anything else, for a negative number, and for one above
// MaxPerSecond.
func ParseLimit(text string) (perSecond float64, ok bool) {
	text = strings.TrimSpace(text)
	if strings.Trim(text, "0123456789.eE+-") != "" {
		return 0, false // ParseFloat reads hexadecimal numbers and infinities too
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil || math.Signbit(perSecond) && perSecond != 0 || perSecond > MaxPerSecond {
		return 0, false
	}
	return perSecond, true
}
