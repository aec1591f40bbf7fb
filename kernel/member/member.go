// Package member keeps an entry's view of each target: the agent's incarnation,
// the resident models, and whether the target is leaving, suspected to be down, or
// damped (without new requests for a while) after frequent restarts. The view is
// built from load reports, leave notices and failed calls, which the entry passes
// in. Package route chooses among the usable targets. Package member does no I/O.
package member

import (
	"slices"
	"time"

	"endiverill.example/kernel/wire"
)

const (
	suspectThreshold     = 3                // consecutive failed calls that make a target suspected
	flapWindow           = time.Minute      // period over which restarts are counted
	flapLimit            = 3                // restarts within flapWindow that damp a target
	dampDuration         = 30 * time.Second // a damped target gets no new requests for this long
	maxEndedIncarnations = 8                // ended incarnations remembered per target
	maxClockDrift        = 0.001            // relative rate difference between the clocks of two hosts
)

// Member is an entry's view of one target.
type Member struct {
	name              string
	incarnation       uint64
	sequence          uint64
	generation        uint64
	leaving           bool
	failures          int
	resident          []string
	softwareVersion   string
	slots             int
	firstSeen         time.Time
	restarts          []time.Time
	dampedUntil       time.Time
	endedIncarnations []uint64
	agentClock        time.Duration // the agent's clock in the last load report: time since its start
	clockRequested    time.Time     // when that report was requested, by the entry's clock
}

// Incarnation returns the agent's current incarnation, 0 before the first load
// report.
func (member *Member) Incarnation() uint64 { return member.incarnation }

// Generation returns the configuration generation of the agent's last report.
func (member *Member) Generation() uint64 { return member.generation }

// Leaving reports whether the target is shutting down and takes no new requests.
func (member *Member) Leaving() bool { return member.leaving }

// Resident returns the names of the models and adapters loaded on the target.
func (member *Member) Resident() []string { return member.resident }

// SoftwareVersion returns the software version of the engine, empty if it states none.
func (member *Member) SoftwareVersion() string { return member.softwareVersion }

// Slots returns how many requests the target runs concurrently.
func (member *Member) Slots() int { return member.slots }

// FirstSeen returns when the current incarnation was first seen.
func (member *Member) FirstSeen() time.Time { return member.firstSeen }

// Usable reports whether the target may get new requests at now: its agent has
// reported, and it is neither leaving, suspected nor damped.
func (member *Member) Usable(now time.Time) bool {
	return member.incarnation != 0 && !member.leaving && member.failures < suspectThreshold && !now.Before(member.dampedUntil)
}

// AgentClock returns an upper bound of the agent's clock at now, which counts from
// the agent's start. It returns 0 before the first load report. The bound allows
// for maxClockDrift since the last report was requested.
func (member *Member) AgentClock(now time.Time) time.Duration {
	if member.clockRequested.IsZero() {
		return 0
	}
	return member.agentClock + time.Duration(float64(now.Sub(member.clockRequested))*(1+maxClockDrift))
}

// Table holds the members by target name. It is not safe for concurrent use.
type Table struct {
	members map[string]*Member
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: map[string]*Member{}} }

// Member returns the member of a target, nil when the table has none.
func (table *Table) Member(name string) *Member { return table.members[name] }

// memberOrNew returns the member of a target and adds it if it is missing.
func (table *Table) memberOrNew(name string) *Member {
	member := table.members[name]
	if member == nil {
		member = &Member{name: name}
		table.members[name] = member
	}
	return member
}

// ApplyLoad applies the load report that answers a request sent at requestedAt,
// and returns whether anything that routing depends on has changed. It ignores
// reports of an incarnation that has ended, and reports of the current one that
// are not newer than the last.
func (table *Table) ApplyLoad(load *wire.Load, requestedAt, now time.Time) bool {
	member := table.memberOrNew(load.Target)
	if slices.Contains(member.endedIncarnations, load.Incarnation) {
		return false
	}
	changed := false
	if load.Incarnation != member.incarnation {
		member.startIncarnation(load.Incarnation, now)
		changed = true
	}
	if load.Sequence <= member.sequence {
		return changed
	}
	member.sequence = load.Sequence
	member.generation = load.Generation
	// The agent read its clock after requestedAt, so that extrapolating from
	// requestedAt gives an upper bound.
	member.agentClock, member.clockRequested = load.Uptime, requestedAt
	if member.failures >= suspectThreshold {
		changed = true
	}
	member.failures = 0
	if member.leaving != load.Leaving || member.slots != load.Slots || !slices.Equal(member.resident, load.Resident) {
		member.leaving, member.slots, member.resident = load.Leaving, load.Slots, load.Resident
		changed = true
	}
	if member.softwareVersion != load.SoftwareVersion {
		member.softwareVersion = load.SoftwareVersion
		changed = true
	}
	return changed
}

// startIncarnation resets the member for a new incarnation of the agent, and
// damps the target when it has restarted flapLimit times within flapWindow.
func (member *Member) startIncarnation(incarnation uint64, now time.Time) {
	if member.incarnation != 0 {
		member.endedIncarnations = append(member.endedIncarnations, member.incarnation)
		member.endedIncarnations = member.endedIncarnations[max(len(member.endedIncarnations)-maxEndedIncarnations, 0):]
		member.restarts = append(member.restarts, now)
	}
	member.incarnation = incarnation
	member.sequence = 0
	member.leaving = false
	member.failures = 0
	member.firstSeen = now
	recent := member.restarts[:0]
	for _, restart := range member.restarts {
		if now.Sub(restart) < flapWindow {
			recent = append(recent, restart)
		}
	}
	member.restarts = recent
	if len(recent) >= flapLimit {
		member.dampedUntil = now.Add(dampDuration)
	}
}

// ApplyLeave applies a target's notice that it is leaving, and returns whether the
// member has changed. Notices of any but the current incarnation are ignored.
func (table *Table) ApplyLeave(target string, incarnation uint64) bool {
	member := table.memberOrNew(target)
	if slices.Contains(member.endedIncarnations, incarnation) || member.leaving && member.incarnation == incarnation {
		return false
	}
	if member.incarnation != incarnation {
		return false
	}
	member.leaving = true
	return true
}

// RecordFailure counts a failed call to the target's agent, and returns whether this
// failure makes the target suspected. The next load report that ApplyLoad does not
// ignore resets the count.
func (table *Table) RecordFailure(target string) bool {
	member := table.memberOrNew(target)
	member.failures++
	return member.failures == suspectThreshold
}

// RemoveUndeclared removes the members whose target is no longer declared.
func (table *Table) RemoveUndeclared(declared func(name string) bool) {
	for name := range table.members {
		if !declared(name) {
			delete(table.members, name)
		}
	}
}
