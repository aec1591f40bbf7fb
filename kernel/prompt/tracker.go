// Package prompt tracks, for one target, the prompts that it has yet to read and the
// parts of prompts in its prefix cache. The agent of the target learns of each prompt from
// the entry that sends it, and of the progress from the target's reports, so that every
// entry knows of the prompts of all others. What the cache holds is simulated: the least
// recently used parts yield. Wrong knowledge makes an estimate wrong and nothing else. The
// package does no I/O and is not safe for concurrent use.
package prompt

import (
	"time"

	"endiverill.example/kernel/directory"
)

// Urgencies is the number of urgencies of requests; 0 is the most urgent.
const Urgencies = 10

const (
	unseenTTL      = 250 * time.Millisecond // a prompt that the target reports neither as running nor as queued has ended after this
	pendingTTL     = 5 * time.Second        // no prompt is read for longer
	changeTTL      = 700 * time.Millisecond // changes are repeated for that long, in case a message is lost
	renewInterval  = 5 * time.Second        // between two announcements of a part in use, for entries that have started since
	maxChanges     = 256                    // changes that are kept
	assumedKVCache = 100000                 // tokens that the cache holds, until the target reports its size
)

// Part is a segment of a prompt that other requests share.
type Part struct {
	Key    uint32
	Tokens int
}

// Prompt is a prompt that an entry has sent to the target.
type Prompt struct {
	ID      string // of the request
	Urgency int
	Tokens  int
	Parts   []Part // leading parts that are shared, without the last one
}

// pending is a prompt that the target may not have read yet.
type pending struct {
	urgency int
	tokens  int // of the whole prompt
	unread  int // tokens
	seen    bool
	sentAt  time.Time
}

// change is a part that was cached, used again or evicted.
type change struct {
	key uint32
	at  time.Time
}

// Tracker tracks the prompts of one incarnation of a target.
type Tracker struct {
	pending   map[string]*pending
	cache     *cache
	changes   []change
	announced map[uint32]time.Time // last announcement of each cached part
}

// New returns a Tracker of a target without prompts.
func New() *Tracker {
	return &Tracker{pending: map[string]*pending{}, cache: newCache(assumedKVCache), announced: map[uint32]time.Time{}}
}

// RecordSent records that an entry has sent a prompt to the target.
func (tracker *Tracker) RecordSent(prompt Prompt, now time.Time) {
	cached := 0
	for _, part := range prompt.Parts {
		if !tracker.cache.holds(part.Key) {
			break
		}
		cached += part.Tokens
	}
	tracker.pending[prompt.ID] = &pending{
		urgency: min(max(prompt.Urgency, 0), Urgencies-1), tokens: prompt.Tokens, unread: max(prompt.Tokens-cached, 0), sentAt: now,
	}
	own := prompt.Tokens
	for _, part := range prompt.Parts {
		own -= part.Tokens
		tracker.cache.use(part.Key, part.Tokens)
		if now.Sub(tracker.announced[part.Key]) > renewInterval {
			tracker.announce(part.Key, now)
		}
	}
	tracker.cache.useUnshared(max(own, 0))
	for _, key := range tracker.cache.evict() {
		delete(tracker.announced, key)
		tracker.changes = append(tracker.changes, change{key, now})
	}
}

func (tracker *Tracker) announce(key uint32, now time.Time) {
	tracker.announced[key] = now
	tracker.changes = append(tracker.changes, change{key, now})
}

// SetReport records the target's progress.
func (tracker *Tracker) SetReport(report directory.Report, now time.Time) {
	if report.TotalKV > 0 {
		tracker.cache.capacity = report.TotalKV
	}
	running := make(map[string]directory.Run, len(report.Runs))
	for _, run := range report.Runs {
		running[run.ID] = run
	}
	for id, prompt := range tracker.pending {
		run, runs := running[id]
		switch {
		case runs && run.Events == 0:
			prompt.seen = true
			prompt.unread = min(prompt.unread, max(prompt.tokens-run.Tokens, 0))
		case runs, prompt.seen, now.Sub(prompt.sentAt) > pendingTTL, report.Queued == 0 && now.Sub(prompt.sentAt) > unseenTTL:
			delete(tracker.pending, id)
		}
	}
}

// Unread returns the prompt tokens that the target has yet to read, by urgency.
func (tracker *Tracker) Unread() [Urgencies]int {
	var unread [Urgencies]int
	for _, prompt := range tracker.pending {
		unread[prompt.urgency] += prompt.unread
	}
	return unread
}

// Changes returns the shared parts that came into the cache or were used in it lately, and
// those that have left it.
func (tracker *Tracker) Changes(now time.Time) (cached, evicted []uint32) {
	recent := tracker.changes[:0]
	listed := map[uint32]bool{}
	for _, change := range tracker.changes[max(len(tracker.changes)-maxChanges, 0):] {
		if now.Sub(change.at) > changeTTL {
			continue
		}
		recent = append(recent, change)
		if listed[change.key] {
			continue
		}
		listed[change.key] = true
		if tracker.cache.holds(change.key) {
			cached = append(cached, change.key)
		} else {
			evicted = append(evicted, change.key)
		}
	}
	tracker.changes = recent
	return cached, evicted
}
