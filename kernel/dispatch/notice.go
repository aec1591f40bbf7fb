package dispatch

import (
	"time"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/permit"
	"endiverill.example/kernel/retry"
)

const (
	// noticeTTL is how long a notice is kept after the target was last listed or the rest
	// has ended. By then a target that leaves has ended.
	noticeTTL = 10 * time.Minute
	// limitReportedFor is how long this instance reports what a target has said of its limit.
	limitReportedFor  = 10 * time.Second
	maxReportedLimits = 64 // limits in one report, the latest first
)

// notice is what a target has asked of this instance in its answers. It holds for one
// incarnation of the target and outlasts the target's place in the list.
type notice struct {
	rest        retry.Rest
	leaving     bool         // this instance sends nothing any more
	limit       permit.Limit // as this instance knows it, also from others
	ownLimit    permit.Limit // from the responses that this instance got
	deniedUntil time.Time    // no permit for a request is free earlier
	expires     time.Time    // when it can be dropped if the target is not listed
}

// keepUntil has the notice expire no earlier than at the given time.
func (notice *notice) keepUntil(expires time.Time) {
	if expires.After(notice.expires) {
		notice.expires = expires
	}
}

// RecordRest records that a target asked for no further requests of this instance until
// the given time. A rest that ends earlier does not shorten the one before.
func (dispatcher *Dispatcher) RecordRest(key directory.TargetKey, until, now time.Time) {
	notice := dispatcher.notice(key, now)
	notice.rest.Extend(until)
	notice.keepUntil(until.Add(noticeTTL))
}

// RecordLeaving records that a target stated that it leaves, whatever the list says. It
// reports whether this is new.
func (dispatcher *Dispatcher) RecordLeaving(key directory.TargetKey, now time.Time) bool {
	notice := dispatcher.notice(key, now)
	known := notice.leaving
	notice.leaving = true
	notice.keepUntil(now.Add(noticeTTL))
	return !known
}

// notice returns the notice of a target, after it has dropped the expired ones when
// there is none yet.
func (dispatcher *Dispatcher) notice(key directory.TargetKey, now time.Time) *notice {
	if known := dispatcher.notices[key]; known != nil {
		return known
	}
	for other, old := range dispatcher.notices {
		if replica := dispatcher.replicas[other]; (replica == nil || replica.unlisted) && now.After(old.expires) {
			delete(dispatcher.notices, other)
		}
	}
	added := &notice{expires: now.Add(noticeTTL)}
	dispatcher.notices[key] = added
	if replica := dispatcher.replicas[key]; replica != nil {
		replica.notice = added
	}
	return added
}

// restLeft returns how long the target has still asked this instance for no requests, 0
// if it takes them.
func (replica *replica) restLeft(now time.Time) time.Duration {
	if replica.notice == nil {
		return 0
	}
	return replica.notice.rest.Left(now)
}

// withheld returns how long the target is to get no requests, and why; 0 if it takes them.
func (replica *replica) withheld(now time.Time) (reason Reason, left time.Duration) {
	if left := replica.restLeft(now); left > 0 {
		return Resting, left
	}
	return Limited, replica.deniedFor(now)
}
