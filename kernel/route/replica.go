// Package route picks the replica that a request is sent to, from the request's
// prompt prefix, the replicas' load reports, the requests that this entry has in
// flight there and their recent failures. Policies are plug-ins. A pick takes no
// lock and allocates nothing. Package entry builds the groups, sends the requests
// and decides on retries. Package gateway does not use this package: its requests go
// where package dispatch decides.
package route

import (
	"sync/atomic"
	"time"

	"endiverill.example/kernel/retry"
)

const (
	failuresBeforeEjection = 3 // consecutive failures
	minEjection            = time.Second
	maxEjection            = 30 * time.Second
	maxEjectionDoublings   = 5                // after which an ejection exceeds maxEjection
	slowStartPeriod        = 10 * time.Second // during which the load of a new replica counts for more
	slowStartMaxFactor     = 4.0              // load factor at the start of slowStartPeriod
)

// Replica is the state of a target as seen by one entry. It is safe for
// concurrent use.
type Replica struct {
	name          string
	dataCentre    string
	address       string
	hash          uint64    // of the name
	knownSince    time.Time // when the replica became known to this entry
	slots         atomic.Int64
	ownRequests   atomic.Int64 // requests of this entry in flight
	otherRequests atomic.Int64 // requests of other entries, by the last report
	failures      atomic.Int64 // consecutive
	ejectedUntil  atomic.Int64 // nanoseconds after knownSince
	rest          retry.Rest

	softwareVersion atomic.Pointer[string]
}

// NewReplica returns a replica that runs up to slots requests at once and became
// known to the entry at knownSince.
func NewReplica(name, dataCentre, address string, slots int, knownSince time.Time) *Replica {
	replica := &Replica{name: name, dataCentre: dataCentre, address: address, hash: hashName(name), knownSince: knownSince}
	replica.slots.Store(int64(max(slots, 1)))
	replica.SetSoftwareVersion("")
	return replica
}

// Name returns the target's name.
func (replica *Replica) Name() string { return replica.name }

// DataCentre returns the target's data centre.
func (replica *Replica) DataCentre() string { return replica.dataCentre }

// Address returns the address on which the target's agent listens.
func (replica *Replica) Address() string { return replica.address }

// KnownSince returns when the replica became known to this entry.
func (replica *Replica) KnownSince() time.Time { return replica.knownSince }

// SoftwareVersion returns the software version of the target, empty if it states none.
func (replica *Replica) SoftwareVersion() string { return *replica.softwareVersion.Load() }

// SetSoftwareVersion records the software version that the target states.
func (replica *Replica) SetSoftwareVersion(version string) { replica.softwareVersion.Store(&version) }

// OwnRequests returns the number of requests that this entry has in flight at the
// replica.
func (replica *Replica) OwnRequests() int64 { return replica.ownRequests.Load() }

// BeginRequest counts a request of this entry as in flight until the returned
// function is called.
func (replica *Replica) BeginRequest() func() {
	replica.ownRequests.Add(1)
	return func() { replica.ownRequests.Add(-1) }
}

// SetLoad records a load report of the target. Reports lag, so the entry counts
// its own requests itself and uses the report only for those of other entries. If
// slots is 0, the number of slots stays as it is.
func (replica *Replica) SetLoad(queued, running, slots int) {
	replica.otherRequests.Store(max(int64(queued+running)-replica.ownRequests.Load(), 0))
	if slots > 0 {
		replica.slots.Store(int64(slots))
	}
}

// RecordSuccess records a success, which resets the count of consecutive
// failures.
func (replica *Replica) RecordSuccess() {
	if replica.failures.Load() != 0 {
		replica.failures.Store(0)
	}
}

// RecordFailure records a failure. From failuresBeforeEjection consecutive
// failures on, each one ejects the replica, for twice as long as the one before,
// up to maxEjection.
func (replica *Replica) RecordFailure(now time.Time) {
	failures := replica.failures.Add(1)
	if failures < failuresBeforeEjection {
		return
	}
	ejection := minEjection << min(failures-failuresBeforeEjection, maxEjectionDoublings)
	replica.ejectedUntil.Store(int64(now.Add(min(ejection, maxEjection)).Sub(replica.knownSince)))
}

// Ejected reports whether the replica is ejected at now.
func (replica *Replica) Ejected(now time.Time) bool {
	return replica.ejectedUntil.Load() > int64(now.Sub(replica.knownSince))
}

// Rest returns the time for which the target has asked for no requests.
func (replica *Replica) Rest() *retry.Rest { return &replica.rest }

// Load returns the number of requests per slot that the replica would have with
// one more request. During slow start the load of a new replica is multiplied by
// a factor that falls from slowStartMaxFactor to 1.
func (replica *Replica) Load(now time.Time) float64 {
	load := float64(replica.ownRequests.Load()+replica.otherRequests.Load()+1) / float64(replica.slots.Load())
	if age := now.Sub(replica.knownSince); age < slowStartPeriod {
		remaining := 1 - float64(age)/float64(slowStartPeriod)
		load *= 1 + (slowStartMaxFactor-1)*remaining
	}
	return load
}
