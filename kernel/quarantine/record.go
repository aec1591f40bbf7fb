package quarantine

import (
	"slices"
	"time"
)

// maxRestSteps is the number of ends from which a rest does not grow any more.
const maxRestSteps = 8

// seen is the evidence of one entry at a time.
type seen struct {
	ends  int
	ended []uint32  // hashes of the ends, for a whole request; see endHash
	endAt time.Time // of the latest end
	with  []Part    // the other parts of the request under which it came
}

// record is what is known of a suspected part.
type record struct {
	whole    bool // of a whole request
	own      seen
	others   map[string]seen // by entry
	begunAt  time.Time       // when an answer under the part last began
	wasGood  bool            // answers under the part had begun shortly before its first end
	triedTil time.Time       // until when a trial is under way
	triedBy  string          // entry of the trial; empty for this one
}

// endHash returns the hash of a target's end under a request that was sent at sentAt. A target
// to which it was sent later than sameEnd after the latest known end has come back since, maybe
// under the same incarnation: the list of targets names a new one late, or never if the start is
// unknown. All entries count on from the target's hash, so that one end has one hash.
func (record *record) endHash(target uint32, sentAt time.Time) uint32 {
	if sentAt.Sub(record.lastEnd()) < sameEnd {
		return target
	}
	known, end := record.allEnded(), target
	for slices.Contains(known, end) {
		end++
	}
	return end
}

// addEnded records the hash of an end, if the record is that of a whole request.
func (record *record) addEnded(end uint32) {
	if record.whole && !slices.Contains(record.own.ended, end) && len(record.own.ended) < maxEnds {
		record.own.ended = append(record.own.ended, end)
	}
}

// valid reports whether the ends have come since an answer under the part last began.
func (seen seen) valid(begunAt time.Time) bool { return seen.ends > 0 && seen.endAt.After(begunAt) }

// count returns the ends under the part since an answer under it last began, over all
// entries, and when the latest was. Entries that saw one end at the same time count it once.
// For a whole request that no target has answered, each end of a target counts, since it may
// end several within a short time.
func (record *record) count() (ends int, last time.Time) {
	if record.neverAnswered() {
		return len(record.allEnded()), record.lastEnd()
	}
	times := make([]time.Time, 0, 1+len(record.others))
	add := func(seen seen) {
		if !seen.valid(record.begunAt) {
			return
		}
		ends += seen.ends
		for _, other := range times {
			if seen.endAt.Sub(other).Abs() < sameEnd {
				ends--
				break
			}
		}
		times = append(times, seen.endAt)
		if seen.endAt.After(last) {
			last = seen.endAt
		}
	}
	add(record.own)
	for _, seen := range record.others {
		add(seen)
	}
	return ends, last
}

// neverAnswered reports whether the record is that of a whole request that no target is known
// to have answered. What is known of its ends is passed on by all entries.
func (record *record) neverAnswered() bool {
	return record.whole && !record.wasGood && record.begunAt.IsZero()
}

// allEnded returns the hashes of the ends of targets under the request.
func (record *record) allEnded() []uint32 {
	all := slices.Clone(record.own.ended)
	for _, seen := range record.others {
		for _, end := range seen.ended {
			if !slices.Contains(all, end) {
				all = append(all, end)
			}
		}
	}
	return all[:min(len(all), maxEnds)]
}

// lastEnd returns when the latest end under the part was.
func (record *record) lastEnd() time.Time {
	at, _ := record.latest()
	return at
}

// latest returns when the latest end under the part was, and the other parts of the request
// under which it came.
func (record *record) latest() (at time.Time, with []Part) {
	latest := record.own
	for _, seen := range record.others {
		if seen.endAt.After(latest.endAt) {
			latest = seen
		}
	}
	return latest.endAt, latest.with
}

// weight returns how many of the ends count against the part. A part under which answers
// had begun shortly before is not withheld after the first one.
func (record *record) weight(ends int) int {
	if record.wasGood {
		return ends - 1
	}
	return ends
}

// plannerTrials returns the ends after which only the entry that plans tries the part.
func (record *record) plannerTrials() int {
	if record.whole {
		return wholePlanner
	}
	return plannerTrials
}

// rest returns how long a part is withheld after the latest of ends of this weight. A whole
// request that no target has answered is tried once more at once: most of those under which a
// target ends are sound.
func (record *record) rest(weight int) time.Duration {
	if record.neverAnswered() {
		switch {
		case weight <= 1:
			return 0
		case weight == wholePlanner:
			return wholeRest
		default:
			return wholeMaxRest
		}
	}
	rest := firstRest
	for range min(weight, maxRestSteps) - 1 {
		rest *= restFactor
	}
	return min(rest, maxRest)
}
