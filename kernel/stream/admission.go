package stream

import (
	"maps"
	"slices"
	"time"

	"endiverill.example/kernel/clock"
)

const (
	// FreshRecord is how long after it was asked for the record in the store shows which versions
	// no stream has begun at.
	FreshRecord = 4 * time.Second
	// StartDelay is how long after its start a planner announces no version, so that entries that
	// start with it read the record first.
	StartDelay = 2 * time.Second
)

// VersionRecord is what the store holds: the software versions of each service at which streams
// may have begun, at any entry, and those at which they soon will.
type VersionRecord struct {
	Admitted  map[string][]string
	Announced map[string][]string
	// Incomplete says that streams which can still be taken up may have begun at other versions
	// too, since the store has lost what was written before.
	Incomplete bool
}

// Admission decides at which software versions of a service streams may begin that their callers
// can take up. An entry begins streams only at versions that the record in the store admits, and
// the planner admits a version no sooner than FreshRecord after it has announced it there. So a
// record that was read within FreshRecord names each version at which a stream may have begun,
// whichever entries have been killed since. A store that comes back from an older copy breaks
// this; its record is read as incomplete, and stays so for VersionRetention, after which no
// stream of the time before can be taken up. Where no admitted version of a service is listed,
// streams begin at any.
type Admission struct {
	startedAt time.Time
	record    VersionRecord
	known     bool                 // the record has been read, or the planner has sent what it admits
	readAt    time.Time            // when the record of firstRead was asked for
	firstRead VersionRecord        // as this process found it at its start
	announced map[Origin]time.Time // when the planner has announced or first read it
	lostUntil time.Time            // until when streams of a time may be taken up whose versions are not known
	fence     uint64               // of the planner whose message came last
	received  map[Origin]bool      // what that planner admits; nil if this process has read or written the record since
}

// NewAdmission returns the Admission of a process that starts now.
func NewAdmission(now time.Time) *Admission {
	return &Admission{startedAt: now, announced: map[Origin]time.Time{}}
}

// Read records what the store has, as this process asked for it at the given time.
func (admission *Admission) Read(record VersionRecord, askedAt, now time.Time) {
	if admission.readAt.IsZero() {
		admission.readAt, admission.firstRead = askedAt, record
	}
	if record.Incomplete {
		admission.lostUntil = now.Add(VersionRetention)
	}
	admission.keep(record, now)
}

// Written records what this process has written to the store.
func (admission *Admission) Written(record VersionRecord, now time.Time) { admission.keep(record, now) }

// keep takes over a record. A version that is neither admitted nor announced any more has to be
// announced anew when it comes back.
func (admission *Admission) keep(record VersionRecord, now time.Time) {
	admission.record, admission.known, admission.received = record, true, nil
	announced := map[Origin]time.Time{}
	for service, versions := range record.Announced {
		for _, software := range versions {
			origin := NewOrigin(service, software)
			if announced[origin] = admission.announced[origin]; announced[origin].IsZero() {
				announced[origin] = now
			}
		}
	}
	admission.announced = announced
}

// Receive records what a planner admits, by its message, and reports whether that differs from
// what was known. Messages of earlier planners are ignored, and empty ones: a planner that has
// not read the record yet has nothing to say.
func (admission *Admission) Receive(fence uint64, admitted []Origin) (changed bool) {
	if fence < admission.fence || len(admitted) == 0 {
		return false
	}
	before := admission.Admitted()
	admission.fence, admission.known, admission.received = fence, true, make(map[Origin]bool, len(admitted))
	for _, origin := range admitted {
		admission.received[origin] = true
	}
	return !slices.Equal(before, admission.Admitted())
}

// Known reports whether it is known which versions are admitted.
func (admission *Admission) Known() bool { return admission.known }

// Admits reports whether streams may begin at a software version of a service.
func (admission *Admission) Admits(service, software string) bool {
	if admission.received != nil {
		return admission.received[NewOrigin(service, software)]
	}
	return slices.Contains(admission.record.Admitted[service], software)
}

// Admitted returns the origins of all admitted versions, sorted.
func (admission *Admission) Admitted() []Origin {
	if admission.received != nil {
		return slices.Sorted(maps.Keys(admission.received))
	}
	var origins []Origin
	for service, versions := range admission.record.Admitted {
		for _, software := range versions {
			origins = append(origins, NewOrigin(service, software))
		}
	}
	slices.Sort(origins)
	return origins
}

// Plan returns what the planner is to write: retained is Versions.Recorded, the versions that
// serve or have lately, and listed those in the list now. A service of which no admitted version
// is listed gets all that are at once.
func (admission *Admission) Plan(retained, listed map[string][]string, now time.Time) VersionRecord {
	planned := VersionRecord{
		Admitted: map[string][]string{}, Announced: map[string][]string{}, Incomplete: now.Before(admission.lostUntil),
	}
	for service, versions := range retained {
		serves := slices.ContainsFunc(listed[service], func(software string) bool { return admission.Admits(service, software) })
		for _, software := range versions {
			announcedAt, announced := admission.announced[NewOrigin(service, software)]
			switch {
			case admission.Admits(service, software), !serves && slices.Contains(listed[service], software),
				announced && clock.Elapsed(announcedAt, now) >= FreshRecord:
				planned.Admitted[service] = append(planned.Admitted[service], software)
			case announced, now.Sub(admission.startedAt) >= StartDelay:
				planned.Announced[service] = append(planned.Announced[service], software)
			}
		}
	}
	return planned
}

// BegunAt returns the software version of a service at which all streams have begun that no
// entry knows, if the record that this process found at its start shows it. Other versions may
// be listed since.
func (admission *Admission) BegunAt(service string, now time.Time) (software string, ok bool) {
	if admission.readAt.IsZero() || clock.Elapsed(admission.readAt, now) >= FreshRecord {
		return "", false
	}
	admitted := admission.firstRead.Admitted[service]
	if admission.firstRead.Incomplete || len(admitted) != 1 || len(admission.firstRead.Announced[service]) > 0 {
		return "", false
	}
	return admitted[0], true
}
