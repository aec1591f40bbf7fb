package prompt

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/directory"
)

var start = time.Unix(1000, 0)

func digest(id string, urgency int) Prompt {
	return Prompt{ID: id, Urgency: urgency, Tokens: 9000, Parts: []Part{{Key: 1, Tokens: 2500}, {Key: 2, Tokens: 3800}}}
}

func unread(tokens map[int]int) [Urgencies]int {
	var all [Urgencies]int
	for urgency, count := range tokens {
		all[urgency] = count
	}
	return all
}

func TestUnreadCountsPromptsOfAllEntriesByUrgency(t *testing.T) {
	tracker := New()
	tracker.RecordSent(digest("a", 1), start)
	tracker.RecordSent(digest("b", 1), start)
	tracker.RecordSent(Prompt{ID: "c", Urgency: 99, Tokens: 700}, start)
	assert.Equal(t, tracker.Unread(), unread(map[int]int{1: 9000 + 2700, 9: 700}), "the parts that b shares with a are read once")
	tracker.SetReport(directory.Report{Queued: 1, Runs: []directory.Run{{ID: "a", Tokens: 4000}, {ID: "c", Tokens: 700, Events: 1}}}, start)
	assert.Equal(t, tracker.Unread(), unread(map[int]int{1: 5000 + 2700}), "a is being read, c has begun to answer")
	tracker.SetReport(directory.Report{Queued: 1}, start)
	assert.Equal(t, tracker.Unread(), unread(map[int]int{1: 2700}), "a has ended")
}

// A notice of a request that is never seen at the target, such as one whose connection
// failed, must not count for good.
func TestPromptThatNeverReachesTargetIsDropped(t *testing.T) {
	tracker := New()
	tracker.RecordSent(digest("a", 0), start)
	tracker.SetReport(directory.Report{}, start.Add(unseenTTL))
	assert.Equal(t, tracker.Unread()[0], 9000)
	tracker.SetReport(directory.Report{}, start.Add(unseenTTL+time.Millisecond))
	assert.Equal(t, tracker.Unread()[0], 0)
	tracker.RecordSent(digest("b", 0), start)
	tracker.SetReport(directory.Report{Queued: 1}, start.Add(pendingTTL+time.Second))
	assert.Equal(t, tracker.Unread()[0], 0)
}

func TestChangesAreRepeatedAndThenDropped(t *testing.T) {
	tracker := New()
	tracker.RecordSent(digest("a", 0), start)
	for range 2 {
		cached, evicted := tracker.Changes(start.Add(changeTTL))
		assert.DeepEqual(t, cached, []uint32{1, 2})
		assert.Equal(t, len(evicted), 0)
	}
	cached, _ := tracker.Changes(start.Add(changeTTL + time.Millisecond))
	assert.Equal(t, len(cached), 0)
	tracker.RecordSent(digest("b", 0), start.Add(renewInterval))
	cached, _ = tracker.Changes(start.Add(renewInterval))
	assert.Equal(t, len(cached), 0, "parts that were announced recently are not announced again")
	later := start.Add(renewInterval + time.Second)
	tracker.RecordSent(digest("c", 0), later)
	cached, _ = tracker.Changes(later)
	assert.Equal(t, len(cached), 2, "entries that have started since need to know them")
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	tracker := New()
	tracker.SetReport(directory.Report{TotalKV: 20000}, start)
	tracker.RecordSent(digest("a", 0), start)
	tracker.RecordSent(Prompt{ID: "b", Tokens: 12000, Parts: []Part{{Key: 1, Tokens: 2500}, {Key: 3, Tokens: 3000}}}, start)
	cached, evicted := tracker.Changes(start)
	assert.DeepEqual(t, cached, []uint32{1, 2, 3})
	assert.Equal(t, len(evicted), 0, "18,500 of 20,000 tokens are in use")
	tracker.RecordSent(Prompt{ID: "c", Tokens: 5000, Parts: []Part{{Key: 1, Tokens: 2500}}}, start)
	_, evicted = tracker.Changes(start)
	assert.DeepEqual(t, evicted, []uint32{2})
}
