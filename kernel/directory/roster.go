package directory

import "time"

// recoveryGrace is how long targets that are missing from the list after an
// outage of its source are still used. By the platform's specification, running
// targets are listed again within two seconds.
const recoveryGrace = 2 * time.Second

// Roster determines the targets to use from successive versions of the list of
// targets. It tolerates outages of the list's source and delays of the list.
type Roster struct {
	targets     map[TargetKey]*Target
	failed      bool                    // the last reading failed
	recoveredAt time.Time               // when a reading last succeeded after an outage
	missing     map[TargetKey]bool      // targets in use before the outage and not listed since
	replaced    map[TargetKey]time.Time // time at which an incarnation was found replaced
	unlisted    map[TargetKey]time.Time // time since which an incarnation is used before it is listed
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{
		targets: map[TargetKey]*Target{}, missing: map[TargetKey]bool{},
		replaced: map[TargetKey]time.Time{}, unlisted: map[TargetKey]time.Time{},
	}
}

// Failed records that the list could not be read.
func (roster *Roster) Failed() { roster.failed = true }

// unlistedTTL is how long an incarnation is used that the list does not show; the
// platform lists it within two heartbeats.
const unlistedTTL = 5 * time.Second

// Replaced records that an incarnation with this ID, started at born in Unix
// milliseconds, has replaced an earlier one on host. It reports whether this
// changes the targets to use.
func (roster *Roster) Replaced(host, id string, born int64, now time.Time) bool {
	key := TargetKey{id, born}
	if _, known := roster.targets[key]; known {
		return false
	}
	for old, target := range roster.targets {
		if target.Host() != host || old.Born > born {
			continue
		}
		roster.replaced[old] = now
		delete(roster.targets, old)
		delete(roster.unlisted, old)
		roster.targets[key] = target.Restarted(id, born)
		roster.unlisted[key] = now
		return true
	}
	return false
}

// Targets returns the targets to use, in no particular order.
func (roster *Roster) Targets() []*Target {
	targets := make([]*Target, 0, len(roster.targets))
	for _, target := range roster.targets {
		targets = append(targets, target)
	}
	return targets
}

// Update records a reading of the list and returns the targets to use.
func (roster *Roster) Update(listed []*Target, now time.Time) []*Target {
	if roster.failed {
		roster.failed = false
		roster.recoveredAt = now
		for key := range roster.targets {
			roster.missing[key] = true
		}
	}
	next := make(map[TargetKey]*Target, len(listed))
	addresses := map[string]bool{}
	for _, target := range listed {
		if _, replaced := roster.replaced[target.Key()]; replaced {
			continue
		}
		next[target.Key()] = target
		addresses[target.Address()] = true
		delete(roster.missing, target.Key())
	}
	for key := range roster.missing {
		known := roster.targets[key]
		if known == nil || now.Sub(roster.recoveredAt) > recoveryGrace || addresses[known.Address()] {
			delete(roster.missing, key)
			continue
		}
		next[key] = known
	}
	roster.keepUnlisted(next, now)
	roster.targets = next
	return roster.Targets()
}

// keepUnlisted adds to next the incarnations that are not listed yet, and forgets
// those that were replaced long ago.
func (roster *Roster) keepUnlisted(next map[TargetKey]*Target, now time.Time) {
	for key, since := range roster.unlisted {
		if _, listed := next[key]; listed || now.Sub(since) > unlistedTTL {
			delete(roster.unlisted, key)
			continue
		}
		next[key] = roster.targets[key]
	}
	for key, since := range roster.replaced {
		if now.Sub(since) > replacedTTL {
			delete(roster.replaced, key)
		}
	}
}

// replacedTTL is how long the list may still show an incarnation that has ended.
const replacedTTL = 30 * time.Second
