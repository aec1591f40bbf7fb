// Package member decides what an entry believes of each target: which agent
// incarnation serves it, what it holds, whether it is leaving or suspected. It
// does no I/O.
package member

import (
	"slices"
	"time"

	"endiverill.example/kernel/wire"
)

const (
	suspectAfter  = 3                // failures in a row without a sign of life
	flapWindow    = time.Minute      // in which restarts count as flapping
	flapLimit     = 3                // restarts within the window
	dampTime      = 30 * time.Second // for which a flapping target gets no new work
	retiredKept   = 8                // incarnations remembered as ended
	clockDriftMax = 0.001            // bound on the difference of two clocks' speeds
)

// Member is what an entry believes of a target.
type Member struct {
	name        string
	incarnation uint64
	sequence    uint64
	generation  uint64
	leaving     bool
	failures    int
	resident    []string
	slots       int
	since       time.Time
	restarts    []time.Time
	damped      time.Time
	retired     []uint64
	agentClock  time.Duration
	clockAt     time.Time
}

// Incarnation returns the agent's present incarnation, zero before the first
// sign of life.
func (member *Member) Incarnation() uint64 { return member.incarnation }

// Generation returns the agent's configuration generation.
func (member *Member) Generation() uint64 { return member.generation }

// Leaving says whether the target takes no new work.
func (member *Member) Leaving() bool { return member.leaving }

// Resident returns the models and adapters that can serve.
func (member *Member) Resident() []string { return member.resident }

// Slots returns how many requests the target works on at once.
func (member *Member) Slots() int { return member.slots }

// Since returns when the present incarnation was first seen.
func (member *Member) Since() time.Time { return member.since }

// Usable says whether the target should get new work at now.
func (member *Member) Usable(now time.Time) bool {
	return member.incarnation != 0 && !member.leaving && member.failures < suspectAfter && !now.Before(member.damped)
}

// AgentClock returns the latest time that the agent's own clock can show at
// now; zero before the first sign of life.
func (member *Member) AgentClock(now time.Time) time.Duration {
	if member.clockAt.IsZero() {
		return 0
	}
	return member.agentClock + time.Duration(float64(now.Sub(member.clockAt))*(1+clockDriftMax))
}

// Table holds the members by target name.
type Table struct {
	members map[string]*Member
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: map[string]*Member{}} }

// Member returns what is believed of a target, nil when nothing is.
func (table *Table) Member(name string) *Member { return table.members[name] }

func (table *Table) open(name string) *Member {
	member := table.members[name]
	if member == nil {
		member = &Member{name: name}
		table.members[name] = member
	}
	return member
}

// LoadSeen takes a load report upon a question sent at asked. It returns whether
// anything that routing goes by has changed. Reports of an incarnation that has
// ended, and older reports of the present one, are passed over.
func (table *Table) LoadSeen(load *wire.Load, asked, now time.Time) bool {
	member := table.open(load.Target)
	if slices.Contains(member.retired, load.Incarnation) {
		return false
	}
	changed := false
	if load.Incarnation != member.incarnation {
		member.restart(load.Incarnation, now)
		changed = true
	}
	if load.Sequence <= member.sequence {
		return changed
	}
	member.sequence = load.Sequence
	member.generation = load.Generation
	member.agentClock, member.clockAt = load.Clock, asked
	if member.failures >= suspectAfter {
		changed = true
	}
	member.failures = 0
	if member.leaving != load.Leaving || member.slots != load.Slots || !slices.Equal(member.resident, load.Resident) {
		member.leaving, member.slots, member.resident = load.Leaving, load.Slots, load.Resident
		changed = true
	}
	return changed
}

// restart begins another incarnation and damps a target that restarts often.
func (member *Member) restart(incarnation uint64, now time.Time) {
	if member.incarnation != 0 {
		member.retired = append(member.retired, member.incarnation)
		member.retired = member.retired[max(len(member.retired)-retiredKept, 0):]
		member.restarts = append(member.restarts, now)
	}
	member.incarnation = incarnation
	member.sequence = 0
	member.leaving = false
	member.failures = 0
	member.since = now
	recent := member.restarts[:0]
	for _, restart := range member.restarts {
		if now.Sub(restart) < flapWindow {
			recent = append(recent, restart)
		}
	}
	member.restarts = recent
	if len(recent) >= flapLimit {
		member.damped = now.Add(dampTime)
	}
}

// LeaveSeen takes a target's own notice that it leaves.
func (table *Table) LeaveSeen(target string, incarnation uint64) bool {
	member := table.open(target)
	if slices.Contains(member.retired, incarnation) || member.leaving && member.incarnation == incarnation {
		return false
	}
	if member.incarnation != incarnation {
		return false
	}
	member.leaving = true
	return true
}

// Failed counts a call to the target's agent that brought no answer.
func (table *Table) Failed(target string) bool {
	member := table.open(target)
	member.failures++
	return member.failures == suspectAfter
}

// Keep forgets the targets that are no longer declared.
func (table *Table) Keep(declared func(name string) bool) {
	for name := range table.members {
		if !declared(name) {
			delete(table.members, name)
		}
	}
}
