package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endUnder records that a target ended under a request with these parts.
func endUnder(quarantine *Quarantine, at time.Time, parts ...Part) {
	quarantine.RecordEnd(parts, 7, at.Add(-time.Second), at)
}

// Guards against parts of prompts that are forgotten with the entries that knew them: what several
// entries have seen is known, and counted once, after all of them have been killed.
func TestPartsOutlastAllEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	part, own := Shared(2), Shared(4)
	first, second := New(), New()
	endUnder(first, now, part, own)
	endUnder(first, now.Add(time.Second), part, Shared(6))
	endUnder(second, now.Add(5*time.Second), part, Shared(8))
	now = now.Add(5 * time.Second)
	first.Apply("b", second.Report(now), now)
	second.Apply("a", first.Report(now), now)
	rest := first.Check([]Part{part}, false, now).RetryAfter
	assert.Assert(t, rest >= 8*time.Second, "%v", rest)
	stored := first.Lasting(now)
	for _, last := range stored {
		assert.Equal(t, last.Evidence.Part, part, "a part with one end is stored")
	}
	for name, others := range map[string][2]string{"the entry that wrote it": {"", "b"}, "the other one": {"a", ""}, "a new one": {"a", "b"}} {
		started := New()
		var restored []Lasting
		for _, last := range stored {
			if last.Entry == "" {
				last.Entry = others[0]
			} else {
				last.Entry = others[1]
			}
			restored = append(restored, last)
		}
		for range 3 { // a planner reads it again before it writes
			started.Restore(restored, now)
		}
		assert.Equal(t, started.Check([]Part{part}, false, now).RetryAfter, rest, name)
		assert.Equal(t, started.Check([]Part{own}, false, now).Allowed, true, name)
	}
}

func TestPartWithAnswerDoesNotOutlastEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	quarantine, part := New(), Shared(2)
	endUnder(quarantine, now, part)
	endUnder(quarantine, now.Add(time.Second), part)
	assert.Equal(t, len(quarantine.Lasting(now.Add(time.Second))), 1)
	quarantine.RecordBegun([]Part{part}, now.Add(2*time.Second))
	assert.Equal(t, len(quarantine.Lasting(now.Add(2*time.Second))), 0)
}

// What is stored may be older than what this entry has seen since.
func TestRestoredEvidenceDoesNotReplaceLaterOne(t *testing.T) {
	now := time.Unix(1000, 0)
	quarantine, part := New(), Shared(2)
	endUnder(quarantine, now, part)
	endUnder(quarantine, now.Add(time.Second), part)
	stored := quarantine.Lasting(now.Add(time.Second))
	quarantine.RecordBegun([]Part{part}, now.Add(2*time.Second))
	quarantine.Restore(stored, now.Add(3*time.Second))
	assert.Assert(t, quarantine.Check([]Part{part}, false, now.Add(3*time.Second)).Allowed)
}
