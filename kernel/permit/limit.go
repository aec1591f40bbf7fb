// Package permit keeps the requests that all entries together send to a target within the
// limit that the target names in its responses. Limit is what one entry knows of a target's
// limit. Issuer grants permits for single requests to limited targets; there is one for each
// target at a time: at the target's agent, or at the entry that holds a lease. Share is what
// each entry may send while no issuer can be reached. The package does no I/O and is not safe
// for concurrent use; packages gateway and sidecar carry the questions for permits.
package permit

import "time"

const (
	overtaking   = 100 * time.Millisecond // by which a request must be later than the last response with a limit, so that its response without one counts
	confirmedFor = time.Second            // for which a limit counts as confirmed by a response that names it
)

// Limit is the limit of one incarnation of a target, as far as an entry knows it. The zero
// value is no limit. A later response decides, in whatever order responses and the messages
// of other entries arrive.
type Limit struct {
	perSecond float64
	namedAt   time.Time // arrival of the latest response that names the limit
	clearedAt time.Time // sending of the latest request whose response names none
}

// Name records a response that arrived at the given time and names a limit.
func (limit *Limit) Name(perSecond float64, at time.Time) {
	if at.After(limit.namedAt) {
		limit.perSecond, limit.namedAt = perSecond, at
	}
}

// Clear records a response that names no limit, to a request sent at the given time.
func (limit *Limit) Clear(sentAt time.Time) {
	if sentAt.After(limit.clearedAt) {
		limit.clearedAt = sentAt
	}
}

// InForce returns the limit, in requests a second; false if the target has none.
func (limit *Limit) InForce() (perSecond float64, ok bool) {
	if limit.namedAt.IsZero() || limit.clearedAt.After(limit.namedAt.Add(overtaking)) {
		return 0, false
	}
	return limit.perSecond, true
}

// Confirmed reports whether a response has named the limit lately.
func (limit *Limit) Confirmed(now time.Time) bool {
	_, ok := limit.InForce()
	return ok && now.Sub(limit.namedAt) < confirmedFor
}

// NewLimit returns the Limit of these values; a zero time is that of no response.
func NewLimit(perSecond float64, namedAt, clearedAt time.Time) Limit {
	return Limit{perSecond: perSecond, namedAt: namedAt, clearedAt: clearedAt}
}

// Merge records what another entry knows.
func (limit *Limit) Merge(other Limit) {
	limit.Name(other.perSecond, other.namedAt)
	limit.Clear(other.clearedAt)
}

// NamedAt returns when the latest response that names the limit arrived; zero for never.
func (limit *Limit) NamedAt() time.Time { return limit.namedAt }

// Named returns the limit of the latest response that names one, in requests a second.
func (limit *Limit) Named() float64 { return limit.perSecond }

// ClearedAt returns when the latest request was sent whose response names no limit; zero for
// never.
func (limit *Limit) ClearedAt() time.Time { return limit.clearedAt }

// ChangedAt returns the later of NamedAt and ClearedAt.
func (limit *Limit) ChangedAt() time.Time {
	if limit.clearedAt.After(limit.namedAt) {
		return limit.clearedAt
	}
	return limit.namedAt
}
