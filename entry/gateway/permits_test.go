package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/wire"
)

func TestEntryUsesItsShareRightAfterItHasPlanned(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	gateway := newIdleGateway(t, fake)
	target := directory.NewTarget(directory.TargetSpec{ID: "i-1"})
	take := func() bool {
		granted, _ := gateway.peers.takePermit(context.Background(), target, &wire.PermitRequest{PerSecond: 5, MaxWait: time.Second})
		return granted
	}
	fake.Advance(time.Minute)
	gateway.planner.heldFence = 3
	gateway.peers.sendState(false)
	gateway.planner.heldFence = 0
	assert.Assert(t, !take(), "another entry may hold the lease")
	fake.Advance(2 * leaseDuration)
	assert.Assert(t, take())
}
