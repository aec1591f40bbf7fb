package retry

import (
	"sync"
	"time"

	"endiverill.example/kernel/object"
)

// Reserve holds the allowance of all entries at the holder of a lease, whose fencing
// number rises with each acquisition. It is safe for concurrent use.
type Reserve struct {
	limits  Limits
	mu      sync.Mutex
	fence   uint64    // of the latest acquisition by this entry, 0 before the first
	opensAt time.Time // when all that an earlier holder may have granted has left the window
	granted map[string][]time.Time
}

// NewReserve returns a reserve that grants nothing until Open is called.
func NewReserve(limits Limits) *Reserve {
	return &Reserve{limits: limits, granted: map[string][]time.Time{}}
}

// Open records that this entry has acquired the lease, or found out that it still holds it. If
// another one may have held it since this entry did, the reserve stays closed until its grants
// have left the window.
func (reserve *Reserve) Open(fence uint64, now time.Time) {
	reserve.mu.Lock()
	defer reserve.mu.Unlock()
	first := reserve.fence == 0 && object.RevisionOf(fence) == 1
	if fence != reserve.fence && fence != reserve.fence+1 && !first {
		reserve.opensAt = now.Add(reserve.retention())
	}
	reserve.fence = fence
}

// Continue records that this entry has acquired the lease again and no other one can have held
// it meanwhile, as lease.Lease knows after the record of the lease was lost.
func (reserve *Reserve) Continue(fence uint64) {
	reserve.mu.Lock()
	defer reserve.mu.Unlock()
	reserve.fence = fence
}

// retention returns how long a grant counts.
func (reserve *Reserve) retention() time.Duration {
	return reserve.limits.Window + maxTransit
}

// Take takes a retry of a request for a service, with the fencing number of the lease that
// this entry holds at now. If none is granted, there will be none within the wait.
func (reserve *Reserve) Take(service string, fence uint64, now time.Time) (granted bool, wait time.Duration) {
	reserve.mu.Lock()
	defer reserve.mu.Unlock()
	if fence != reserve.fence {
		return false, 0 // acquired, but not opened yet
	}
	if closed := reserve.opensAt.Sub(now); closed > 0 {
		return false, closed
	}
	grants := reserve.granted[service]
	for len(grants) > 0 && now.Sub(grants[0]) >= reserve.retention() {
		grants = grants[1:]
	}
	reserve.granted[service] = grants
	switch {
	case reserve.limits.Allowance <= 0:
		return false, reserve.retention()
	case len(grants) >= reserve.limits.Allowance:
		return false, reserve.retention() - now.Sub(grants[0])
	}
	reserve.granted[service] = append(grants, now)
	return true, 0
}
