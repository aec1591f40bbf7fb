// Package lease elects a single holder among the instances that compete for a lease,
// by conditional writes to one record in the platform's object API. It needs no
// synchronised clocks, only a bound on the difference of their speeds: a holder
// counts the lease from when it sent the write that acquired or renewed it, and
// other instances wait until the record has been unchanged for longer than the
// lease can last on the slowest clock. A record that the store has lost, since it came back
// from an older copy, counts as unchanged since this is noticed. Each acquisition raises the fencing number,
// which the users of the package send along so that others can refuse a former
// holder. It holds the epoch of the store, see object.JoinVersion. Lease is a state machine without I/O; Driver carries out its effects
// through package object.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/object"
)

// Record is the stored state of a lease in the object API.
type Record struct {
	holder    string
	fence     uint64
	heartbeat uint64 // number of the holder's write, so that each renewal changes the record
	duration  time.Duration
	epoch     uint64 // of the store when it was written, as far as its writer knew
}

// Holder returns the name of the current or last holder, empty after a release.
func (record Record) Holder() string { return record.holder }

// Fence returns the fencing number, which increases with each acquisition.
func (record Record) Fence() uint64 { return record.fence }

// malformedRecord stands for a record that cannot be decoded. Its holder is not known.
var malformedRecord = Record{holder: "unknown"}

type wireRecord struct {
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Beat     uint64 `json:"beat"`
	Duration int64  `json:"duration_ms"`
	Epoch    uint64 `json:"epoch,omitempty"`
}

// Marshal encodes the record in its stored form.
func (record Record) Marshal() ([]byte, error) {
	return json.Marshal(wireRecord{Holder: record.holder, Fence: record.fence, Beat: record.heartbeat, Duration: record.duration.Milliseconds(), Epoch: record.epoch})
}

// ParseRecord decodes a stored record.
func ParseRecord(data []byte) (Record, error) {
	var stored wireRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return Record{}, errors.Wrap(err, "decode the lease record")
	}
	return Record{holder: stored.Holder, fence: stored.Fence, heartbeat: stored.Beat, duration: time.Duration(stored.Duration) * time.Millisecond, epoch: stored.Epoch}, nil
}

// Params holds the parameters of a lease.
type Params struct {
	Holder   string        // name of this instance, unique among competing instances; a lease that the record shows under this name counts as free
	Duration time.Duration // lifetime of a lease that is not renewed
	Drift    float64       // upper bound on the relative difference between the speeds of two clocks
}

// Lease is the state machine of one instance that competes for the lease.
type Lease struct {
	params       Params
	record       Record
	version      uint64    // of record
	lost         bool      // there is no record, but there was one
	recordKnown  bool      // false before the first read, and from a conflict or an unknown result to the next read
	recordSeenAt time.Time // when this version of the record was first read or was written
	callInFlight bool      // an effect was returned whose result has not been passed in
	pending      Record    // record of the last write
	acquires     bool      // the last write acquires the lease, or gives it up; it does not renew it
	continues    bool      // the last write acquires it again for its holder, after its record was lost
	continued    bool      // the last acquisition was such a one
	writeSentAt  time.Time // when the last acquisition or renewal was sent
	heartbeat    uint64    // number of the last acquisition or renewal
	fence        uint64    // fencing number, while held
	renewedAt    time.Time // when the last successful acquisition or renewal was sent
	held         bool
	nextTick     time.Time // earliest time of Tick's next attempt
	ownVersion   uint64    // of the record as last written by an acquisition or renewal of this instance, 0 if none was confirmed
	released     bool
	givenUp      bool // released, and the record does not name this instance
}

// Effect is an action that a Lease asks its driver to carry out.
type Effect interface{ leaseEffect() }

type (
	// Read asks the driver to read the record and then call ReadDone.
	Read struct{}
	// Write asks the driver to write Record if the stored version is BaseVersion,
	// where 0 means that no record exists, and then call WriteDone.
	Write struct {
		Record      Record
		BaseVersion uint64
	}
)

func (Read) leaseEffect()  {}
func (Write) leaseEffect() {}

// WriteResult is the result of a conditional write.
type WriteResult int

