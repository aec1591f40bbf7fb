// Package retry bounds the traffic that retries may add to that of first attempts. Within
// any window, all entries together may repeat requests for a service at most as often as
// Limits allows. Budget holds the retries that one entry has earned by its own requests, so
// that their sum keeps the ratio however many entries there are and whatever they know of
// each other. Reserve holds the allowance of the whole fleet at one entry, the holder of a
// lease. An entry that has earned none asks some others for one that they have earned, and
// then the holder. The package does no I/O. Packages entry and gateway decide whether a
// request needs a retry and where to send it, and carry the questions.
package retry

import "time"

// Limits are the limits on the retries for one service by all entries.
type Limits struct {
	Ratio     float64       // retries for each request within the window
	Window    time.Duration // sliding window over which retries and requests are counted
	Allowance int           // retries within the window beyond the ratio
}

const (
	// GrantTTL is how long after the question a retry granted by another entry may be taken.
	GrantTTL = 50 * time.Millisecond
	// MaxLenders is the number of entries that one retry is asked of before the holder.
	MaxLenders = 2

	maxReadDelay = 1500 * time.Millisecond // from the caller's sending to RecordRequest; callers give up a request that is not read within 1 s, and it may then wait for the rate of its customer
	maxTransit   = 500 * time.Millisecond  // from the decision on a retry, here or at another entry, to its arrival at the target
)
