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