// The results of a conditional write. After Unknown the write may have taken
// effect or may still do so.
const (
	Written WriteResult = iota + 1
	Conflicted
	Unknown
)

const (
	attemptsPerDuration = 3  // attempts to renew or acquire the lease within its duration
	retriesPerDuration  = 10 // attempts within the duration after a write with an unknown result, and to give the lease up
)

// New returns a Lease that is not held.
func New(params Params) *Lease { return &Lease{params: params} }

// Held returns the fencing number if the lease is certain to be held at now.
func (lease *Lease) Held(now time.Time) (fence uint64, held bool) {
	if !lease.held || !now.Before(lease.End()) {
		return 0, false
	}
	return lease.fence, true
}

// End returns when the lease expires unless it is renewed.
func (lease *Lease) End() time.Time {
	return lease.renewedAt.Add(time.Duration(float64(lease.params.Duration) * (1 - lease.params.Drift)))
}

// Renewal returns when the last successful acquisition or renewal was sent, and the version of
// the record that it wrote.
func (lease *Lease) Renewal() (sentAt time.Time, version uint64) {
	return lease.renewedAt, lease.version
}

// Record returns the record as last read or written.
func (lease *Lease) Record() Record { return lease.record }

// Tick renews the lease or tries to acquire it when an attempt is due. When the
// result of the last write is unknown, Tick reads the record instead, and the lease
// counts as not held until the read shows that the write took effect or a new
// acquisition succeeds. After Release, Tick tries again to give the lease up until GivenUp.
func (lease *Lease) Tick(now time.Time) []Effect {
	if lease.callInFlight || lease.givenUp || now.Before(lease.nextTick) {
		return nil
	}
	if lease.released {
		return lease.giveUp(now)
	}
	lease.nextTick = now.Add(lease.params.Duration / attemptsPerDuration)
	if _, held := lease.Held(now); held && lease.recordKnown {
		return lease.write(now, lease.fence, false)
	}
	lease.held = false
	lease.callInFlight = true
	return []Effect{Read{}}
}

// write returns the effect that acquires the lease, or renews it when fence is that of
// the lease held.
func (lease *Lease) write(now time.Time, fence uint64, acquires bool) []Effect {
	lease.heartbeat++
	lease.acquires = acquires
	lease.pending = Record{holder: lease.params.Holder, fence: fence, heartbeat: lease.heartbeat, duration: lease.params.Duration}
	lease.writeSentAt = now
	lease.callInFlight = true
	return []Effect{Write{Record: lease.pending, BaseVersion: lease.version}}
}

// ReadDone passes in the result of a Read; version 0 means that no record exists.
func (lease *Lease) ReadDone(now time.Time, record Record, version uint64, failed bool) []Effect {
	lease.callInFlight = false
	if failed {
		return nil
	}
	if !lease.recordKnown || version != lease.version {
		lease.lost = version == 0 && (lease.lost || lease.version != 0)
		lease.record, lease.version, lease.recordKnown = record, version, true
		lease.recordSeenAt = now
	}
	if lease.released {
		return lease.clearRecord()
	}
	if record.holder == lease.params.Holder && record.sameWrite(lease.pending) && !lease.recordLost() {
		// The last write took effect, although its response may have been lost. The
		// lease counts from when that write was sent, so it may have expired already.
		// One that took effect in a later epoch has not replaced the record that it was to.
		lease.acquire(version)
		if _, held := lease.Held(now); held {
			return nil
		}
		lease.held = false
	}
	if !lease.isFree(now) {
		return nil
	}
	lease.continues = lease.recordLost() && lease.runs(now)
	return lease.write(now, record.fence+1, true)
}

// sameWrite reports whether two records are of the same write.
func (record Record) sameWrite(other Record) bool {
	record.epoch, other.epoch = 0, 0
	return record == other
}

