// Package lease elects a single holder among the instances that compete for a lease,
// by conditional writes to one record in the platform's object API. It needs no
// synchronised clocks, only a bound on the difference of their speeds: a holder
// counts the lease from when it sent the write that acquired or renewed it, and
// other instances wait until the record has been unchanged for longer than the
// lease can last on the slowest clock. Each acquisition raises the fencing number,
// which the users of the package send along so that others can refuse a former
// holder. Lease is a state machine without I/O; Driver carries out its effects
// through package object.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Record is the stored state of a lease in the object API.
type Record struct {
	holder    string
	fence     uint64
	heartbeat uint64 // number of the holder's write, so that each renewal changes the record
	duration  time.Duration
}

// Holder returns the name of the current or last holder, empty after a release.
func (record Record) Holder() string { return record.holder }

// Fence returns the fencing number, which increases with each acquisition.
func (record Record) Fence() uint64 { return record.fence }

type wireRecord struct {
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Beat     uint64 `json:"beat"`
	Duration int64  `json:"duration_ms"`
}

// Marshal encodes the record in its stored form.
func (record Record) Marshal() ([]byte, error) {
	return json.Marshal(wireRecord{Holder: record.holder, Fence: record.fence, Beat: record.heartbeat, Duration: record.duration.Milliseconds()})
}

// ParseRecord decodes a stored record.
func ParseRecord(data []byte) (Record, error) {
	var stored wireRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return Record{}, errors.Wrap(err, "decode the lease record")
	}
	return Record{holder: stored.Holder, fence: stored.Fence, heartbeat: stored.Beat, duration: time.Duration(stored.Duration) * time.Millisecond}, nil
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
	recordKnown  bool      // false before the first read, and from a conflict or an unknown result to the next read
	recordSeenAt time.Time // when this version of the record was first read or was written
	callInFlight bool      // an effect was returned whose result has not been passed in
	pending      Record    // record of the last write
	writeSentAt  time.Time // when the last acquisition or renewal was sent
	heartbeat    uint64    // number of the last acquisition or renewal
	fence        uint64    // fencing number, while held
	renewedAt    time.Time // when the last successful acquisition or renewal was sent
	held         bool
	nextTick     time.Time // earliest time of Tick's next attempt
	released     bool
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
	retriesPerDuration  = 10 // attempts within the duration after a write with an unknown result
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
// acquisition succeeds.
func (lease *Lease) Tick(now time.Time) []Effect {
	if lease.callInFlight || lease.released || now.Before(lease.nextTick) {
		return nil
	}
	lease.nextTick = now.Add(lease.params.Duration / attemptsPerDuration)
	if _, held := lease.Held(now); held && lease.recordKnown {
		return lease.write(now, lease.fence)
	}
	lease.held = false
	lease.callInFlight = true
	return []Effect{Read{}}
}

// write returns the effect that acquires the lease, or renews it when fence is that of
// the lease held.
func (lease *Lease) write(now time.Time, fence uint64) []Effect {
	lease.heartbeat++
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
		lease.record, lease.version, lease.recordKnown = record, version, true
		lease.recordSeenAt = now
	}
	if lease.released {
		return nil
	}
	if record.holder == lease.params.Holder && record == lease.pending {
		// The last write took effect, although its response may have been lost. The
		// lease counts from when that write was sent, so it may have expired already.
		lease.acquire(record)
		if _, held := lease.Held(now); held {
			return nil
		}
		lease.held = false
	}
	if !lease.isFree(now) {
		return nil
	}
	return lease.write(now, record.fence+1)
}

// isFree reports whether the lease is certain to have no other holder.
func (lease *Lease) isFree(now time.Time) bool {
	if lease.version == 0 || lease.record.holder == "" || lease.record.holder == lease.params.Holder {
		return true
	}
	safeDuration := time.Duration(float64(lease.record.duration) * (1 + lease.params.Drift))
	return now.Sub(lease.recordSeenAt) > safeDuration
}

// acquire records that the last write, of this record, acquired or renewed the lease.
func (lease *Lease) acquire(record Record) {
	lease.fence = record.fence
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
		switch {
		case lease.pending.holder == "": // the release
		case lease.released:
			return lease.writeRelease(lease.pending.fence)
		default:
			lease.acquire(lease.pending)
		}
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
// waiting for it to expire. If a write is in flight, WriteDone returns the effect that
// gives the lease up. If the result of that write is unknown, or the record is not
// known, the lease is left to expire. A released Lease is never held again.
func (lease *Lease) Release(now time.Time) []Effect {
	_, held := lease.Held(now)
	lease.held = false
	lease.released = true
	if !held || lease.callInFlight || !lease.recordKnown {
		return nil
	}
	return lease.writeRelease(lease.fence)
}

// writeRelease returns the effect that clears the holder in the record of an acquisition
// with this fencing number.
func (lease *Lease) writeRelease(fence uint64) []Effect {
	lease.pending = Record{fence: fence, heartbeat: lease.heartbeat + 1, duration: lease.params.Duration}
	lease.callInFlight = true
	return []Effect{Write{Record: lease.pending, BaseVersion: lease.version}}
}
