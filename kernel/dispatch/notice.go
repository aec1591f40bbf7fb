package dispatch

import (
	"time"

	"endiverill.example/kernel/directory"
)

// noticeTTL is how long a notice is kept after the target was last listed or the rest
// has ended. By then a target that leaves has ended.
const noticeTTL = 10 * time.Minute

// notice is what a target has asked of this instance in its answers. It holds for one
// incarnation of the target and outlasts the target's place in the list.
type notice struct {
	restUntil time.Time // until then, this instance sends nothing
	leaving   bool      // this instance sends nothing any more
	expires   time.Time // when it can be dropped if the target is not listed
}

// RecordRest records that a target asked for no further requests of this instance until
// the given time. A rest that ends earlier does not shorten the one before.
func (dispatcher *Dispatcher) RecordRest(key directory.TargetKey, until, now time.Time) {
	notice := dispatcher.notice(key, now)
	if until.After(notice.restUntil) {
		notice.restUntil, notice.expires = until, until.Add(noticeTTL)
	}
}

// RecordLeaving records that a target stated that it leaves, whatever the list says. It
// reports whether this is new.
func (dispatcher *Dispatcher) RecordLeaving(key directory.TargetKey, now time.Time) bool {
	notice := dispatcher.notice(key, now)
	known := notice.leaving
	notice.leaving, notice.expires = true, now.Add(noticeTTL)
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

// resting reports whether the target has asked this instance for no requests now.
func (replica *replica) resting(now time.Time) bool {
	return replica.notice != nil && now.Before(replica.notice.restUntil)
}
