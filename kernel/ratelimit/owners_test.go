package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const noticeStep = 250 * time.Millisecond // between two notices of a planner

// noticeInTransit is a notice on its way to one entry.
type noticeInTransit struct {
	to      int
	fence   int
	number  int
	owners  []Owner
	arrives time.Time
}

// namingFleet is a fleet whose planner names owners. Entries are lost, and return without memory.
type namingFleet struct {
	now      time.Time
	entries  []ownership
	fences   []int // of the last notice at each entry
	numbers  []int // the same
	lost     []bool
	planner  int // entry that plans, everyEntry for none
	fence    int
	number   int
	owners   Owners
	resigned []string
	transit  []noticeInTransit
}

func newNamingFleet(count int) *namingFleet {
	fleet := &namingFleet{now: start, planner: everyEntry, entries: make([]ownership, count), fences: make([]int, count), numbers: make([]int, count), lost: make([]bool, count)}
	for index := range fleet.entries {
		fleet.restart(index)
	}
	return fleet
}

func (namingFleet *namingFleet) restart(index int) {
	namingFleet.entries[index] = ownership{self: fmt.Sprint(index)}
	namingFleet.fences[index], namingFleet.numbers[index], namingFleet.lost[index] = 0, 0, false
}

// plan lets an entry become the planner, which the lease allows when no other one is.
func (namingFleet *namingFleet) plan(index int) {
	namingFleet.planner = index
	namingFleet.fence++
	namingFleet.number = 0
	namingFleet.owners.Open(namingFleet.entries[index].owners, namingFleet.entries[index].arrivedAt, namingFleet.now)
}

// step sends a notice to all entries, each of which gets it after a delay, and lets others arrive.
func (namingFleet *namingFleet) step(delays []time.Duration) {
	namingFleet.now = namingFleet.now.Add(noticeStep)
	if namingFleet.planner != everyEntry {
		var reachable []string
		for index := range namingFleet.entries {
			if !namingFleet.lost[index] {
				reachable = append(reachable, fmt.Sprint(index))
			}
		}
		namingFleet.number++
		named := namingFleet.owners.Update(reachable, namingFleet.resigned, namingFleet.now)
		for index := range namingFleet.entries {
			arrives := namingFleet.now
			if index != namingFleet.planner {
				arrives = arrives.Add(delays[index%len(delays)])
			}
			namingFleet.transit = append(namingFleet.transit, noticeInTransit{index, namingFleet.fence, namingFleet.number, named, arrives})
		}
	}
	namingFleet.transit = slices.DeleteFunc(namingFleet.transit, func(notice noticeInTransit) bool {
		if notice.arrives.After(namingFleet.now) {
			return false
		}
		newer := notice.fence > namingFleet.fences[notice.to] || notice.fence == namingFleet.fences[notice.to] && notice.number > namingFleet.numbers[notice.to]
		if !namingFleet.lost[notice.to] && newer {
			namingFleet.fences[notice.to], namingFleet.numbers[notice.to] = notice.fence, notice.number
			namingFleet.entries[notice.to].apply(notice.owners, notice.arrives)
		}
		return true
	})
}

// Entries that are lost run on in a part of the fleet that the planner does not hear of.
func TestPromiseTwoEntriesNeverGrantForOneCustomer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newNamingFleet(ownedEntries + 3)
		longestDelay := int((ownerVacancy - ownerTTL - noticeStep) / time.Millisecond)
		for range rapid.IntRange(10, 60).Draw(t, "events") {
			index := rapid.IntRange(0, len(fleet.entries)-1).Draw(t, "entry")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				fleet.planner = everyEntry
			case 1:
				if fleet.planner == everyEntry && !fleet.lost[index] {
					fleet.plan(index)
				}
			case 2:
				if index != fleet.planner {
					fleet.lost[index] = !fleet.lost[index]
				}
			case 3:
				if owner := fleet.entries[0].owner(0, fleet.now); owner != "" && owner != fmt.Sprint(fleet.planner) {
					_, _ = fmt.Sscan(owner, &index) // an address is the number of an entry here
					fleet.lost[index] = true
				}
			case 4:
				if index != fleet.planner {
					fleet.restart(index)
				}
			}
			delays := rapid.SliceOfN(rapid.IntRange(0, longestDelay), 3, 3).Draw(t, "delays in ms")
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				fleet.step([]time.Duration{time.Duration(delays[0]) * time.Millisecond, time.Duration(delays[1]) * time.Millisecond, time.Duration(delays[2]) * time.Millisecond})
				for slot := range ownerSlots {
					holders := 0
					for entry := range fleet.entries {
						if fleet.entries[entry].holds(slot, fleet.now) {
							holders++
						}
					}
					assert.Assert(t, holders <= 1, "%d entries grant for slot %d at %v", holders, slot, fleet.now.Sub(start))
				}
			}
		}
	})
}

