package quota

import "time"

// ShareParams holds the parameters of an entry's share.
type ShareParams struct {
	Name             string        // unique name of this incarnation of the entry
	Address          string        // where the entry listens for its peers
	MinHold          time.Duration // minimum lifetime of a dynamic share that is not renewed
	HoldPerEntry     time.Duration // added to the hold per holder, so that the rate of renewals over all entries stays low
	StandingHold     time.Duration // lifetime of a standing share that is not renewed
	StandingMinAge   time.Duration // age from which an entry may hold a standing share
	StandingFraction float64       // fraction of all units that may be held as standing shares
	Drift            float64       // upper bound on the relative difference between the speeds of two clocks
}

// Share is the state machine that acquires, renews and gives up an entry's share
// through conditional writes of the table. It is not safe for concurrent use.
type Share struct {
	params      ShareParams
	startedAt   time.Time
	table       Table
	version     uint64
	tableKnown  bool
	heartbeat   uint64
	sentAt      map[uint64]time.Time // send times, by heartbeat, of the writes that may be in the table and are not confirmed
	pending     *pendingWrite
	readPending bool
	dynamic     int64         // units that may be used
	standing    int64         // units that may be used
	renewedAt   time.Time     // when the last successful renewal was sent
	hold        time.Duration // lifetime of the dynamic part since renewedAt
	nextRenewal time.Time
	observed    map[string]observation // by holder
	leaving     bool
	left        bool // leaving, and the table has no row of this entry
	tableAbsent bool // the last read found no table
}

// pendingWrite is a write of the table without a result yet. It is empty for a write
// that removes this entry's row.
type pendingWrite struct {
	table Table
	row   Holder // of this entry
}

// observation records when a holder's current heartbeat was first read.
type observation struct {
	heartbeat   uint64
	firstSeenAt time.Time
}

// ShareEffect is an action that a Share asks its driver to carry out.
type ShareEffect interface{ shareEffect() }

type (
	// ReadTable asks the driver to read the table and then call Share.TableRead.
	ReadTable struct{}
	// WriteTable asks the driver to write Table if the stored version is
	// BaseVersion, and then call Share.WriteDone.
	WriteTable struct {
		Table       Table
		BaseVersion uint64
	}
)

func (ReadTable) shareEffect()  {}
func (WriteTable) shareEffect() {}

// WriteResult is the result of a conditional write of the table.
type WriteResult int

// The results of a conditional write. After WriteUnknown the write may have taken
// effect or may still do so.
const (
	Written WriteResult = iota + 1
	Conflicted
	WriteUnknown
)

// NewShare returns the Share of an entry that holds no units yet.
func NewShare(params ShareParams, now time.Time) *Share {
	return &Share{params: params, startedAt: now, sentAt: map[uint64]time.Time{}, observed: map[string]observation{}, hold: params.MinHold}
}

// Table returns the table as last read or written.
func (share *Share) Table() Table { return share.table }

// Units returns the units that this entry may use from now on. After every call of
// Tick, Leave, WriteDone or TableRead, even one that returns no effects, the caller
// passes Units to Limiter.SetUnits before it carries any effects out.
func (share *Share) Units() ShareUnits {
	return ShareUnits{
		Dynamic: share.dynamic, Standing: share.standing,
		DynamicEnd: share.expiry(share.hold), StandingEnd: share.expiry(max(share.hold, share.params.StandingHold)),
	}
}

// expiry returns when a part of the share expires at this entry: once the hold has
// elapsed since the last renewal on the fastest clock that the drift allows.
func (share *Share) expiry(hold time.Duration) time.Time {
	return share.renewedAt.Add(time.Duration(float64(hold) * (1 - share.params.Drift)))
}

// Tick renews the share and adjusts its units when a renewal is due.
func (share *Share) Tick(now time.Time) []ShareEffect {
	if share.pending != nil || share.readPending || now.Before(share.nextRenewal) {
		return nil
	}
	share.nextRenewal = now.Add(share.renewalInterval())
	if !share.tableKnown {
		share.readPending = true
		return []ShareEffect{ReadTable{}}
	}
	return share.write(now)
}

// RenewSoon brings the next renewal forward to an eighth of the renewal interval from
// now and makes it read the table first. It has no effect if the renewal is due by then
// anyway. It is called when another entry has changed the table, because that entry may
// be short of units that this one has to give up, and while this entry is short of units
// itself.
func (share *Share) RenewSoon(now time.Time) {
	if earlier := now.Add(share.renewalInterval() / 8); earlier.Before(share.nextRenewal) {
		share.nextRenewal = earlier
		share.tableKnown = false
	}
}

