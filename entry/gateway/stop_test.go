package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/clock"
)

// Guards against an entry that panics when it is stopped while it still starts.
func TestStopBeforeCallersAreAcceptedEndsAtOnce(t *testing.T) {
	gateway := newIdleGateway(t, clock.System{})
	gateway.options.Grace = 8 * time.Second
	gateway.options.CallerAddress, gateway.options.ReadyAddress = "127.0.0.1:0", "127.0.0.1:0"
	begun := time.Now()
	assert.NilError(t, gateway.Stop(context.Background()))
	assert.NilError(t, gateway.Run(context.Background()), "callers are accepted after the stop")
	assert.Assert(t, time.Since(begun) < time.Second, "stopped after %v", time.Since(begun))
}

// Guards against a stop that outlasts a grace period shorter than the time in which the platform detects
// that the instance is not ready.
func TestStopTimesAreInOrderWithinGracePeriod(t *testing.T) {
	signalled := time.Unix(1000, 0)
	for _, grace := range []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second, 4 * time.Second, 8 * time.Second, time.Minute} {
		times := newStopTimes(signalled, grace)
		assert.Assert(t, !times.draining.After(times.closing) && times.closing.Before(times.end), "grace %v: %+v", grace, times)
		assert.Assert(t, !times.end.After(signalled.Add(grace-exitReserve)), "grace %v: %+v", grace, times)
	}
	assert.Equal(t, newStopTimes(signalled, 8*time.Second).draining, signalled.Add(readinessDelay))
}
