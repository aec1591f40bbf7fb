package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
)

func plainTarget(id, address string) *directory.Target {
	return directory.NewTarget(directory.TargetSpec{ID: id, StartedAt: 1, Service: "app", Address: address, Slots: 1})
}

// Between two failed reads of the list, expireTargets must not take the list from before
// the outage for the first one after it: targets that lapsed meanwhile would be dropped
// at recovery although they run.
func TestTargetsMissingAtRecoveryStayInForce(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	syncer := gateway.syncer
	both := []*directory.Target{plainTarget("a", "10.0.0.1:80"), plainTarget("b", "10.0.0.2:80")}
	syncer.applyTargets(nil, both, 0, 1, fake.Now())
	syncer.targetTracker.RecordFailure()
	fake.Advance(targetExpiryInterval)
	syncer.expireTargets()
	syncer.applyTargets(nil, both[:1], 0, 2, fake.Now())
	assert.Equal(t, len(syncer.addresses()), 2)
}
