// Package quarantine decides which requests are withheld from targets, because targets ended
// when they began to answer requests with the same shared part of their prompt, or the same
// requests as a whole. Each entry records the ends that it has seen and the parts under which
// answers have begun, and exchanges this evidence with the others. A part is withheld for a
// time that grows with each end, and then tried with one request at a time. An answer that
// begins under a part clears it. A whole request that no target has ever answered is tried
// only twice more. The package does no I/O and is not safe for concurrent use.
package quarantine

import (
	"slices"
	"time"
)

const (
	firstRest     = 500 * time.Millisecond // for which a part is withheld after the first end
	restFactor    = 4                      // by which each further end lengthens the rest
	maxRest       = 10 * time.Minute
	sameEnd       = 200 * time.Millisecond // ends within it count once: one cause may end several targets, and several entries see one end
	trialTTL      = 3 * time.Second        // for which a trial without an outcome keeps others back
	trialPause    = 300 * time.Millisecond // least time to return while a part is being tried
	plannerTrials = 5                      // ends after which only the entry that plans tries a part
	wholeRest     = 4 * time.Second        // for which a request that no target has answered is withheld after the second end; longer than targets need to come back
	wholeMaxRest  = 24 * time.Hour         // the same from the third end on
	wholePlanner  = 2                      // ends after which only the entry that plans tries a whole request
	maxEnds       = 8                      // of targets under one whole request that are counted
	freshFor      = 10 * time.Second       // for which changes are in each report
	firstEndFor   = time.Second            // for which the first end under a whole request is reported; most such requests are sound
	fullReports   = 10                     // one in so many reports has all evidence
	goodFor       = time.Minute            // for which a part is known as sound after an answer under it has begun
	forgetAfter   = time.Minute            // from the end of a part's rest
	clearedFor    = 5 * time.Second        // for which a part is still reported after an answer has cleared it
	maxRecords    = 512                    // of suspected parts; see dropOldest
	maxGood       = 8192                   // parts of each kind under which answers have begun lately
	maxEvidence   = 64                     // in one report
	lastingEnds   = 2                      // ends after which a part is remembered for entries that start
	maxLasting    = 256                    // pieces of evidence that are, some 30 KB
	lastingSource = "store"                // of whole requests in it, in place of the name of an entry
)

// Part identifies a part of a prompt, or a request as a whole, by a hash. The lowest bit is
// set for a whole request.
type Part uint64

const wholeBit Part = 1

// Shared returns the part of prompts with this hash.
func Shared(hash uint64) Part { return Part(hash) &^ wholeBit }

// Whole returns the whole request with this hash.
func Whole(hash uint64) Part { return Part(hash) | wholeBit }

func (part Part) whole() bool { return part&wholeBit != 0 }

// Evidence is what one entry has seen of a part.
type Evidence struct {
	Part   Part
	Ends   int           // of targets, since an answer under the part last began
	Ended  []uint32      // hashes of the ends, for a whole request; see endHash
	Age    time.Duration // of the latest end
	With   []Part        // the other parts of the request under which it came
	Begun  bool          // an answer under the part has begun lately
	Since  time.Duration // since then
	Trying bool          // the entry is trying the part
}

// Lasting is what is to outlast all entries: the evidence of one entry of a whole request or of
// a part.
type Lasting struct {
	Entry    string // that has seen the ends of targets under a part; empty for this one and for whole requests
	WasGood  bool   // answers under the part had begun shortly before its first end
	Evidence Evidence
}

// Quarantine is the state of one entry.
type Quarantine struct {
	records   map[Part]*record
	good      map[Part]time.Time // parts of prompts under which answers have begun, and when last
	goodWhole map[Part]time.Time // the same for whole requests
	reports   int                // made so far
}

// New returns a Quarantine that knows of no part.
func New() *Quarantine {
	return &Quarantine{records: map[Part]*record{}, good: map[Part]time.Time{}, goodWhole: map[Part]time.Time{}}
}

// goodOf returns the map that holds when answers under a part have last begun.
func (quarantine *Quarantine) goodOf(part Part) map[Part]time.Time {
	if part.whole() {
		return quarantine.goodWhole
	}
	return quarantine.good
}

// Verdict says whether a request may be sent to a target.
type Verdict struct {
	Allowed    bool
	Trial      bool          // the request tries a part; see BeginTrial
	Part       Part          // that is withheld or tried
	Ends       int           // of targets, under Part
	RetryAfter time.Duration // if the request is not allowed
}

// Check decides on a request with these shared parts. Planner says that this entry plans
// for the fleet.
func (quarantine *Quarantine) Check(parts []Part, planner bool, now time.Time) Verdict {
	verdict := Verdict{Allowed: true}
	for _, part := range parts {
		record := quarantine.records[part]
		if record == nil {
			continue
		}
		ends, last := record.count()
		weight := record.weight(ends)
		if quarantine.explained(record, ends, parts) {
			weight = min(weight, 1)
		}
		wait := last.Add(record.rest(weight)).Sub(now)
		switch {
		case weight <= 0:
			continue
		case wait <= 0 && record.triedTil.After(now):
			wait = trialPause
		case wait <= 0 && weight >= record.plannerTrials() && !planner:
			wait = record.rest(weight)
		case wait <= 0:
			verdict.Trial, verdict.Part, verdict.Ends = true, part, ends
			continue
		}
		return Verdict{Part: part, Ends: ends, RetryAfter: wait}
	}
	return verdict
}

