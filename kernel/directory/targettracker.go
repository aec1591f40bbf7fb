package directory

import "time"

// recoveryGrace is how long targets that are missing from the list after an
// outage of its source are still used. By the platform's specification, running
// targets are listed again within two seconds.
const recoveryGrace = 2 * time.Second

// TargetTracker determines the targets to use from successive versions of the list of
// targets. It tolerates outages of the list's source and delays of the list.
type TargetTracker struct {
	targets     map[TargetKey]*Target
	listed      []*Target               // in the last reading
	failed      bool                    // this instance's last reading failed, and nobody is known to have read the list since
	failedAt    time.Time               // when it failed
	recoveredAt time.Time               // when a reading last succeeded after an outage
	missing     map[TargetKey]bool      // targets in use before the outage and not listed since
	replaced    map[TargetKey]time.Time // time at which an incarnation was found replaced
	unlisted    map[TargetKey]time.Time // time since which an incarnation is used although not listed yet
	removed     map[TargetKey]time.Time // time at which the list lacked a target in use, for copyMaxAge
	rollback    rollback
}

// rollback is what lists showed before their source came back from an older copy.
type rollback struct {
	until   time.Time // for which it is held against the list
	leaving map[TargetKey]bool
	gone    map[TargetKey]bool
}

const (
	// copyMaxAge is how old the copy may be that a source comes back from.
	copyMaxAge = 30 * time.Second
	// rollbackRetention is how long after its return a source may list targets that have left
	// as they were before. Targets write their entries again within two seconds; those of
	// targets that have ended lapse after three of their heartbeats.
	rollbackRetention = 10 * time.Second
)

// RecordRollback records that the next list to be passed to Update is the first one, at the
// time at, since its source came back from an older copy. Targets that left before must not be
// used again because the copy lists them, and targets that came since are listed again within
// recoveryGrace.
func (targetTracker *TargetTracker) RecordRollback(at time.Time) {
	if !targetTracker.rollback.until.After(at) {
		targetTracker.rollback = rollback{leaving: map[TargetKey]bool{}, gone: map[TargetKey]bool{}}
	}
	targetTracker.rollback.until = at.Add(rollbackRetention)
	for _, target := range targetTracker.listed {
		if target.Draining() {
			targetTracker.rollback.leaving[target.Key()] = true
		}
	}
	for key := range targetTracker.removed {
		targetTracker.rollback.gone[key] = true
	}
	targetTracker.recoveredAt = at
	for key := range targetTracker.targets {
		targetTracker.missing[key] = true
	}
}

// correct returns the listed targets without those that had gone before a rollback of the
// list, and with those leaving that were.
func (targetTracker *TargetTracker) correct(listed []*Target, now time.Time) []*Target {
	if !targetTracker.rollback.until.After(now) {
		return listed
	}
	corrected := make([]*Target, 0, len(listed))
	for _, target := range listed {
		switch key := target.Key(); {
		case targetTracker.rollback.gone[key]:
			continue
		case targetTracker.rollback.leaving[key] && !target.Draining():
			target = target.Left()
		}
		corrected = append(corrected, target)
	}
	return corrected
}

// recordRemoved keeps which targets in use next does not hold any more.
func (targetTracker *TargetTracker) recordRemoved(next map[TargetKey]*Target, now time.Time) {
	for key := range targetTracker.targets {
		if next[key] == nil {
			targetTracker.removed[key] = now
		}
	}
	for key, at := range targetTracker.removed {
		if next[key] != nil || now.Sub(at) > copyMaxAge {
			delete(targetTracker.removed, key)
		}
	}
}

// NewTargetTracker returns a TargetTracker without targets.
func NewTargetTracker() *TargetTracker {
	return &TargetTracker{
		targets: map[TargetKey]*Target{}, missing: map[TargetKey]bool{},
		replaced: map[TargetKey]time.Time{}, unlisted: map[TargetKey]time.Time{},
		removed: map[TargetKey]time.Time{},
	}
}

// RecordFailure records that this instance could not read the list.
func (targetTracker *TargetTracker) RecordFailure(now time.Time) {
	targetTracker.failed, targetTracker.failedAt = true, now
}

