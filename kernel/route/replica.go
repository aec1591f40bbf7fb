// Package route picks the replica that gets a request. Policies are plug-ins;
// a pick takes no lock and allocates nothing.
package route

import (
	"sync/atomic"
	"time"
)

const (
	ejectAfter   = 3 // failures in a row
	ejectBase    = time.Second
	maxEject     = 30 * time.Second
	slowStart    = 10 * time.Second // in which a new replica's load counts for more
	slowStartTop = 4.0              // factor at the very start
)

// Replica is a target as an entry sees it. Traffic goroutines share it.
type Replica struct {
	name       string
	dataCentre string
	address    string
	hash       uint64
	since      time.Time
	slots      atomic.Int64
	own        atomic.Int64 // requests of this entry under way
	others     atomic.Int64 // requests of other entries by the last report
	failures   atomic.Int64
	ejected    atomic.Int64 // Unix nanoseconds until which it is passed over
}

// NewReplica returns a replica that became known at since.
func NewReplica(name, dataCentre, address string, slots int, since time.Time) *Replica {
	replica := &Replica{name: name, dataCentre: dataCentre, address: address, hash: hashName(name), since: since}
	replica.slots.Store(int64(max(slots, 1)))
	return replica
}

// Name returns the target's name.
func (replica *Replica) Name() string { return replica.name }

// DataCentre returns where the target stands.
func (replica *Replica) DataCentre() string { return replica.dataCentre }

// Address returns where the target's agent listens.
func (replica *Replica) Address() string { return replica.address }

// Since returns when the replica became known.
func (replica *Replica) Since() time.Time { return replica.since }

// Own returns this entry's requests under way at the replica.
func (replica *Replica) Own() int64 { return replica.own.Load() }

// Begin counts a request of this entry; the returned function ends it.
func (replica *Replica) Begin() func() {
	replica.own.Add(1)
	return func() { replica.own.Add(-1) }
}

// Report takes a load report. Reports lag, so this entry's own requests are
// counted by itself and only those of others by the report.
func (replica *Replica) Report(queued, running, slots int) {
	replica.others.Store(max(int64(queued+running)-replica.own.Load(), 0))
	if slots > 0 {
		replica.slots.Store(int64(slots))
	}
}

// Succeeded ends a row of failures.
func (replica *Replica) Succeeded() {
	if replica.failures.Load() != 0 {
		replica.failures.Store(0)
	}
}

// Failed counts a failure; several in a row eject the replica for a while that
// doubles.
func (replica *Replica) Failed(now time.Time) {
	failures := replica.failures.Add(1)
	if failures < ejectAfter {
		return
	}
	pause := ejectBase << min(failures-ejectAfter, 5)
	replica.ejected.Store(now.Add(min(pause, maxEject)).UnixNano())
}

// Ejected says whether the replica is passed over at now.
func (replica *Replica) Ejected(now time.Time) bool { return replica.ejected.Load() > now.UnixNano() }

// Load returns the requests under way for each slot; a replica that is new
// counts as more loaded than it is.
func (replica *Replica) Load(now time.Time) float64 {
	load := float64(replica.own.Load()+replica.others.Load()+1) / float64(replica.slots.Load())
	if age := now.Sub(replica.since); age < slowStart {
		left := 1 - float64(age)/float64(slowStart)
		load *= 1 + (slowStartTop-1)*left
	}
	return load
}
