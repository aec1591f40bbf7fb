package permit

import (
	"time"

	"endiverill.example/kernel/directory"
)

const (
	// MaxAhead is how long before its use a permit can be granted at most.
	MaxAhead = time.Second
	// TTL is how long after the time of its use a permit is void.
	TTL = 300 * time.Millisecond
	// AnswerTimeout is how long an entry waits for the answer of an issuer.
	AnswerTimeout = 100 * time.Millisecond

	minPerSecond  = 0.1             // lower limits are raised to this, so that a request finds out whether they still hold
	issuerBurst   = 2               // permits of an issuer that may be used at once after a pause
	shareBurst    = 1               // the same for an entry without an issuer
	maxStartPause = time.Second     // without a permit at the start of an issuer, for those of the one before
	scheduleTTL   = 5 * time.Minute // after which an unused schedule can be dropped; longer than the longest interval
	maxSchedules  = 256             // above which unused schedules are dropped
)

// Issuer grants permits for requests to limited targets, each at the rate of its target.
type Issuer struct {
	burst     int
	schedules map[directory.TargetKey]*schedule
}

// schedule is the sequence of the permits of one target.
type schedule struct {
	next   time.Time // of the next permit; before now if the target was not asked for
	usedAt time.Time
}

// NewIssuer returns an issuer that has granted no permits. It grants the first ones of a
// target after a pause.
func NewIssuer() *Issuer {
	return &Issuer{burst: issuerBurst, schedules: map[directory.TargetKey]*schedule{}}
}

// NewShareIssuer returns an issuer for the Share of one entry.
func NewShareIssuer() *Issuer {
	return &Issuer{burst: shareBurst, schedules: map[directory.TargetKey]*schedule{}}
}

// Take grants a permit for a request to a target that takes perSecond requests a second. A
// granted permit is to be used after the wait. If none is free within maxWait, nothing is
// granted, and the wait is that for the next one.
func (issuer *Issuer) Take(key directory.TargetKey, perSecond float64, maxWait time.Duration, now time.Time) (granted bool, wait time.Duration) {
	interval := time.Duration(float64(time.Second) / max(perSecond, minPerSecond))
	schedule := issuer.schedule(key, min(interval, maxStartPause), now)
	schedule.usedAt = now
	earliest, latest := now.Add(-time.Duration(issuer.burst-1)*interval), now.Add(MaxAhead+interval)
	if schedule.next.Before(earliest) {
		schedule.next = earliest
	}
	if schedule.next.After(latest) {
		schedule.next = latest // the limit has been raised
	}
	wait = max(schedule.next.Sub(now), 0)
	if wait > min(maxWait, MaxAhead) {
		return false, wait
	}
	schedule.next = schedule.next.Add(interval)
	return true, wait
}

// schedule returns the schedule of a target, whose first permit is free after the pause.
func (issuer *Issuer) schedule(key directory.TargetKey, pause time.Duration, now time.Time) *schedule {
	if known := issuer.schedules[key]; known != nil {
		return known
	}
	if len(issuer.schedules) >= maxSchedules {
		for other, old := range issuer.schedules {
			if now.Sub(old.usedAt) > scheduleTTL {
				delete(issuer.schedules, other)
			}
		}
	}
	added := &schedule{next: now.Add(pause)}
	issuer.schedules[key] = added
	return added
}

// Within the window of the users' rule, each entry may be one request ahead of its share.
const (
	shareEntries     = 5   // for which the rule allows that at any limit
	perSecondEntries = 0.5 // as many more for each request a second
)

// Share returns how many requests a second each of the entries may send to a target while no
// issuer can be reached; 0 if there are too many entries for the limit.
func Share(perSecond float64, entries int) float64 {
	if perSecond < minPerSecond || float64(entries) > shareEntries+perSecondEntries*perSecond {
		return 0
	}
	return perSecond / float64(entries)
}
