package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// record is a stored lease record that answers every call at once.
type record struct {
	value   Record
	version uint64
}

// carryOut carries out effects and those that follow from them.
func (record *record) carryOut(lease *Lease, effects []Effect, now time.Time) {
	for len(effects) > 0 {
		var next []Effect
		switch effect := effects[0].(type) {
		case Read:
			next = lease.ReadDone(now, record.value, record.version, false)
		case Write:
			result := Conflicted
			if effect.BaseVersion == record.version {
				record.value, record.version, result = effect.Record, record.version+1, Written
			}
			next = lease.WriteDone(now, result, record.version)
		}
		effects = append(next, effects[1:]...)
	}
}

func newTestLease(holder string) *Lease {
	return New(Params{Holder: holder, Duration: 3 * time.Second, Drift: testDrift})
}

// An instance that was suspended until its lease expired finds its own record in the
// store. It must acquire the lease anew.
func TestExpiredHolderAcquiresLeaseAgain(t *testing.T) {
	lease, stored, now := newTestLease("a"), &record{}, time.Unix(1000, 0)
	stored.carryOut(lease, lease.Tick(now), now)
	first, held := lease.Held(now)
	assert.Assert(t, held)
	now = now.Add(5 * time.Second)
	_, held = lease.Held(now)
	assert.Assert(t, !held)
	for range 2 {
		stored.carryOut(lease, lease.Tick(now), now)
		now = now.Add(time.Second)
	}
	second, held := lease.Held(now)
	assert.Assert(t, held && second > first, "fence %d after %d, held %v", second, first, held)
}

// A write that is in flight when the lease is released must not leave it held, since
// other instances would then have to wait until it expires.
func TestReleaseDuringWriteGivesLeaseUp(t *testing.T) {
	lease, stored, now := newTestLease("a"), &record{}, time.Unix(1000, 0)
	effects := lease.ReadDone(now, Record{}, 0, false)
	assert.Equal(t, len(lease.Release(now)), 0, "a call is in flight")
	stored.carryOut(lease, effects, now)
	_, held := lease.Held(now)
	assert.Assert(t, !held)
	other := newTestLease("b")
	stored.carryOut(other, other.Tick(now), now)
	_, held = other.Held(now)
	assert.Assert(t, held, "another instance had to wait for the released lease to expire")
}
