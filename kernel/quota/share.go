package quota

import "time"

// Plan bounds how an entry holds its share.
type Plan struct {
	Name         string        // of this start of the entry
	Address      string        // where the entry listens to its peers
	MinHold      time.Duration // shortest life of a dynamic share that is not renewed
	HoldPerEntry time.Duration // added to the hold for each holder, so that renewals stay few
	StandingHold time.Duration // life of a standing share that is not renewed
	Seasoning    time.Duration // age at which an entry takes a standing share
	StandingPart float64       // part of the whole that may be held as standing shares
	Drift        float64       // bound on the difference of two clocks' speeds
}

// Share is the machine that holds an entry's share. It is driven by the
// control goroutine.
type Share struct {
	plan     Plan
	born     time.Time
	table    Table
	version  uint64
	known    bool
	beat     uint64
	sent     map[uint64]time.Time // when each beat that may be in the table was sent
	pending  *pendingWrite
	asked    bool
	dynamic  int64
	standing int64
	renewed  time.Time // when the last renewal that counts was sent
	hold     time.Duration
	next     time.Time
	seen     map[string]observation
	leaving  bool
	fresh    bool
}

type pendingWrite struct {
	table Table
	row   Holder
}

// observation is when a holder's present beat was first seen.
type observation struct {
	beat uint64
	at   time.Time
}

// ShareEffect is what a Share wants done.
type ShareEffect interface{ shareEffect() }

type (
	// ReadTable asks for a read of the table and a TableRead.
	ReadTable struct{}
	// WriteTable asks for a conditional write of the table and a WriteDone.
	WriteTable struct {
		Table Table
		Base  uint64
	}
)

func (ReadTable) shareEffect()  {}
func (WriteTable) shareEffect() {}

// WriteResult is what a conditional write of the table came to.
type WriteResult int

// The results of a write.
const (
	Written WriteResult = iota + 1
	Conflicted
	Unknown
)

// NewShare returns the machine of an entry that holds nothing yet.
func NewShare(plan Plan, now time.Time) *Share {
	return &Share{plan: plan, born: now, sent: map[uint64]time.Time{}, seen: map[string]observation{}, hold: plan.MinHold}
}

// Table returns the table as last seen.
func (share *Share) Table() Table { return share.table }

// Parts returns the units that count from now on, for Limiter.Sync. It must be
// synced after every call of the machine, before its effects are carried out.
func (share *Share) Parts() Parts {
	return Parts{
		Dynamic: share.dynamic, Standing: share.standing,
		DynamicEnd: share.ends(share.hold), StandingEnd: share.ends(max(share.hold, share.plan.StandingHold)),
	}
}

// ends returns when a part that lives for hold ends by the fastest clock.
func (share *Share) ends(hold time.Duration) time.Time {
	return share.renewed.Add(time.Duration(float64(hold) * (1 - share.plan.Drift)))
}

// Tick renews, takes and gives up units when due.
func (share *Share) Tick(now time.Time) []ShareEffect {
	if share.pending != nil || share.asked || now.Before(share.next) {
		return nil
	}
	share.next = now.Add(share.period())
	if !share.known {
		share.asked = true
		return []ShareEffect{ReadTable{}}
	}
	return share.write(now)
}

// Nudge brings the next renewal forward: another entry is short of units and
// may be waiting for this one to give some up.
func (share *Share) Nudge(now time.Time) {
	if soon := now.Add(share.period() / 8); soon.Before(share.next) {
		share.next = soon
		share.known = false
	}
}

// period is the time between two renewals.
func (share *Share) period() time.Duration { return share.hold / 3 }

// Leave gives everything up; the units stop counting at once.
func (share *Share) Leave(now time.Time) []ShareEffect {
	share.leaving = true
	share.dynamic, share.standing = 0, 0
	if share.pending != nil || share.asked {
		return nil
	}
	return share.write(now)
}

// write builds the table that this entry wants next.
func (share *Share) write(now time.Time) []ShareEffect {
	table := share.reclaimed(now)
	if share.leaving {
		if _, held := table.find(share.plan.Name); !held {
			return nil
		}
		share.pending = &pendingWrite{}
		return []ShareEffect{WriteTable{Table: table.without(share.plan.Name), Base: share.version}}
	}
	row := share.wanted(table, now)
	// What is given up stops counting before anybody else can take it.
	share.dynamic = min(share.dynamic, row.dynamic)
	share.standing = min(share.standing, row.standing)
	// Others go by the shorter hold once the row is written, even if its answer
	// is lost.
	share.hold = min(share.hold, row.hold)
	share.pending = &pendingWrite{table: table.with(row), row: row}
	share.sent[row.beat] = now
	return []ShareEffect{WriteTable{Table: share.pending.table, Base: share.version}}
}

// reclaimed returns the table without the parts whose holders have certainly
// lost them.
func (share *Share) reclaimed(now time.Time) Table {
	table := share.table
	for _, holder := range share.table.holders {
		if holder.name == share.plan.Name {
			continue
		}
		silent := now.Sub(share.seen[holder.name].at)
		if silent > share.outlived(holder.hold) {
			holder.dynamic = 0
			table = table.with(holder)
		}
		if silent > share.outlived(max(holder.hold, holder.standingHold)) {
			holder.standing = 0
		}
		if holder.Units() == 0 && !share.live(holder, now) {
			table = table.without(holder.name)
		}
	}
	return table
}

