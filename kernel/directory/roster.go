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
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{targets: map[TargetKey]*Target{}, lapsed: map[TargetKey]bool{}}
}

// Failed records that the list could not be read.
func (roster *Roster) Failed() { roster.failed = true }

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
	roster.targets = next
	targets := make([]*Target, 0, len(next))
	for _, target := range next {
		targets = append(targets, target)
	}
	return targets
}
