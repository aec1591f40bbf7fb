package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/directory"
)

func TestEndOfTargetIsMissedShortlyAfterBrokenAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	target := directory.NewTarget(directory.TargetSpec{ID: "i-1", Address: listener.Addr().String()})
	checks, now := newEndChecks(), time.Now()
	assert.Assert(t, !checks.ended(context.Background(), target, now), "it listens")
	assert.NilError(t, listener.Close())
	assert.Assert(t, checks.ended(context.Background(), target, now.Add(2*listeningFor)))
	assert.Assert(t, checks.ended(context.Background(), target, now.Add(4*listeningFor)), "the end of an incarnation is for good")
}