// Withheld reports whether a request that has been sent should be taken back, since a part
// of it has ended targets more than once.
func (quarantine *Quarantine) Withheld(parts []Part, now time.Time) bool {
	for _, part := range parts {
		if record := quarantine.records[part]; record != nil {
			ends, last := record.count()
			weight := record.weight(ends)
			if weight > 1 && now.Before(last.Add(record.rest(weight))) && !quarantine.explained(record, ends, parts) {
				return true
			}
		}
	}
	return false
}

// explained reports whether another part, which a request with these parts does not have,
// explains the latest end under a part as well as that one does.
func (quarantine *Quarantine) explained(suspected *record, ends int, parts []Part) bool {
	_, with := suspected.latest()
	for _, other := range with {
		if slices.Contains(parts, other) {
			continue
		}
		if record := quarantine.records[other]; record != nil {
			if otherEnds, _ := record.count(); otherEnds >= ends {
				return true
			}
		}
	}
	return false
}

// BeginTrial records that a request that tries its suspected parts is sent. Others are kept
// back until RecordEnd, RecordBegun or ReleaseTrial, or for trialTTL.
func (quarantine *Quarantine) BeginTrial(parts []Part, now time.Time) {
	for _, part := range parts {
		if record := quarantine.records[part]; record != nil {
			record.triedTil, record.triedBy = now.Add(trialTTL), ""
		}
	}
}

// ReleaseTrial records that a trial ended without saying anything of its parts.
func (quarantine *Quarantine) ReleaseTrial(parts []Part) {
	for _, part := range parts {
		if record := quarantine.records[part]; record != nil {
			record.triedTil = time.Time{}
		}
	}
}

// RecordEnd records that a target, given by its hash, ended before it began to answer a
// request with these parts that was sent at sentAt.
func (quarantine *Quarantine) RecordEnd(parts []Part, target uint32, sentAt, now time.Time) {
	for _, part := range parts {
		known := quarantine.suspect(part, now)
		known.triedTil = time.Time{}
		end := known.endHash(target, sentAt)
		switch {
		case !known.own.valid(known.begunAt):
			known.own.ends, known.own.ended = 0, nil
		case now.Sub(known.own.endAt) < sameEnd:
			known.addEnded(end)
			continue
		}
		known.own.ends++
		known.own.endAt, known.own.with = now, without(parts, part)
		known.addEnded(end)
	}
	quarantine.expire(now)
}

// suspect returns the record of a part under which a target has ended.
func (quarantine *Quarantine) suspect(part Part, now time.Time) *record {
	known := quarantine.records[part]
	if known == nil {
		known = &record{whole: part.whole(), others: map[string]seen{}}
		quarantine.records[part] = known
	}
	begunAt, begun := quarantine.goodOf(part)[part]
	if begunAt.After(known.begunAt) {
		known.begunAt = begunAt
	}
	if ends, _ := known.count(); ends == 0 {
		known.wasGood = begun && now.Sub(begunAt) < goodFor
	}
	return known
}

// RecordBegun records that an answer to a request with these parts began and went on.
// It reports whether any of them was suspected, so that the others should learn of it.
func (quarantine *Quarantine) RecordBegun(parts []Part, now time.Time) (suspected bool) {
	for _, part := range parts {
		quarantine.goodOf(part)[part] = now
		if record := quarantine.records[part]; record != nil {
			ends, _ := record.count()
			suspected = suspected || ends > 0
			record.begunAt, record.triedTil = now, time.Time{}
		}
	}
	return suspected
}

// Report returns the evidence that the other entries are to know, the latest first.
func (quarantine *Quarantine) Report(now time.Time) []Evidence {
	quarantine.expire(now)
	full := quarantine.reports%fullReports == 0
	quarantine.reports++
	var report []Evidence
	for part, record := range quarantine.records {
		evidence := Evidence{Part: part}
		switch {
		case record.neverAnswered():
			evidence.Ended, evidence.Age = record.allEnded(), now.Sub(record.lastEnd())
			evidence.Ends = len(evidence.Ended)
			_, evidence.With = record.latest()
		case record.own.valid(record.begunAt):
			evidence.Ends, evidence.Ended, evidence.Age, evidence.With = record.own.ends, record.own.ended, now.Sub(record.own.endAt), record.own.with
		}
		if since := now.Sub(quarantine.goodOf(part)[part]); since < clearedFor || since < goodFor && !part.whole() {
			evidence.Begun, evidence.Since = true, since
		}
		evidence.Trying = record.triedBy == "" && record.triedTil.After(now)
		reported := full || evidence.Age < freshFor
		if record.neverAnswered() && evidence.Ends == 1 {
			reported = evidence.Age < firstEndFor
		}
		if evidence.Ends > 0 && reported || evidence.Begun || evidence.Trying {
			report = append(report, evidence)
		}
	}
	return latestFirst(report)
}