// renewalInterval returns the time between two renewals. Within a hold, a failed
// renewal can be repeated.
func (share *Share) renewalInterval() time.Duration { return share.hold / 3 }

// Leave gives up the whole share. Its units can no longer be used once Leave
// returns.
func (share *Share) Leave(now time.Time) []ShareEffect {
	share.leaving = true
	share.dynamic, share.standing = 0, 0
	if share.pending != nil || share.readPending {
		return nil
	}
	return share.write(now)
}

// Left reports whether the table is known to have no row of this entry, which has called Leave.
func (share *Share) Left() bool { return share.left }

// write asks for a write of the table with the desired row of this entry, or
// without its row if the entry is leaving.
func (share *Share) write(now time.Time) []ShareEffect {
	table := share.withoutExpired(now)
	if share.leaving {
		if _, held := table.find(share.params.Name); !held {
			share.left = true
			return nil
		}
		share.pending = &pendingWrite{}
		return []ShareEffect{WriteTable{Table: table.without(share.params.Name), BaseVersion: share.version}}
	}
	row := share.desiredRow(table, now)
	// Units given up must not be used any more once others can take them.
	share.dynamic = min(share.dynamic, row.dynamic)
	share.standing = min(share.standing, row.standing)
	// As soon as the row is written, other entries apply its hold, even if this entry
	// never gets the response. A shorter hold therefore applies here from now on.
	share.hold = min(share.hold, row.hold)
	share.pending = &pendingWrite{table: table.with(row), row: row}
	share.sentAt[row.heartbeat] = now
	return []ShareEffect{WriteTable{Table: share.pending.table, BaseVersion: share.version}}
}

// withoutExpired returns the table without the parts that are certain to have
// expired at their holders.
func (share *Share) withoutExpired(now time.Time) Table {
	table := share.table
	for _, holder := range share.table.holders {
		if holder.name == share.params.Name {
			continue
		}
		sinceRenewal := now.Sub(share.observed[holder.name].firstSeenAt)
		if sinceRenewal > share.safeHold(holder.hold) {
			holder.dynamic = 0
			table = table.with(holder)
		}
		if sinceRenewal > share.safeHold(max(holder.hold, holder.standingHold)) {
			holder.standing = 0
		}
		if holder.Units() == 0 && !share.isLive(holder, now) {
			table = table.without(holder.name)
		}
	}
	return table
}

// isLive reports whether a holder may have renewed its row within its hold, by what
// this entry has observed.
func (share *Share) isLive(holder Holder, now time.Time) bool {
	if holder.name == share.params.Name {
		return true
	}
	return now.Sub(share.observed[holder.name].firstSeenAt) <= share.safeHold(holder.hold)
}

// fairShare returns an equal share of the units for each live holder, and the number
// of live holders including this entry. Units that the table still assigns to holders
// that are not live are left out.
func (share *Share) fairShare(table Table, now time.Time) (units, holders int64) {
	availableUnits := int64(TotalUnits)
	for _, holder := range table.holders {
		if share.isLive(holder, now) {
			holders++
			continue
		}
		availableUnits -= holder.Units()
	}
	if _, held := table.find(share.params.Name); !held {
		holders++
	}
	return availableUnits / holders, holders
}

// safeHold returns how long a row must have been unchanged before a part with the
// given hold is certain to have expired at its holder, even on the slowest clock that
// the drift allows.
func (share *Share) safeHold(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * (1 + share.params.Drift))
}

// desiredRow returns the row that this entry writes next: an equal share of the
// units, of which an entry older than ShareParams.StandingMinAge holds a part as
// a standing share. The row takes no units that other rows of the table hold.
func (share *Share) desiredRow(table Table, now time.Time) Holder {
	row, held := table.find(share.params.Name)
	if !held {
		row = Holder{name: share.params.Name, address: share.params.Address}
	}
	fairUnits, holders := share.fairShare(table, now)
	share.heartbeat++
	row.heartbeat = share.heartbeat
	row.standingHold = share.params.StandingHold
	row.hold = share.params.MinHold + time.Duration(holders)*share.params.HoldPerEntry
	row.standing = share.desiredStanding(row.standing, fairUnits, table.standingUnits(), now)
	row.dynamic = max(fairUnits-row.standing, 0)
	if excess := row.Units() - table.without(row.name).Free(); excess > 0 {
		dynamicCut := min(excess, row.dynamic)
		row.dynamic -= dynamicCut
		row.standing -= excess - dynamicCut
	}
	return row
}

