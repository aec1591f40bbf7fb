// Package lease lets one instance at a time act for the fleet, by an object in
// the platform's object API. It needs no agreement between clocks: a holder
// counts its lease from when it asked for it, and others wait until the record
// has stood unchanged for longer than the slowest holder could count. The
// package does no I/O.
package lease

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Record is what the object API holds of a lease.
type Record struct {
	holder   string
	fence    uint64
	beat     uint64
	duration time.Duration
}

// Holder returns who holds or held the lease; empty after a release.
func (record Record) Holder() string { return record.holder }

// Fence returns the fencing number, which rises with each new holder.
func (record Record) Fence() uint64 { return record.fence }

type wireRecord struct {
	Holder   string `json:"holder"`
	Fence    uint64 `json:"fence"`
	Beat     uint64 `json:"beat"`
	Duration int64  `json:"duration_ms"`
}

// Marshal returns the record as it is stored.
func (record Record) Marshal() ([]byte, error) {
	return json.Marshal(wireRecord{Holder: record.holder, Fence: record.fence, Beat: record.beat, Duration: record.duration.Milliseconds()})
}

// ParseRecord reads a stored record.
func ParseRecord(data []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, errors.Wrap(err, "lease")
	}
	return Record{holder: wire.Holder, fence: wire.Fence, beat: wire.Beat, duration: time.Duration(wire.Duration) * time.Millisecond}, nil
}

// Plan bounds a lease.
type Plan struct {
	Holder   string        // of this start of the instance
	Duration time.Duration // life of a lease that is not renewed
	Drift    float64       // bound on the difference of two clocks' speeds
}

// Lease is the machine of one instance that wants the lease.
type Lease struct {
	plan     Plan
	record   Record
	version  uint64
	known    bool
	seen     time.Time // when the present record was first seen
	waiting  bool
	pending  Record
	sent     time.Time
	beat     uint64
	fence    uint64
	renewed  time.Time // when the renewal that counts was sent
	held     bool
	next     time.Time
	released bool
}

// Effect is what a Lease wants done.
type Effect interface{ leaseEffect() }

type (
	// Read asks for a read of the record and a ReadDone.
	Read struct{}
	// Write asks for a conditional write and a WriteDone.
	Write struct {
		Record Record
		Base   uint64
	}
)

func (Read) leaseEffect()  {}
func (Write) leaseEffect() {}

// WriteResult is what a conditional write came to.
type WriteResult int

// The results of a write.
const (
	Written WriteResult = iota + 1
	Conflicted
	Unknown
)

// New returns the machine of an instance that holds nothing.
func New(plan Plan) *Lease { return &Lease{plan: plan} }

// Held returns the fencing number while the lease certainly holds at now.
func (lease *Lease) Held(now time.Time) (fence uint64, held bool) {
	if !lease.held || !now.Before(lease.End()) {
		return 0, false
	}
	return lease.fence, true
}

// End returns when the lease ends unless it is renewed.
func (lease *Lease) End() time.Time {
	return lease.renewed.Add(time.Duration(float64(lease.plan.Duration) * (1 - lease.plan.Drift)))
}

// Record returns the record as last seen.
func (lease *Lease) Record() Record { return lease.record }

// Tick renews the lease or tries to take it, when due.
func (lease *Lease) Tick(now time.Time) []Effect {
	if lease.waiting || lease.released || now.Before(lease.next) {
		return nil
	}
	lease.next = now.Add(lease.plan.Duration / 3)
	if _, held := lease.Held(now); held && lease.known {
		return lease.write(now, lease.fence)
	}
	lease.held = false
	lease.waiting = true
	return []Effect{Read{}}
}

func (lease *Lease) write(now time.Time, fence uint64) []Effect {
	lease.beat++
	lease.pending = Record{holder: lease.plan.Holder, fence: fence, beat: lease.beat, duration: lease.plan.Duration}
	lease.sent = now
	lease.waiting = true
	return []Effect{Write{Record: lease.pending, Base: lease.version}}
}

// ReadDone reports on a read; version 0 stands for no record.
func (lease *Lease) ReadDone(now time.Time, record Record, version uint64, failed bool) []Effect {
	lease.waiting = false
	if failed {
		return nil
	}
	if !lease.known || version != lease.version {
		lease.record, lease.version, lease.known = record, version, true
		lease.seen = now
	}
	if record.holder == lease.plan.Holder && record == lease.pending {
		// The write whose answer was lost took effect.
		lease.take(record)
		return nil
	}
	if lease.released || !lease.free(now) {
		return nil
	}
	return lease.write(now, record.fence+1)
}

// free says whether nobody can hold the lease any more.
func (lease *Lease) free(now time.Time) bool {
	if lease.version == 0 || lease.record.holder == "" || lease.record.holder == lease.plan.Holder {
		return true
	}
	outlived := time.Duration(float64(lease.record.duration) * (1 + lease.plan.Drift))
	return now.Sub(lease.seen) > outlived
}

func (lease *Lease) take(record Record) {
	lease.fence = record.fence
	lease.renewed = lease.sent
	lease.held = true
}

// WriteDone reports on the write that was asked for last.
func (lease *Lease) WriteDone(now time.Time, result WriteResult, version uint64) []Effect {
	lease.waiting = false
	switch result {
	case Written:
		lease.record, lease.version, lease.known, lease.seen = lease.pending, version, true, now
		if lease.pending.holder != "" {
			lease.take(lease.pending)
		}
	case Conflicted:
		lease.known = false
		lease.held = false
		lease.next = now
	default:
		lease.known = false
		lease.next = now.Add(lease.plan.Duration / 10)
	}
	return nil
}

// Release gives the lease back, so that another instance need not wait.
func (lease *Lease) Release(now time.Time) []Effect {
	_, held := lease.Held(now)
	lease.held = false
	lease.released = true
	if !held || lease.waiting || !lease.known {
		return nil
	}
	lease.pending = Record{fence: lease.fence, beat: lease.beat + 1, duration: lease.plan.Duration}
	lease.waiting = true
	return []Effect{Write{Record: lease.pending, Base: lease.version}}
}