// RecordConfirmation records that another instance read the list at the time at, and that
// it was as in the last Update. The outage, if there was one, had ended then: the source
// may have turned away this instance alone.
func (targetTracker *TargetTracker) RecordConfirmation(at time.Time) {
	if targetTracker.failed && at.After(targetTracker.failedAt) {
		targetTracker.Update(targetTracker.listed, at)
	}
}

// unlistedTTL is how long an incarnation is used that the list does not show yet;
// the platform lists it within two heartbeats.
const unlistedTTL = 5 * time.Second

// RecordReplacement records that an incarnation with this ID, started at startedAt in
// Unix milliseconds, has replaced an earlier one on host. It assumes that a host runs
// one target, and reports whether this changes the targets to use.
func (targetTracker *TargetTracker) RecordReplacement(host, id string, startedAt int64, now time.Time) bool {
	key := TargetKey{id, startedAt}
	if _, known := targetTracker.targets[key]; known {
		return false
	}
	for old, target := range targetTracker.targets {
		if target.Host() != host || old.StartedAt > startedAt {
			continue
		}
		targetTracker.replaced[old] = now
		delete(targetTracker.targets, old)
		delete(targetTracker.unlisted, old)
		targetTracker.targets[key] = target.Restarted(id, startedAt)
		targetTracker.unlisted[key] = now
		return true
	}
	return false
}

// Targets returns the targets to use, in no particular order.
func (targetTracker *TargetTracker) Targets() []*Target {
	targets := make([]*Target, 0, len(targetTracker.targets))
	for _, target := range targetTracker.targets {
		targets = append(targets, target)
	}
	return targets
}

// Update records a reading of the list, by this or another instance at the time at, and
// returns the targets to use. After an outage, targets in use that the list lacks are
// still used for recoveryGrace from the first reading, unless a listed target has their
// address.
func (targetTracker *TargetTracker) Update(listed []*Target, at time.Time) []*Target {
	if targetTracker.failed && !at.Before(targetTracker.failedAt) {
		targetTracker.failed = false
		targetTracker.recoveredAt = at
		for key := range targetTracker.targets {
			targetTracker.missing[key] = true
		}
	}
	targetTracker.listed = listed
	return targetTracker.apply(at)
}

// Expire returns the targets to use at now, without those that the last reading of the
// list lacks and whose time has passed. While the list cannot be read, it drops none.
func (targetTracker *TargetTracker) Expire(now time.Time) []*Target {
	if targetTracker.failed {
		return targetTracker.Targets()
	}
	return targetTracker.apply(now)
}

// apply determines the targets to use from the last reading of the list.
func (targetTracker *TargetTracker) apply(now time.Time) []*Target {
	listed := targetTracker.correct(targetTracker.listed, now)
	next := make(map[TargetKey]*Target, len(listed))
	addresses := map[string]bool{}
	for _, target := range listed {
		if _, replaced := targetTracker.replaced[target.Key()]; replaced {
			continue
		}
		next[target.Key()] = target
		addresses[target.Address()] = true
		delete(targetTracker.missing, target.Key())
	}
	for key := range targetTracker.missing {
		known := targetTracker.targets[key]
		if known == nil || now.Sub(targetTracker.recoveredAt) > recoveryGrace || addresses[known.Address()] {
			delete(targetTracker.missing, key)
			continue
		}
		next[key] = known
	}
	targetTracker.keepUnlisted(next, now)
	targetTracker.recordRemoved(next, now)
	targetTracker.targets = next
	return targetTracker.Targets()
}

// keepUnlisted adds to next the incarnations that are not listed yet, for at most
// unlistedTTL. It drops the records of replaced incarnations after replacedTTL.
func (targetTracker *TargetTracker) keepUnlisted(next map[TargetKey]*Target, now time.Time) {
	for key, since := range targetTracker.unlisted {
		if _, listed := next[key]; listed || now.Sub(since) > unlistedTTL {
			delete(targetTracker.unlisted, key)
			continue
		}
		next[key] = targetTracker.targets[key]
	}
	for key, since := range targetTracker.replaced {
		if now.Sub(since) > replacedTTL {
			delete(targetTracker.replaced, key)
		}
	}
}

// replacedTTL is how long the list may still show an incarnation that has ended.
const replacedTTL = 30 * time.Second