// desiredStanding returns the units of the standing part in the desired row. An entry
// younger than ShareParams.StandingMinAge gains none. An older one holds the standing
// fraction of its fair share, as far as all standing parts together stay within that
// fraction of TotalUnits.
func (share *Share) desiredStanding(ownStanding, fairUnits, totalStanding int64, now time.Time) int64 {
	if now.Sub(share.startedAt) < share.params.StandingMinAge {
		return min(ownStanding, fairUnits)
	}
	limit := int64(share.params.StandingFraction * TotalUnits)
	part := int64(share.params.StandingFraction * float64(fairUnits))
	return max(min(part, limit-(totalStanding-ownStanding)), 0)
}

// WriteDone passes in the result of the last WriteTable.
func (share *Share) WriteDone(now time.Time, result WriteResult, version uint64) []ShareEffect {
	pending := share.pending
	share.pending = nil
	if pending == nil {
		return nil
	}
	if result == Written && !share.leaving && pending.row.name != "" {
		share.observeTable(pending.table, version, now)
		share.confirm(pending.row)
		share.renewSoonIfShort(now)
		return nil
	}
	if result == Written && pending.row.name == "" {
		share.tableKnown = false
		share.left = true
		return nil
	}
	share.tableKnown = false
	share.readPending = true
	return []ShareEffect{ReadTable{}}
}

// renewSoonIfShort brings the next renewal forward while this entry holds less than
// half of its fair share, because other entries are expected to give up units soon.
func (share *Share) renewSoonIfShort(now time.Time) {
	fairUnits, _ := share.fairShare(share.table, now)
	if 2*(share.dynamic+share.standing) < fairUnits {
		share.RenewSoon(now)
	}
}

// confirm puts the units of a row that is known to be in the table into use. The
// hold counts from when the row was sent.
func (share *Share) confirm(row Holder) {
	sent, ok := share.sentAt[row.heartbeat]
	if !ok {
		return
	}
	share.dynamic, share.standing = row.dynamic, row.standing
	share.hold = row.hold
	share.renewedAt = sent
	for heartbeat := range share.sentAt {
		if heartbeat <= row.heartbeat {
			delete(share.sentAt, heartbeat)
		}
	}
}

// TableRead passes in the result of the last ReadTable. A table that does not
// exist is empty and has version 0.
func (share *Share) TableRead(now time.Time, table Table, version uint64, failed bool) []ShareEffect {
	share.readPending = false
	if failed {
		share.nextRenewal = now.Add(share.params.MinHold / 4)
		return nil
	}
	share.tableAbsent = version == 0
	share.observeTable(table, version, now)
	row, held := table.find(share.params.Name)
	switch {
	case share.leaving:
	case !held:
		share.dynamic, share.standing = 0, 0
	default:
		share.reconcile(row)
	}
	share.nextRenewal = now.Add(share.renewalInterval())
	return share.write(now)
}

// reconcile applies this entry's row as read from the table. If the row comes from a
// write that is not confirmed yet, that write has taken effect and is confirmed. Any
// other row may only lower the units, since other entries may have reclaimed parts of
// it.
func (share *Share) reconcile(row Holder) {
	if _, sentByThis := share.sentAt[row.heartbeat]; sentByThis {
		share.confirm(row)
		return
	}
	share.dynamic = min(share.dynamic, row.dynamic)
	share.standing = min(share.standing, row.standing)
}

// observeTable stores the table as current and records the heartbeats that changed.
func (share *Share) observeTable(table Table, version uint64, now time.Time) {
	share.table, share.version, share.tableKnown = table, version, true
	for _, holder := range table.holders {
		if share.observed[holder.name].heartbeat != holder.heartbeat {
			share.observed[holder.name] = observation{heartbeat: holder.heartbeat, firstSeenAt: now}
		}
	}
	for name := range share.observed {
		if _, held := table.find(name); !held {
			delete(share.observed, name)
		}
	}
}

// TableAbsent reports whether the last read found no table, so that no entry can
// have spent any tokens yet.
func (share *Share) TableAbsent() bool { return share.tableAbsent }
