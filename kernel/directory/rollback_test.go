package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func listedTarget(id string, draining bool) *Target {
	return NewTarget(TargetSpec{ID: id, Address: id + ":80", StartedAt: 1, Draining: draining})
}

// inUse returns which of the targets take new requests, in the order of their names.
func inUse(targets []*Target, names ...string) (used []string) {
	for _, name := range names {
		for _, target := range targets {
			if target.ID() == name && !target.Draining() {
				used = append(used, name)
			}
		}
	}
	return used
}

// Guards against targets that are used again after they left, or not used although they came,
// since the source of the list has come back from an older copy.
func TestTargetsStayAsTheyWereWhenListComesBackOlder(t *testing.T) {
	start := time.Unix(1000, 0)
	tracker := NewTargetTracker()
	stays, left, gone, came := listedTarget("stays", false), listedTarget("left", false), listedTarget("gone", false), listedTarget("came", false)
	tracker.Update([]*Target{stays, left, gone}, start)
	tracker.Update([]*Target{stays, listedTarget("left", true), came}, start.Add(time.Second))
	copied := []*Target{stays, left, gone}
	use := func(listed []*Target, after time.Duration) []string {
		return inUse(tracker.Update(listed, start.Add(after)), "stays", "left", "gone", "came")
	}
	for drill := range 2 { // the second one comes while the first is held against the list
		back := time.Duration(5+3*drill) * time.Second
		tracker.RecordRollback(start.Add(back))
		assert.DeepEqual(t, use(copied, back), []string{"stays", "came"})
		assert.DeepEqual(t, use(copied, back+recoveryGrace), []string{"stays", "came"})
		assert.DeepEqual(t, use([]*Target{stays, left, gone, came}, back+recoveryGrace+1), []string{"stays", "came"})
	}
	assert.DeepEqual(t, use(copied, 11*time.Second), []string{"stays"}) // missing for longer than recoveryGrace
	assert.DeepEqual(t, use(copied, 8*time.Second+rollbackRetention), []string{"stays", "left", "gone"})
}

// A target that leaves after the return of the source is dropped at once.
func TestTargetThatLeavesAfterListCameBackIsDropped(t *testing.T) {
	start := time.Unix(1000, 0)
	tracker := NewTargetTracker()
	stays, leaves := listedTarget("stays", false), listedTarget("leaves", false)
	tracker.Update([]*Target{stays, leaves}, start)
	tracker.RecordRollback(start)
	tracker.Update([]*Target{stays, leaves}, start)
	used := tracker.Update([]*Target{stays}, start.Add(time.Second))
	assert.DeepEqual(t, inUse(used, "stays", "leaves"), []string{"stays"})
}
