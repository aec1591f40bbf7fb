package lease

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiverill.example/kernel/object"
	"endiverill.example/kernel/proptest"
)

// Guards against two holders, or a fencing number given out again, after the store has lost the
// latest record of the lease: a former holder found its own record there.
func TestPromiseLeaseHasOneHolderWhenStoreGoesBack(t *testing.T) {
	acquisitions := 0
	rapid.Check(t, func(t *rapid.T) {
		simulation := &simulation{t: t, now: time.Unix(1000, 0), rollbacks: true, epoch: 1}
		simulation.addInstance()
		simulation.addInstance()
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			simulation.step()
		}
		acquisitions += simulation.acquisitions
	})
	assert.Assert(t, acquisitions > 0)
}

// rolledBack returns a lease that holder a acquired in epoch 1, and the record as the store has
// it in epoch 2: of a holder before it.
func rolledBack(t *testing.T, now time.Time) (*Lease, *record) {
	lease := newTestLease("a")
	stored := &record{value: Record{fence: 4, duration: 3 * time.Second, epoch: 1}, version: object.JoinVersion(1, 20)}
	stored.carryOut(lease, lease.Tick(now), now)
	_, held := lease.Held(now)
	assert.Assert(t, held)
	stored.value = Record{holder: "b", fence: 4, duration: 3 * time.Second, epoch: 1}
	stored.version = object.JoinVersion(2, 15)
	return lease, stored
}

// The holder need not wait, since nobody else can acquire a lease whose record was lost before
// that holder's own acquisition has expired.
func TestHolderAcquiresLostLeaseAgainAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	lease, stored := rolledBack(t, now)
	before, _ := lease.Held(now)
	for range 3 {
		now = now.Add(time.Second)
		stored.carryOut(lease, lease.Tick(now), now)
	}
	fence, held := lease.Held(now)
	assert.Assert(t, held && fence > before && lease.Continued(), "fence %d after %d, held %v", fence, before, held)
}

func TestFormerHolderOfLostLeaseWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	_, stored := rolledBack(t, now)
	former := newTestLease("b")
	for range 3 {
		stored.carryOut(former, former.Tick(now), now)
		_, held := former.Held(now)
		assert.Assert(t, !held, "held %v after the store came back", now.Sub(time.Unix(1000, 0)))
		now = now.Add(time.Second)
	}
	now = now.Add(200 * time.Millisecond)
	stored.carryOut(former, former.Tick(now), now)
	_, held := former.Held(now)
	assert.Assert(t, held && !former.Continued())
}

// A holder whose machine was suspended does not know whether another one has held the lease, and
// lost its record, meanwhile. The steady clock does not count that time.
func TestSuspendedHolderOfLostLeaseWaits(t *testing.T) {
	now := time.Now()
	lease, stored := rolledBack(t, now)
	now = proptest.StepWallClock(now.Add(time.Second), 20*time.Second)
	for range 3 {
		stored.carryOut(lease, lease.Tick(now), now)
		assert.Assert(t, !lease.Continued())
		assert.Equal(t, stored.value.holder, "b")
		now = now.Add(500 * time.Millisecond)
	}
}

// malformedStore is a store whose record cannot be decoded.
type malformedStore struct {
	object.Store
	value   []byte
	version uint64
}

func (malformedStore *malformedStore) Get(_ context.Context, _, key string) (object.Object, error) {
	return object.NewObject(key, malformedStore.value, malformedStore.version), nil
}

func (malformedStore *malformedStore) Update(_ context.Context, _, _ string, value []byte, version uint64) (uint64, error) {
	if version != malformedStore.version {
		return 0, object.ErrConflict
	}
	malformedStore.value, malformedStore.version = value, version+1
	return malformedStore.version, nil
}

// Guards against a record of another writer that leaves the lease without a holder for ever.
func TestMalformedRecordIsReplaced(t *testing.T) {
	lease, now := newTestLease("a"), time.Unix(1000, 0)
	driver := Driver{
		Store: &malformedStore{value: []byte(`{"holder":[[[`), version: 9}, Timeout: time.Second,
		WithLease: func(step func(lease *Lease, now time.Time) []Effect) []Effect { return step(lease, now) },
	}
	for range 5 {
		driver.Execute(t.Context(), lease.Tick(now))
		now = now.Add(time.Second)
	}
	_, held := lease.Held(now)
	assert.Assert(t, held)
}