// live says whether a holder renewed its row within its hold.
func (share *Share) live(holder Holder, now time.Time) bool {
	if holder.name == share.plan.Name {
		return true
	}
	return now.Sub(share.seen[holder.name].at) <= share.outlived(holder.hold)
}

// fair returns an equal part of what the holders that live can have.
func (share *Share) fair(table Table, now time.Time) (units, holders int64) {
	whole := int64(TotalUnits)
	for _, holder := range table.holders {
		if share.live(holder, now) {
			holders++
			continue
		}
		whole -= holder.Units()
	}
	if _, held := table.find(share.plan.Name); !held {
		holders++
	}
	return whole / holders, holders
}

// outlived returns how long a row must stand unchanged until its holder's part
// has ended by the slowest clock.
func (share *Share) outlived(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * (1 + share.plan.Drift))
}

// wanted returns the row that this entry writes next into table: an equal part
// of the whole, of which a seasoned entry holds some as a standing share.
func (share *Share) wanted(table Table, now time.Time) Holder {
	row, held := table.find(share.plan.Name)
	if !held {
		row = Holder{name: share.plan.Name, address: share.plan.Address}
	}
	fair, holders := share.fair(table, now)
	share.beat++
	row.beat = share.beat
	row.standingHold = share.plan.StandingHold
	row.hold = share.plan.MinHold + time.Duration(holders)*share.plan.HoldPerEntry
	row.standing = share.wantedStanding(row.standing, fair, table.standing(), now)
	row.dynamic = max(fair-row.standing, 0)
	if over := row.Units() - table.without(row.name).Free(); over > 0 {
		cut := min(over, row.dynamic)
		row.dynamic -= cut
		row.standing -= over - cut
	}
	return row
}

func (share *Share) wantedStanding(mine, fair, all int64, now time.Time) int64 {
	if now.Sub(share.born) < share.plan.Seasoning {
		return min(mine, fair)
	}
	limit := int64(share.plan.StandingPart * TotalUnits)
	part := int64(share.plan.StandingPart * float64(fair))
	return max(min(part, limit-(all-mine)), 0)
}

// WriteDone reports on the write that was asked for last.
func (share *Share) WriteDone(now time.Time, result WriteResult, version uint64) []ShareEffect {
	pending := share.pending
	share.pending = nil
	if pending == nil {
		return nil
	}
	if result == Written && !share.leaving && pending.row.name != "" {
		share.accept(pending.table, version, now)
		share.settle(pending.row)
		share.hasten(now)
		return nil
	}
	if result == Written && pending.row.name == "" {
		share.known = false
		return nil
	}
	share.known = false
	share.asked = true
	return []ShareEffect{ReadTable{}}
}

// hasten brings the next write forward while this entry has far less than an
// equal part, which others are about to give up.
func (share *Share) hasten(now time.Time) {
	fair, _ := share.fair(share.table, now)
	if 2*(share.dynamic+share.standing) < fair {
		share.Nudge(now)
	}
}

// settle counts the units of a row that is in the table, from when it was sent.
func (share *Share) settle(row Holder) {
	sent, ok := share.sent[row.beat]
	if !ok {
		return
	}
	share.dynamic, share.standing = row.dynamic, row.standing
	share.hold = row.hold
	share.renewed = sent
	for beat := range share.sent {
		if beat <= row.beat {
			delete(share.sent, beat)
		}
	}
}

// TableRead reports on the read that was asked for last. A table that does not
// exist is empty and has version 0.
func (share *Share) TableRead(now time.Time, table Table, version uint64, failed bool) []ShareEffect {
	share.asked = false
	if failed {
		share.next = now.Add(share.plan.MinHold / 4)
		return nil
	}
	share.fresh = version == 0
	share.accept(table, version, now)
	row, held := table.find(share.plan.Name)
	switch {
	case share.leaving:
	case !held:
		share.dynamic, share.standing = 0, 0
	default:
		share.adopt(row)
	}
	share.next = now.Add(share.period())
	return share.write(now)
}

// adopt counts a row found in the table: a write without answer that landed.
// An older row may show parts that others have reclaimed meanwhile.
func (share *Share) adopt(row Holder) {
	if _, mine := share.sent[row.beat]; mine {
		share.settle(row)
		return
	}
	share.dynamic = min(share.dynamic, row.dynamic)
	share.standing = min(share.standing, row.standing)
}

func (share *Share) accept(table Table, version uint64, now time.Time) {
	share.table, share.version, share.known = table, version, true
	for _, holder := range table.holders {
		if share.seen[holder.name].beat != holder.beat {
			share.seen[holder.name] = observation{beat: holder.beat, at: now}
		}
	}
	for name := range share.seen {
		if _, held := table.find(name); !held {
			delete(share.seen, name)
		}
	}
}

// Founder says whether the last read found no table at all, so that nobody can
// have spent anything yet.
func (share *Share) Founder() bool { return share.fresh }