// isFree reports whether the lease is certain to have no other holder. A record of an earlier
// epoch of the store names a former holder: the record of the last one, which may still hold the
// lease, has been lost. Then only that one may write before its lease can last no more.
func (lease *Lease) isFree(now time.Time) bool {
	switch {
	case lease.recordLost():
		if lease.runs(now) {
			return true
		}
	case lease.version == 0, lease.record.holder == "", lease.record.holder == lease.params.Holder:
		return true
	}
	duration := max(lease.record.duration, lease.params.Duration)
	safeDuration := time.Duration(float64(duration) * (1 + lease.params.Drift))
	return now.Sub(lease.recordSeenAt) > safeDuration
}

// recordLost reports whether the store has lost the record of the last holder.
func (lease *Lease) recordLost() bool {
	return lease.lost || lease.record.epoch < object.EpochOf(lease.version)
}

// runs reports whether the last acquisition or renewal of this instance lasts until now, whatever
// the store has.
func (lease *Lease) runs(now time.Time) bool {
	return lease.fence != 0 && clock.Elapsed(lease.renewedAt, now) < lease.End().Sub(lease.renewedAt)
}

// Continued reports whether no other instance can have held the lease between the last two
// acquisitions of this one, although its record was lost.
func (lease *Lease) Continued() bool { return lease.continued }

// acquire records that the last write acquired or renewed the lease, and made this version of
// the record. A fencing number counts the acquisitions and holds the epoch of the version, so
// that it is higher than all earlier ones also where the record with the last of them is lost.
func (lease *Lease) acquire(version uint64) {
	if lease.acquires {
		lease.fence = object.JoinVersion(object.EpochOf(version), object.RevisionOf(lease.pending.fence))
		lease.continued = lease.continues
	}
	lease.renewedAt = lease.writeSentAt
	lease.held = true
}

// WriteDone passes in the result of the last Write and, if Written, the record's new
// version.
func (lease *Lease) WriteDone(now time.Time, result WriteResult, version uint64) []Effect {
	lease.callInFlight = false
	switch result {
	case Written:
		lease.record, lease.version, lease.recordKnown, lease.recordSeenAt = lease.pending, version, true, now
		if lease.pending.holder == "" {
			lease.givenUp = true
			return nil
		}
		lease.ownVersion = version
		if lease.released {
			return lease.clearRecord()
		}
		lease.acquire(version)
	case Conflicted:
		lease.recordKnown = false
		lease.held = false
		lease.nextTick = now
	default:
		lease.recordKnown = false
		lease.nextTick = now.Add(lease.params.Duration / retriesPerDuration)
	}
	return nil
}

// Release gives up the lease, so that another instance can acquire it without
// waiting for it to expire. A released Lease is never held again. If a call is in flight, the
// effect that gives the lease up follows from its result. If the store does not answer, Tick
// tries again.
func (lease *Lease) Release(now time.Time) []Effect {
	lease.held = false
	lease.released = true
	lease.givenUp = lease.heartbeat == 0
	if lease.callInFlight || lease.givenUp {
		return nil
	}
	return lease.giveUp(now)
}

// GivenUp reports whether the lease has been released and its record does not name this instance
// any more, or never did.
func (lease *Lease) GivenUp() bool { return lease.givenUp }

// giveUp returns the effect that clears the holder in the record, or reads the record first if it is
// not known.
func (lease *Lease) giveUp(now time.Time) []Effect {
	lease.nextTick = now.Add(lease.params.Duration / retriesPerDuration)
	if !lease.recordKnown {
		lease.callInFlight = true
		return []Effect{Read{}}
	}
	return lease.clearRecord()
}

// clearRecord returns the effect that clears the holder in the record, which must be known. It
// leaves the record of another holder, and one that names this instance although that of a later
// holder has been lost: clearing it would let others acquire a lease that may be held.
func (lease *Lease) clearRecord() []Effect {
	written := lease.ownVersion != 0 && lease.version == lease.ownVersion
	own := lease.record.holder == lease.params.Holder && lease.record.fence <= lease.pending.fence && !lease.recordLost()
	if !written && !own {
		lease.givenUp = true
		return nil
	}
	lease.acquires = true
	lease.pending = Record{fence: max(lease.fence, lease.record.fence), heartbeat: lease.heartbeat + 1, duration: lease.params.Duration}
	lease.callInFlight = true
	return []Effect{Write{Record: lease.pending, BaseVersion: lease.version}}
}