// Lasting returns the whole requests that no target has answered and under which several have
// ended, and the parts that are withheld after several ends, the latest first. Most parts with
// one end are sound.
func (quarantine *Quarantine) Lasting(now time.Time) []Lasting {
	quarantine.expire(now)
	var lasting []Lasting
	for part, record := range quarantine.records {
		if record.neverAnswered() {
			if ended := record.allEnded(); len(ended) >= wholePlanner {
				lasting = append(lasting, Lasting{Evidence: Evidence{Part: part, Ends: len(ended), Ended: ended, Age: now.Sub(record.lastEnd())}})
			}
			continue
		}
		if ends, _ := record.count(); part.whole() || record.weight(ends) < lastingEnds {
			continue
		}
		add := func(entry string, seen seen) {
			if seen.valid(record.begunAt) {
				evidence := Evidence{Part: part, Ends: seen.ends, Age: now.Sub(seen.endAt), With: seen.with}
				lasting = append(lasting, Lasting{Entry: entry, WasGood: record.wasGood, Evidence: evidence})
			}
		}
		add("", record.own)
		for entry, seen := range record.others {
			add(entry, seen)
		}
	}
	slices.SortFunc(lasting, func(left, right Lasting) int { return int(left.Evidence.Age - right.Evidence.Age) })
	return lasting[:min(len(lasting), maxLasting)]
}

// Restore records evidence that has outlasted an entry, this one if its name is empty, unless
// later evidence of that entry is known.
func (quarantine *Quarantine) Restore(lasting []Lasting, now time.Time) {
	for _, last := range lasting {
		evidence := last.Evidence
		if evidence.Part.whole() {
			quarantine.Apply(lastingSource, []Evidence{evidence}, now)
			continue
		}
		known := quarantine.suspect(evidence.Part, now)
		restored := seen{ends: evidence.Ends, endAt: now.Add(-evidence.Age), with: evidence.With}
		switch {
		case last.Entry == "" && known.own.ends == 0:
			known.own = restored
		case last.Entry != "" && known.others[last.Entry].endAt.Before(restored.endAt):
			known.others[last.Entry] = restored
		}
		known.wasGood = known.wasGood || last.WasGood
	}
	quarantine.expire(now)
}

// latestFirst returns the evidence of the latest ends, maxEvidence of them at most.
func latestFirst(evidence []Evidence) []Evidence {
	slices.SortFunc(evidence, func(left, right Evidence) int { return int(left.Age - right.Age) })
	return evidence[:min(len(evidence), maxEvidence)]
}

// Apply records the evidence that another entry has reported.
func (quarantine *Quarantine) Apply(entry string, report []Evidence, now time.Time) {
	for _, evidence := range report {
		known := quarantine.records[evidence.Part]
		if evidence.Ends > 0 {
			known = quarantine.suspect(evidence.Part, now)
		}
		if known == nil {
			continue
		}
		if evidence.Ends > 0 {
			known.others[entry] = seen{ends: evidence.Ends, ended: evidence.Ended, endAt: now.Add(-evidence.Age), with: evidence.With}
		}
		if begunAt := now.Add(-evidence.Since); evidence.Begun && begunAt.After(known.begunAt) {
			known.begunAt = begunAt
			known.wasGood = true // at the other entry
		}
		switch {
		case evidence.Trying && !known.triedTil.After(now):
			known.triedTil, known.triedBy = now.Add(trialTTL), entry
		case !evidence.Trying && known.triedBy == entry:
			known.triedTil, known.triedBy = time.Time{}, ""
		}
	}
	quarantine.expire(now)
}

// expire drops what is over, and the oldest of what is too much.
func (quarantine *Quarantine) expire(now time.Time) {
	for part, record := range quarantine.records {
		ends, last := record.count()
		if now.Sub(last) > record.rest(record.weight(ends))+forgetAfter && now.Sub(record.begunAt) > clearedFor {
			delete(quarantine.records, part)
		}
	}
	for len(quarantine.records) > maxRecords {
		quarantine.dropOldest()
	}
	expireGood(quarantine.good, now)
	expireGood(quarantine.goodWhole, now)
}

func expireGood(good map[Part]time.Time, now time.Time) {
	if len(good) <= maxGood {
		return
	}
	for part, at := range good {
		if now.Sub(at) > goodFor || len(good) > maxGood {
			delete(good, part)
		}
	}
}

// dropOldest drops the record with the oldest end, of those with one end if there are any: each
// end of a target leaves a record of every request that was there.
func (quarantine *Quarantine) dropOldest() {
	var oldest Part
	var oldestAt time.Time
	found, several := false, false
	for part, record := range quarantine.records {
		ends, last := record.count()
		if !found || several && ends <= 1 || several == (ends > 1) && last.Before(oldestAt) {
			oldest, oldestAt, found, several = part, last, true, ends > 1
		}
	}
	delete(quarantine.records, oldest)
}

// without returns parts without one of them.
func without(parts []Part, part Part) []Part {
	return slices.DeleteFunc(slices.Clone(parts), func(other Part) bool { return other == part })
}