func TestOwnersAreNamedAndReplaced(t *testing.T) {
	fleet := newNamingFleet(ownedEntries)
	fleet.plan(0)
	step := func(duration time.Duration) {
		for end := fleet.now.Add(duration); fleet.now.Before(end); {
			fleet.step([]time.Duration{0})
		}
	}
	step(ownerVacancy + grantDelay + noticeStep)
	owner := fleet.entries[0].owner(5, fleet.now)
	assert.Assert(t, owner != "", "no owner is named")
	index := 0
	_, err := fmt.Sscan(owner, &index)
	assert.NilError(t, err)
	assert.Assert(t, fleet.entries[index].holds(5, fleet.now))

	// Another planner goes on with it.
	fleet.plan((index + 1) % ownedEntries)
	step(noticeStep)
	assert.Assert(t, fleet.entries[index].holds(5, fleet.now))

	// One that has heard of no owners for long does not.
	fleet.planner = everyEntry
	step(ownerTTL)
	assert.Assert(t, !fleet.entries[index].holds(5, fleet.now))
	fleet.plan((index + 1) % ownedEntries)
	step(ownerVacancy - noticeStep)
	assert.Equal(t, fleet.entries[0].owner(5, fleet.now), "")
	step(grantDelay + 2*noticeStep)
	owner = fleet.entries[0].owner(5, fleet.now)
	_, err = fmt.Sscan(owner, &index)
	assert.NilError(t, err)
	assert.Assert(t, fleet.entries[index].holds(5, fleet.now))

	// A lost owner is replaced after its right has ended.
	if index == fleet.planner {
		fleet.plan((index + 1) % ownedEntries)
	}
	fleet.lost[index] = true
	step(ownerVacancy - noticeStep)
	assert.Equal(t, fleet.entries[fleet.planner].owner(5, fleet.now), "")
	step(2 * noticeStep)
	assert.Assert(t, fleet.entries[fleet.planner].owner(5, fleet.now) != "")
}

// After a kill of all entries customers would be refused until the first owners grant.
func TestSharesShrinkBeforeOwnersAreNamed(t *testing.T) {
	fleet := newNamingFleet(ownedEntries)
	for range 2 {
		fleet.plan(0)
		for range int(ownerVacancy / noticeStep) {
			fleet.step([]time.Duration{0})
			assert.Assert(t, !fleet.entries[1].inForce(period, fleet.now), "shares are restricted %v after the start", fleet.now.Sub(start))
		}
		for named := fleet.now; fleet.now.Sub(named) < shareDelay-noticeStep; fleet.step([]time.Duration{0}) {
			assert.Assert(t, !fleet.entries[1].inForce(period, fleet.now), "shares are restricted %v after the start", fleet.now.Sub(start))
		}
		fleet.step([]time.Duration{0})
		assert.Assert(t, fleet.entries[1].inForce(period, fleet.now))
		for index := range fleet.entries {
			fleet.restart(index)
		}
	}
}

func TestResignedOwnerIsReplacedAtOnce(t *testing.T) {
	fleet := newNamingFleet(ownedEntries)
	fleet.plan(0)
	for fleet.now.Before(start.Add(ownerVacancy + 2*noticeStep)) {
		fleet.step([]time.Duration{0})
	}
	before := fleet.entries[0].owner(3, fleet.now)
	assert.Assert(t, before != "")
	fleet.resigned = []string{before}
	fleet.step([]time.Duration{0})
	after := fleet.entries[0].owner(3, fleet.now)
	assert.Assert(t, after != "" && after != before, "owner %q after %q", after, before)
}

func TestSmallFleetHasNoOwners(t *testing.T) {
	fleet := newNamingFleet(ownedEntries - 1)
	fleet.plan(0)
	for range 100 {
		fleet.step([]time.Duration{0})
	}
	assert.Equal(t, fleet.entries[1].owner(0, fleet.now), "")
	assert.Assert(t, !fleet.entries[1].inForce(period, fleet.now))
}
