package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
	"endiverill.example/kernel/directory"
)

func TestRequestThatWaitedForAdapterIsSentToTargetAtRest(t *testing.T) {
	now := time.Unix(1000, 0)
	gateway := newIdleGateway(t, clock.NewFake(now))
	target := directory.NewTarget(directory.TargetSpec{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1})
	gateway.dispatcher.SetTargets([]*directory.Target{target})
	gateway.dispatcher.RecordRest(target.Key(), now.Add(time.Second), now)
	result := gateway.try(newRetryCall(gateway, "s", 0), target)
	assert.Assert(t, result.unsent && result.fault != nil)
	assert.Equal(t, gateway.metrics.Get("targets.dials"), int64(0))
}
