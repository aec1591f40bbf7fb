package stream

import (
	"slices"
	"time"
)

// VersionRetention is how long after a software version of a service was last listed it is
// remembered. Streams that may last longer are not covered by Versions.Sole.
const VersionRetention = 2 * time.Minute

// Versions holds which software versions have served each service lately. A target that
// states no version has the version "", which is one like any other.
type Versions struct {
	since    time.Time // from which on the list has been observed
	observed bool
	recalled bool // the versions before since are known
	services map[string]map[string]served
}

// served says when a software version has served a service.
type served struct {
	listed bool      // now
	until  time.Time // if not listed: it may have served until then
}

// NewVersions returns the Versions of a process that starts now and has observed nothing. The
// history before the first observation is unknown until Recall.
func NewVersions(now time.Time) *Versions {
	return &Versions{since: now, services: map[string]map[string]served{}}
}

// Observe records the software versions that each service has in the list of targets now. A
// version that the observation before held and this one lacks may have served until now,
// whatever the time between the two. Versions last listed before VersionRetention are
// forgotten.
func (versions *Versions) Observe(serving map[string][]string, now time.Time) {
	if !versions.observed {
		versions.observed, versions.since = true, now
	}
	for service, known := range versions.services {
		for software, last := range known {
			switch {
			case slices.Contains(serving[service], software):
			case last.listed:
				known[software] = served{until: now}
			case now.Sub(last.until) > VersionRetention:
				delete(known, software)
			}
		}
		if len(known) == 0 {
			delete(versions.services, service)
		}
	}
	for service, listed := range serving {
		for _, software := range listed {
			versions.of(service)[software] = served{listed: true}
		}
	}
}

// Recall records the software versions of each service that an earlier process has left in
// the store, or another one has written there since. They count as having served until now.
// From then on the history before the first observation is known; it is empty if recorded
// is.
func (versions *Versions) Recall(recorded map[string][]string, now time.Time) {
	versions.recalled = true
	for service, listed := range recorded {
		known := versions.of(service)
		for _, software := range listed {
			if !known[software].listed {
				known[software] = served{until: now}
			}
		}
	}
}

// RecallIncomplete is Recall for a record that may lack versions that served before now. The
// history is known from now on.
func (versions *Versions) RecallIncomplete(recorded map[string][]string, now time.Time) {
	versions.Recall(recorded, now)
	versions.recalled, versions.since = false, now
}

// of returns what is known of a service, for changes.
func (versions *Versions) of(service string) map[string]served {
	known := versions.services[service]
	if known == nil {
		known = map[string]served{}
		versions.services[service] = known
	}
	return known
}

// Sole returns the one software version that a service has in the list now, if no other one
// has served it within the time before now and the history is known as far back. It reports
// false for times over VersionRetention. It can know no more than the list does: the caller
// must know that the list is the newest.
func (versions *Versions) Sole(service string, within time.Duration, now time.Time) (software string, sole bool) {
	if within > VersionRetention || !versions.recalled && versions.since.After(now.Add(-within)) {
		return "", false
	}
	for candidate, last := range versions.services[service] {
		switch {
		case last.listed && sole:
			return "", false
		case last.listed:
			software, sole = candidate, true
		case now.Sub(last.until) <= within:
			return "", false
		}
	}
	return software, sole
}

// Recorded returns the software versions of each service that serve it or have served it
// within VersionRetention, sorted, for the store. A process that has not recalled what is
// there must not overwrite it: what it has not observed would be lost.
func (versions *Versions) Recorded(now time.Time) map[string][]string {
	recorded := map[string][]string{}
	for service, known := range versions.services {
		for software, last := range known {
			if last.listed || now.Sub(last.until) <= VersionRetention {
				recorded[service] = append(recorded[service], software)
			}
		}
		slices.Sort(recorded[service])
	}
	return recorded
}
