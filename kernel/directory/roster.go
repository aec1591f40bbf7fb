package directory

import "time"

// returnGrace is how long targets that lapsed while the list could not be read
// are still used after its return; the platform says that those alive are back
// within two seconds.
const returnGrace = 2 * time.Second

// Roster turns readings of a list that can be away into the targets to use.
type Roster struct {
	targets map[TargetKey]*Target
	failed  bool
	back    time.Time // when the list came back last
	lapsed  map[TargetKey]bool
	ended   map[TargetKey]time.Time // starts that were found replaced, and when
	early   map[TargetKey]time.Time // starts that are used before they are listed
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{
		targets: map[TargetKey]*Target{}, lapsed: map[TargetKey]bool{},
		ended: map[TargetKey]time.Time{}, early: map[TargetKey]time.Time{},
	}
}

// Failed records that the list could not be read.
func (roster *Roster) Failed() { roster.failed = true }

// earlyLife is how long a start is used that the list does not show; the
// platform writes it within two heartbeats.
const earlyLife = 5 * time.Second

// Replaced records that another start, known by its ID and time, stands at the
// address of the targets on a host. It returns whether that changes anything.
func (roster *Roster) Replaced(host, id string, born int64, now time.Time) bool {
	key := TargetKey{id, born}
	if _, known := roster.targets[key]; known {
		return false
	}
	for old, target := range roster.targets {
		if target.Host() != host || old.Born > born {
			continue
		}
		roster.ended[old] = now
		delete(roster.targets, old)
		delete(roster.early, old)
		roster.targets[key] = target.Restarted(id, born)
		roster.early[key] = now
		return true
	}
	return false
}

// Targets returns the targets to use.
func (roster *Roster) Targets() []*Target {
	targets := make([]*Target, 0, len(roster.targets))
	for _, target := range roster.targets {
		targets = append(targets, target)
	}
	return targets
}

// Update takes in a reading and returns the targets to use.
func (roster *Roster) Update(listed []*Target, now time.Time) []*Target {
	if roster.failed {
		roster.failed = false
		roster.back = now
		for key := range roster.targets {
			roster.lapsed[key] = true
		}
	}
	next := make(map[TargetKey]*Target, len(listed))
	addresses := map[string]bool{}
	for _, target := range listed {
		if _, ended := roster.ended[target.Key()]; ended {
			continue
		}
		next[target.Key()] = target
		addresses[target.Address()] = true
		delete(roster.lapsed, target.Key())
	}
	for key := range roster.lapsed {
		known := roster.targets[key]
		if known == nil || now.Sub(roster.back) > returnGrace || addresses[known.Address()] {
			delete(roster.lapsed, key)
			continue
		}
		next[key] = known
	}
	roster.keepEarly(next, now)
	roster.targets = next
	return roster.Targets()
}

// keepEarly adds the starts that are not listed yet.
func (roster *Roster) keepEarly(next map[TargetKey]*Target, now time.Time) {
	for key, since := range roster.early {
		if _, listed := next[key]; listed || now.Sub(since) > earlyLife {
			delete(roster.early, key)
			continue
		}
		next[key] = roster.targets[key]
	}
	for key, since := range roster.ended {
		if now.Sub(since) > endedLife {
			delete(roster.ended, key)
		}
	}
}

// endedLife is how long the list may still show a start that has ended.
const endedLife = 30 * time.Second
